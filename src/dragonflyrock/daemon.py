"""The daemon: ``dragonflyrockd SETTINGS.toml``."""

from __future__ import annotations

import logging
import signal
import sys
import threading
import time
from pathlib import Path
from random import Random
from types import FrameType
from typing import Final

import defopt

from .codec import get_outer_name
from .consensus import Group, StateMachine, open_group
from .control.calls import CALLS, Propose, ReadRevisions, RevisionList
from .control.commands import (
    COMMANDS,
    RESULTS,
    ClearSuspect,
    Command,
    Done,
    ReportCrash,
    Result,
)
from .control.member import CONTROL_GROUP, ControlMember, MemberConfig
from .control.state import ControlState
from .entry.admission import Admission
from .entry.agent import AgentConfig, EntryAgent
from .entry.announcements import AnnouncementsApp
from .entry.callers import CallersApp, CallersConfig
from .entry.dispatch import Dispatcher
from .entry.forward import Forwarder
from .entry.gate import Gate
from .entry.limits import LimitAgent
from .entry.operators import OperatorsApp
from .entry.request import CallerRequest
from .entry.reservation import Reservations
from .entry.web import WebServer
from .errors import DragonflyrockError
from .ledger import Ledger
from .models import HostRecord
from .observe import EventRing, HybridClock
from .observe.metrics import Metrics
from .runtime import Runtime
from .settings import (
    Settings,
    load_settings,
    make_leader_timing,
    make_service_policies,
    make_timing,
)
from .transport.calls import BlockingCaller, CallTable
from .transport.keys import load_keys
from .transport.links import Links

__all__ = ["Daemon", "main"]

_LOGGER = logging.getLogger(__name__)

PLATFORM_THREADS: Final = 24
OPERATOR_THREADS: Final = 4
STRIKE_SECONDS: Final = 2.0
STRIKE_POLL_SECONDS: Final = 0.02
LEAVE_SECONDS: Final = 0.2


class Daemon:
    """All roles of one host, as its settings have them."""

    def __init__(self, settings: Settings) -> None:
        """Open the data folder and bind every port."""
        self._settings = settings
        self._clock = time.monotonic
        self._random = Random()
        self._ended = threading.Event()
        self._unready = "starting\n"
        self._failed = False
        self._metrics = Metrics()
        self._events = EventRing(settings.host.name, HybridClock())
        self._links = Links(
            settings.host.name,
            settings.listen.link,
            self._events.clock,
            self._metrics,
            load_keys(settings),
        )
        for peer in settings.hosts:
            if peer.name != settings.host.name:
                self._links.connect(peer.name, peer.link)
        self._runtime = Runtime(self._links, self._metrics, self._clock)
        self._runtime.on_stall = self._note_stall
        self._runtime.calls = CallTable(settings.control.voters, self._runtime.send)
        self._caller = BlockingCaller(
            self._runtime.calls, self._runtime.post, self._clock
        )
        if settings.is_control:
            self._runtime.member = self._open_member()
        self._gate = Gate(
            self._clock,
            settings.timeouts.entry_lease_ms / 1000,
            settings.limits.waiting_requests,
            settings.timeouts.drift_percent / 100,
        )
        self._callers: CallersApp | None = None
        self._servers = self._bind()

    # Parts

    def _open_member(self) -> ControlMember:
        """Open the control group and the ledger groups."""
        settings = self._settings
        state = ControlState()
        groups = {CONTROL_GROUP: self._open_group(CONTROL_GROUP, state)}
        for shard in range(settings.control.ledger_shards):
            name = f"ledger-{shard}"
            retention_ms = int(settings.control.ledger_retention_s * 1000)
            ledger = Ledger(settings.control.ledger_entries, retention_ms)
            groups[name] = self._open_group(name, ledger)
        config = MemberConfig(
            settings.host.name,
            make_service_policies(settings),
            make_leader_timing(settings),
        )
        return ControlMember(
            config,
            groups,
            state,
            self._events,
            self._metrics,
            self._runtime.send,
            self._runtime.post,
            self._clock,
        )

    def _open_group(self, name: str, machine: StateMachine) -> Group:
        """Open the member of one group on this host."""
        settings = self._settings
        return open_group(
            name,
            settings.host.name,
            Path(settings.host.data_folder) / name,
            settings.control.voters,
            make_timing(settings),
            self._random,
            machine,
            self._clock(),
            settings.control.snapshot_entries,
        )

    def _bind(self) -> list[WebServer]:
        """Bind the ports of this host's roles."""
        settings = self._settings
        listen = settings.listen
        servers = []
        if settings.is_entry:
            self._callers = self._make_callers_app()
            threads = settings.limits.caller_threads
            servers.append(WebServer("callers", listen.callers, self._callers, threads))
            self._runtime.agent = self._make_agent()
        announcements = AnnouncementsApp(
            self._caller.call, self._find_unready, self._metrics
        )
        servers.append(
            WebServer("platform", listen.platform, announcements, PLATFORM_THREADS)
        )
        operators = OperatorsApp(
            self._caller.call, settings.operators.token_sha256, self._events
        )
        servers.append(
            WebServer("operators", listen.operators, operators, OPERATOR_THREADS)
        )
        return servers

    def _make_agent(self) -> EntryAgent:
        """Return the part that renews this entry host's lease."""
        settings = self._settings
        record = HostRecord(
            settings.host.name,
            time.time_ns(),
            settings.host.availability_zone,
            settings.listen.link,
            settings.listen.operators,
        )
        config = AgentConfig(
            record,
            settings.control.voters,
            settings.timeouts.entry_renew_ms / 1000,
        )
        agent = EntryAgent(config, self._gate, self._runtime.send, self._clock)
        self._gate.on_drained = lambda: self._runtime.post(agent.request_renewal)
        return agent

    def _make_callers_app(self) -> CallersApp:
        """Return the application of the callers' port."""
        settings = self._settings
        dispatcher = Dispatcher(
            self._gate,
            Forwarder(self._clock, settings.limits.answer_bytes),
            self._events,
            self._metrics,
            self._clock,
            self._random,
            self._strike,
            self._absolve,
        )
        admission = Admission(self._clock, self._runtime.wake)
        self._runtime.limits = LimitAgent(
            settings.host.name, self._gate, admission, self._runtime.send, self._clock
        )
        reservations = Reservations(
            self._caller.call,
            settings.control.ledger_shards,
            settings.control.ledger_retention_s,
            self._clock,
        )
        methods = {
            service.name: frozenset(service.idempotent_methods)
            for service in settings.services
        }
        config = CallersConfig(settings.limits.body_bytes, methods)
        return CallersApp(
            config,
            self._gate,
            admission,
            dispatcher,
            reservations,
            self._metrics,
            self._clock,
        )

    def _strike(self, request: CallerRequest, holder: str) -> None:
        """Report a request that was in flight to a server when it was lost.

        The caller's answer waits until every live host knows of it, so that a
        resend by another host cannot overtake it.
        """
        customer = request.contract_row.contract.customer
        result = self._propose(
            ReportCrash(
                request.fingerprint,
                customer,
                request.method,
                request.target,
                holder,
                int(time.time() * 1000),
            )
        )
        if isinstance(result, Done):
            self._await_everywhere(result.revision)

    def _await_everywhere(self, revision: int) -> None:
        """Wait until every live entry host has applied a revision."""
        body = CALLS.encode(ReadRevisions())
        until = self._clock() + STRIKE_SECONDS
        while self._clock() < until:
            answer = self._caller.call(CONTROL_GROUP, body, STRIKE_SECONDS)
            found = CALLS.decode(answer) if answer is not None else None
            if (
                isinstance(found, RevisionList)
                and min(found.revisions, default=0) >= revision
            ):
                return
            time.sleep(STRIKE_POLL_SECONDS)

    def _absolve(self, request: CallerRequest) -> None:
        """Report that a suspect request has run without harm."""
        self._propose(ClearSuspect(request.fingerprint))

    def _propose(self, command: Command) -> Result | None:
        """Commit a command of an entry host; None when it is not known to be."""
        body = CALLS.encode(Propose(COMMANDS.encode(command)))
        answer = self._caller.call(CONTROL_GROUP, body, STRIKE_SECONDS)
        if answer is None:
            _LOGGER.warning(
                "step=commit: no leader for %s", get_outer_name(type(command))
            )
            return None
        result: Result = RESULTS.decode(answer)
        return result

    def _note_stall(self, kind: str, seconds: float) -> None:
        """Show that this host stood still: its disk, its processor or a freeze."""
        self._events.add("stalled", detail=f"{kind}: {seconds:.2f} s")
        _LOGGER.warning("stalled: %s: %.2f s", kind, seconds)

    def _find_unready(self) -> str:
        """Return why callers may not be sent here, or an empty text."""
        if self._unready:
            return self._unready
        if self._settings.is_entry and self._gate.lease_left() <= 0:
            return "no lease\n"
        return ""

    # Life

    def run(self) -> None:
        """Serve until stopped, then end in good order."""
        loop = threading.Thread(target=self._run_loop, name="runtime", daemon=True)
        loop.start()
        for server in self._servers:
            server.start()
        self._unready = ""
        self._events.add("started", detail=",".join(self._settings.host.roles))
        _LOGGER.info("%s serves", self._settings.host.name)
        self._ended.wait()
        self._finish(loop)

    def _run_loop(self) -> None:
        """Run the loop; its failure ends the daemon."""
        try:
            self._runtime.run()
        except DragonflyrockError as error:
            _LOGGER.critical("step=%s: %s", error.step, error)
            self._failed = True
            self._ended.set()
        except Exception:
            _LOGGER.critical("the runtime failed", exc_info=True)
            self._failed = True
            self._ended.set()

    @property
    def failed(self) -> bool:
        """Return whether the daemon ended by a failure."""
        return self._failed

    def stop(self) -> None:
        """Begin to end; callable from a signal handler, and more than once."""
        self._ended.set()

    def _finish(self, loop: threading.Thread) -> None:
        """Answer what is in flight, give the lease back, and close."""
        self._unready = "stopping\n"
        timeouts = self._settings.timeouts
        if not self._failed:
            # The balancer needs a moment to see that this host is not ready.
            time.sleep(timeouts.stop_notice_ms / 1000)
        limit = timeouts.stop_limit_ms / 1000
        ended = self._callers is None or self._callers.stop(limit)
        if not ended:
            _LOGGER.error("requests were still in flight at the stop limit")
        if not self._failed:
            self._runtime.post(lambda: self._leave(ended=ended))
            time.sleep(LEAVE_SECONDS)
        for server in self._servers:
            server.stop()
        self._runtime.stop()
        loop.join()
        if self._runtime.member is not None:
            self._runtime.member.close()
        self._runtime.close()
        _LOGGER.info("%s has ended", self._settings.host.name)

    def _leave(self, *, ended: bool) -> None:
        """Give the leadership back, and the lease if all requests have ended."""
        now = self._clock()
        if self._runtime.agent is not None:
            idle = ended and self._gate.is_idle()
            self._runtime.agent.leave(now, idle=idle)
        if self._runtime.member is not None:
            self._runtime.member.hand_over(now)


def run_daemon(settings: Path, *, log_level: str = "INFO") -> int:
    """Run the router's daemon.

    :param settings: the settings file (TOML)
    :param log_level: DEBUG, INFO, WARNING or ERROR
    """
    logging.basicConfig(
        level=log_level,
        format="%(asctime)s %(levelname)s %(threadName)s %(name)s: %(message)s",
    )
    try:
        daemon = Daemon(load_settings(settings))
    except DragonflyrockError as error:
        print(f"dragonflyrockd: {error}", file=sys.stderr)
        return 2

    def on_signal(number: int, frame: FrameType | None) -> None:
        daemon.stop()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    daemon.run()
    return 1 if daemon.failed else 0


def main() -> None:
    """Run the daemon by its command line."""
    sys.exit(defopt.run(run_daemon))


if __name__ == "__main__":
    main()
