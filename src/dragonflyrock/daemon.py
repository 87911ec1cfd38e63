"""The router's daemon, which runs the roles of one host."""

from __future__ import annotations

import logging
import signal
import sys
import threading
import time
from functools import partial
from pathlib import Path
from random import Random
from types import FrameType
from typing import Final

import defopt

from .client_guard import DAEMON_SHARES, make_client_guard, measure_machine
from .clock import read_clock
from .codec import get_outer_name
from .consensus import Group, StateMachine, open_group
from .control.calls import (
    CALLS,
    BeginSuspectRun,
    Propose,
    ReadRevisions,
    RevisionList,
    SuspectRunAnswer,
)
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
from .entry.notices import ServerNotices
from .entry.operators import OperatorsApp
from .entry.request import CallerRequest
from .entry.reservation import Reservations
from .entry.server_rates import ServerRateAgent
from .entry.web import Application, WebLoop, WebServer
from .errors import DragonflyrockError, Reason, Refusal
from .hashing import hash_score
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
from .stalls import StallWatch
from .tables import LeavingRow, LeavingSource
from .transport.calls import BlockingCaller, CallTable
from .transport.keys import load_keys
from .transport.link_states import LinkChange
from .transport.links import Links

__all__ = ["Daemon", "main"]

_LOGGER = logging.getLogger(__name__)

PLATFORM_THREAD_COUNT: Final = 24
OPERATOR_THREAD_COUNT: Final = 4
# Larger bodies are not read; the applications say of smaller ones what they take.
PLATFORM_BODY_BYTES: Final = 64 * 1024
OPERATOR_BODY_BYTES: Final = 2 * 1024 * 1024
# What a thread takes of the memory for answers, and the fewest threads.
CALLER_THREAD_BYTES: Final = 1536 * 1024
MIN_CALLER_THREADS: Final = 8
# Parts of the connections of callers that backend servers and operators may have.
PLATFORM_CONNECTIONS_DIVISOR: Final = 4
OPERATOR_CONNECTIONS_DIVISOR: Final = 16
CLIENT_REPORT_INTERVAL_SECONDS: Final = 1.0
STALL_TICK_SECONDS: Final = 0.1
# An operator who has left is seen to do so within this time after the request.
OPERATOR_CHECK_SECONDS: Final = 0.02
# Part of a target that is reported; the fingerprint is of all of it.
MAX_REPORTED_TARGET_LENGTH: Final = 256
CONTROL_CALL_TIMEOUT_SECONDS: Final = 2.0
REVISION_POLL_SECONDS: Final = 0.02
# Time for the loop to send the messages with which this host leaves.
LEAVE_WAIT_SECONDS: Final = 0.2


class Daemon:
    """A daemon with the roles that its settings list."""

    def __init__(self, settings: Settings) -> None:
        """Open the data folder and bind all ports.

        Raise a ``DragonflyrockError`` if the stored data or the keys are bad.
        """
        self._settings = settings
        self._clock = read_clock
        self._random = Random()
        self._stop_requested = threading.Event()
        self._stalls = StallWatch(self._clock, STALL_TICK_SECONDS)
        self._unready_reason = "starting\n"
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
        self._runtime.on_stall = self._report_stall
        self._runtime.on_link_change = self._report_link_change
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
            hash_score(settings.host.name, "pause") / 2**64,
        )
        self._callers: CallersApp | None = None
        self._machine = measure_machine(
            settings.machine.memory_mb, settings.machine.max_fds
        )
        self._guard = make_client_guard(self._machine, DAEMON_SHARES)
        self._web_loop = WebLoop()
        self._servers = self._bind_servers()
        self._guard.servers = [server.server for server in self._servers]

    def _open_member(self) -> ControlMember:
        """Open this host's members of the control group and the ledger groups."""
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
        """Open this host's member of one group."""
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

    def _bind_servers(self) -> list[WebServer]:
        """Return the HTTP servers of this host's roles, with their ports bound."""
        settings = self._settings
        listen = settings.listen
        servers = []
        if settings.is_entry:
            self._callers = self._make_callers_app()
            servers.append(
                self._bind_server(
                    "callers",
                    listen.callers,
                    self._callers,
                    self._count_caller_threads(),
                    settings.limits.body_bytes,
                    1,
                )
            )
            self._runtime.agent = self._make_agent()
        announcements = AnnouncementsApp(
            self._caller.call,
            self._find_unready,
            self._metrics,
            self._update_server_notices,
        )
        servers.append(
            self._bind_server(
                "platform",
                listen.platform,
                announcements,
                PLATFORM_THREAD_COUNT,
                PLATFORM_BODY_BYTES,
                PLATFORM_CONNECTIONS_DIVISOR,
            )
        )
        operators = OperatorsApp(
            self._caller.call,
            settings.operators.token_sha256,
            self._events,
            settings.limits.longest_deadline_ms,
            self._stalls.may_read_late,
        )
        servers.append(
            self._bind_server(
                "operators",
                listen.operators,
                operators,
                OPERATOR_THREAD_COUNT,
                OPERATOR_BODY_BYTES,
                OPERATOR_CONNECTIONS_DIVISOR,
                OPERATOR_CHECK_SECONDS,
            )
        )
        return servers

    def _bind_server(
        self,
        name: str,
        address: str,
        application: Application,
        threads: int,
        body_bytes: int,
        connections_divisor: int,
        client_check_seconds: float = 0.0,
    ) -> WebServer:
        """Return an HTTP server in the account of this daemon's clients."""
        return WebServer(
            name,
            address,
            application,
            threads,
            self._web_loop,
            body_bytes,
            self._guard.memory,
            max(self._guard.max_connections // connections_divisor, 1),
            client_check_seconds,
        )

    def _count_caller_threads(self) -> int:
        """Return the number of threads for callers, each of which reads an answer."""
        server_bytes = int(self._machine.memory_bytes * DAEMON_SHARES.servers)
        by_memory = max(server_bytes // CALLER_THREAD_BYTES, MIN_CALLER_THREADS)
        return min(self._settings.limits.caller_threads, by_memory)

    def _report_clients(self) -> None:
        """Log how many clients lost a request or connection since the last call."""
        refused = self._guard.report(self._metrics)
        if refused is not None:
            fields = refused._asdict().items()
            detail = " ".join(f"{name}={value}" for name, value in fields)
            self._events.add("clients-refused", detail=detail)
            _LOGGER.warning("clients-refused: %s", detail)

    def _make_agent(self) -> EntryAgent:
        """Return the agent that renews this entry host's lease."""
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
        self._gate.on_leaving = partial(self._handle_leaving_server, agent)
        self._gate.on_turned_away = self._count_turned_away
        self._gate.share_limits(self._make_rate_agent())
        self._runtime.rates = self._gate.rates
        self._runtime.on_entry_tick = self._gate.close_overdue
        return agent

    def _make_rate_agent(self) -> ServerRateAgent:
        """Return the agent that divides the limits of servers with other hosts."""
        runtime = self._runtime
        rates = ServerRateAgent(
            self._settings.host.name, self._gate.tables, self._clock, runtime.send
        )
        rates.on_wanted = lambda: runtime.post(rates.send_demands)
        rates.on_silent = lambda peer: self._events.add("limiter-silent", peer=peer)
        return rates

    def _handle_leaving_server(self, agent: EntryAgent, row: LeavingRow) -> None:
        """Record that a server leaves, and report it if it said so in a response."""
        self._events.add("server-leaving", server=row.holder, detail=row.source)
        if row.source == LeavingSource.RESPONSE:
            self._runtime.post(agent.request_renewal)

    def _count_turned_away(self, service: str, reason: str) -> None:
        """Count a request refused because a server leaves or asked for a pause."""
        self._metrics.turned_away.labels(service, reason).inc()

    def _update_server_notices(self) -> None:
        """Set the metrics of servers that leave, are paused or named a limit."""
        self._metrics.servers_limited.set(self._gate.rates.count_limited())
        self._metrics.servers_paused.set(self._gate.count_paused())
        for source in LeavingSource:
            count = self._gate.count_leaving(source)
            self._metrics.servers_leaving.labels(source).set(count)

    def _make_callers_app(self) -> CallersApp:
        """Return the application of the callers' port."""
        settings = self._settings
        dispatcher = Dispatcher(
            self._gate,
            Forwarder(
                self._clock,
                settings.limits.answer_bytes,
                ServerNotices(self._gate, self._events).receive,
                self._gate.recheck,
                int(self._machine.memory_bytes * DAEMON_SHARES.servers),
            ),
            self._events,
            self._metrics,
            self._clock,
            self._random,
            self._report_crash,
            self._clear_suspect,
            self._begin_suspect_run,
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
        config = CallersConfig(
            settings.limits.body_bytes, methods, settings.limits.longest_deadline_ms
        )
        return CallersApp(
            config,
            self._gate,
            admission,
            dispatcher,
            reservations,
            self._metrics,
            self._clock,
        )

    def _report_crash(self, request: CallerRequest, holder: str) -> None:
        """Report a request that was in flight when the connection to its server broke.

        Wait until every live entry host has applied the report, so that the caller
        cannot resend the request to a host that does not quarantine it yet.
        """
        customer = request.contract_row.contract.customer
        result = self._propose(
            ReportCrash(
                request.fingerprint,
                customer,
                request.method,
                request.target[:MAX_REPORTED_TARGET_LENGTH],
                holder,
                int(time.time() * 1000),
            )
        )
        if isinstance(result, Done):
            self._wait_for_revision(result.revision)

    def _wait_for_revision(self, revision: int) -> None:
        """Wait until every live entry host has applied a revision, or a timeout."""
        body = CALLS.encode(ReadRevisions())
        deadline = self._clock() + CONTROL_CALL_TIMEOUT_SECONDS
        while self._clock() < deadline:
            answer = self._caller.call(
                CONTROL_GROUP, body, CONTROL_CALL_TIMEOUT_SECONDS
            )
            result = CALLS.decode(answer) if answer is not None else None
            if (
                isinstance(result, RevisionList)
                and min(result.revisions, default=0) >= revision
            ):
                return
            time.sleep(REVISION_POLL_SECONDS)

    def _clear_suspect(self, request: CallerRequest) -> None:
        """Report that a suspect request was answered without a crash of its server."""
        self._propose(ClearSuspect(request.fingerprint))

    def _begin_suspect_run(self, request: CallerRequest, holder: str) -> bool:
        """Return whether a suspect may be sent to a server, as the leader says.

        A leader of a version without this call refuses it; the suspect is then sent
        as that version would.
        """
        limit_ms = max(0, int((request.deadline - self._clock()) * 1000))
        body = CALLS.encode(BeginSuspectRun(request.fingerprint, holder, limit_ms))
        answer = self._caller.call(CONTROL_GROUP, body, CONTROL_CALL_TIMEOUT_SECONDS)
        match CALLS.decode(answer) if answer is not None else None:
            case SuspectRunAnswer(allowed):
                return allowed
            case Refusal(reason=Reason.BAD_REQUEST):
                return True
        return False

    def _propose(self, command: Command) -> Result | None:
        """Commit a command; return None if it is unknown whether it was committed."""
        body = CALLS.encode(Propose(COMMANDS.encode(command)))
        answer = self._caller.call(CONTROL_GROUP, body, CONTROL_CALL_TIMEOUT_SECONDS)
        if answer is None:
            _LOGGER.warning(
                "step=commit: no leader answered in time for command %s",
                get_outer_name(type(command)),
            )
            return None
        result: Result = RESULTS.decode(answer)
        return result

    def _report_stall(self, kind: str, seconds: float) -> None:
        """Report a stall of the loop: a slow disk, a busy processor or a freeze."""
        self._events.add("stalled", detail=f"{kind}: {seconds:.2f} s")
        _LOGGER.warning("stalled: %s: %.2f s", kind, seconds)

    def _report_link_change(self, change: LinkChange) -> None:
        """Report a link to another host that is lost or regained."""
        detail = f"closed for {change.seconds:.2f} s"
        self._events.add(change.event, peer=change.peer, detail=detail)
        _LOGGER.warning("%s: peer=%s: %s", change.event, change.peer, detail)

    def _find_unready(self) -> str:
        """Return why callers may not be sent to this host, or an empty text."""
        if self._unready_reason:
            return self._unready_reason
        if self._settings.is_entry and self._gate.lease_left() <= 0:
            return "no lease\n"
        return ""

    def run(self) -> None:
        """Serve until stopped, then shut down gracefully."""
        loop_thread = threading.Thread(
            target=self._run_loop, name="runtime", daemon=True
        )
        loop_thread.start()
        for server in self._servers:
            server.start()
        self._stalls.restart()
        self._web_loop.repeat(STALL_TICK_SECONDS, self._stalls.tick)
        self._web_loop.repeat(CLIENT_REPORT_INTERVAL_SECONDS, self._report_clients)
        self._unready_reason = ""
        self._events.add("started", detail=",".join(self._settings.host.roles))
        _LOGGER.info("%s: serving", self._settings.host.name)
        self._stop_requested.wait()
        self._shut_down(loop_thread)

    def _run_loop(self) -> None:
        """Run the main loop; stop the daemon if it fails."""
        try:
            self._runtime.run()
        except DragonflyrockError as error:
            _LOGGER.critical("step=%s: %s", error.step, error)
            self._failed = True
            self._stop_requested.set()
        except Exception:
            _LOGGER.critical("main loop failed; stopping the daemon", exc_info=True)
            self._failed = True
            self._stop_requested.set()

    @property
    def failed(self) -> bool:
        """Return whether the daemon stopped because its main loop failed."""
        return self._failed

    def stop(self) -> None:
        """Request the shutdown; a signal handler may call this, also repeatedly."""
        self._stop_requested.set()

    def _shut_down(self, loop_thread: threading.Thread) -> None:
        """Finish the requests in flight, return the lease, and close everything."""
        self._unready_reason = "stopping\n"
        timeouts = self._settings.timeouts
        notice_seconds = timeouts.stop_notice_ms / 1000
        limit_seconds = timeouts.stop_limit_ms / 1000
        self._gate.set_end(self._clock() + notice_seconds + limit_seconds)
        if not self._failed:
            # The load balancer must detect first that this host is not ready.
            time.sleep(notice_seconds)
        is_drained = self._callers is None or self._callers.stop(limit_seconds)
        if not is_drained:
            _LOGGER.error("requests are still in flight after stop_limit_ms")
        if not self._failed:
            self._runtime.post(lambda: self._leave(is_drained=is_drained))
            time.sleep(LEAVE_WAIT_SECONDS)
        for server in self._servers:
            server.stop()
        self._runtime.stop()
        loop_thread.join()
        if self._runtime.member is not None:
            self._runtime.member.close()
        self._runtime.close()
        _LOGGER.info("%s: stopped", self._settings.host.name)

    def _leave(self, *, is_drained: bool) -> None:
        """Hand over the leadership, and return the lease if no request is in flight."""
        now = self._clock()
        if self._runtime.agent is not None:
            idle = is_drained and self._gate.is_idle()
            self._runtime.agent.leave(now, idle=idle)
        if self._runtime.member is not None:
            self._runtime.member.hand_over(now)


def run_daemon(settings: Path, *, log_level: str = "INFO") -> int:
    """Run the router's daemon.

    :param settings: settings file (TOML)
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
    """Run the daemon with the arguments of the command line."""
    sys.exit(defopt.run(run_daemon))


if __name__ == "__main__":
    main()
