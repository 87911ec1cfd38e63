"""One run: start nodes and load, play a script of faults, and check the history."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Final, NamedTuple

from . import const
from .callers import Balancer, Caller
from .checks import check_history, list_unrecovered
from .context import RunContext
from .history import History
from .history_index import SOAK, HistoryIndex
from .layout import reserve_network
from .models import Event, Grown, Outcome, Starved, Violation
from .operators import ConfigView, Operator
from .player import Player
from .processes import NodeProcess
from .proxies import Proxies
from .script import Step
from .servers import StandIn

SETTLE_SECONDS: Final = 2.0
POLL_SECONDS: Final = 0.2
PROCESSOR_CHECK_SECONDS: Final = 0.1
OPERATORS: Final = ("op1", "op2")

ReportProgress = Callable[[str], None]


class Result(NamedTuple):
    """The outcome of a run; ``folder`` holds the logs if a check failed."""

    seed: int
    script: tuple[Step, ...]
    violations: list[Violation]
    events: list[Event]
    folder: Path

    def count(self, how: str) -> int:
        """Return how many attempts had this ``Outcome.how``."""
        records = (event.record for event in self.events)
        return sum(
            isinstance(record, Outcome) and record.how == how for record in records
        )


class Run:
    """The nodes, proxies, servers, callers and operators of one run."""

    def __init__(self, context: RunContext, report_progress: ReportProgress) -> None:
        """Prepare a run; ``report_progress`` receives lines of progress."""
        self._context = context
        self._history = context.history
        self._report_progress = report_progress
        self._specs = context.layout.list_nodes()
        self._nodes = {spec.name: NodeProcess(context, spec) for spec in self._specs}
        servers = [StandIn(context, number + 1) for number in range(const.SERVER_COUNT)]
        self._servers = {server.label: server for server in servers}
        self._proxies = Proxies(
            {
                ip.encode(): spec.name
                for spec in self._specs
                for ip in (spec.proxy_ip, spec.node_ip)
            }
        )
        self._config_view = ConfigView()
        self._operators = [
            Operator(name, context, self._config_view) for name in OPERATORS
        ]
        self._tasks: list[asyncio.Task[None]] = []

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a background task that runs until the end of the run."""
        self._tasks.append(asyncio.create_task(coroutine))

    async def start(self) -> None:
        """Start everything and wait until every node has served something."""
        self._start_task(self._watch_processor_time())
        for spec in self._specs:
            await self._proxies.listen(
                spec.name, spec.address, f"{spec.node_ip}:{spec.port}"
            )
            ports = {"link": const.LINK_PORT}
            if spec.role == "entry":
                ports["relay"] = const.RELAY_PORT
            for name, port in ports.items():
                addresses = (f"{ip}:{port}" for ip in (spec.proxy_ip, spec.node_ip))
                await self._proxies.listen(f"{spec.name}/{name}", *addresses)
        await asyncio.gather(
            *(node.start(forming=True) for node in self._nodes.values())
        )
        for server in self._servers.values():
            await self._proxies.listen(server.label, *server.addresses)
            await server.start()
        async with asyncio.timeout(const.START_TIMEOUT_SECONDS):
            await self._operators[0].put_first()
            self._start_callers()
            while list_unrecovered(self._index_history()):
                await asyncio.sleep(POLL_SECONDS)
        for operator in self._operators:
            self._start_task(operator.operate())

    async def _watch_processor_time(self) -> None:
        """Record nodes that got too little processor time, and delays of this loop.

        A node is starved if it is runnable at both ends of an interval and ran for
        less than a quarter of it.
        """
        last, uses = self._history.now(), dict.fromkeys(self._nodes, (False, 0.0))
        while True:
            await asyncio.sleep(PROCESSOR_CHECK_SECONDS)
            now, previous = self._history.now(), uses
            uses = {
                name: node.read_processor_use() for name, node in self._nodes.items()
            }
            self._record_growth()
            starved = [
                name
                for name, (is_runnable, processor_seconds) in uses.items()
                if is_runnable
                and previous[name][0]
                and processor_seconds - previous[name][1] < (now - last) / 4
            ]
            if now - last > PROCESSOR_CHECK_SECONDS + const.STARVATION_SECONDS:
                starved = [SOAK]
            for name in starved:
                self._history.events.append(Event(last, Starved(name, now)))
            last = now

    def _record_growth(self) -> None:
        """Record nodes that hold more memory than the smallest machine has."""
        for name, node in self._nodes.items():
            megabytes = node.read_memory_mb()
            if megabytes > const.MAX_MEMORY_MB:
                self._history.add(Grown(name, megabytes))

    def _start_callers(self) -> None:
        """Start the readiness checks and the callers."""
        balancer = Balancer(self._context)
        self._start_task(balancer.watch())

        def make(name: str) -> Caller:
            return Caller(name, self._context, balancer, self._config_view)

        for number in range(const.CALLER_COUNT):
            self._start_task(make(f"caller{number}").send_often())
        for spec in self._context.layout.list_role("entry"):
            stopping = self._nodes[spec.name].stopping
            for number in range(const.IDLE_CONNECTIONS_PER_NODE):
                caller = make(f"kept{number}-{spec.name}")
                self._start_task(caller.send_on_idle_connection(spec, stopping))

    def _index_history(self, is_over: bool = False) -> HistoryIndex:
        """Return the history so far, indexed."""
        return HistoryIndex(self._history.events, self._history.now(), is_over)

    async def play(self, script: tuple[Step, ...]) -> list[Violation]:
        """Play a script and wait for recovery; return the first violations found."""
        parts = (self._history, self._nodes, self._servers, self._proxies)
        player = Player(*parts, self._config_view)
        player_task = asyncio.create_task(player.play(script))
        try:
            while not player_task.done():
                await asyncio.wait({player_task}, timeout=const.CHECK_INTERVAL_SECONDS)
                if violations := self._check():
                    return violations
            player_task.result()
            await asyncio.sleep(SETTLE_SECONDS)
            while not (violations := self._check()) and list_unrecovered(
                self._index_history()
            ):
                await asyncio.sleep(POLL_SECONDS)
            return violations or await self._read_final_config()
        finally:
            player_task.cancel()
            await asyncio.gather(player_task, return_exceptions=True)

    def _check(self) -> list[Violation]:
        """Report progress and check the history so far; raise if a task failed."""
        index = self._index_history()
        self._report_progress(
            f"seed {self._context.seed}: {index.now:5.1f} s, {len(index.events)} events"
        )
        for task in self._tasks:
            if task.done():
                task.result()
        return check_history(index)

    async def _read_final_config(self) -> list[Violation]:
        """Stop callers and operators, and read the configuration a last time."""
        await self._stop_tasks()
        until = self._history.now() + const.RECOVERY_SECONDS
        while not await self._operators[0].read(last=True):
            if self._history.now() > until:
                detail = "no control node answered the final read of the configuration"
                return [Violation("CONFIG", self._history.now(), detail)]
            await asyncio.sleep(POLL_SECONDS)
        return check_history(self._index_history(is_over=True))

    async def _stop_tasks(self) -> None:
        """Cancel all tasks of callers, operators and checks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    async def stop_all(self) -> None:
        """Stop everything that was started."""
        await self._stop_tasks()
        for node in self._nodes.values():
            await node.kill()
        for server in self._servers.values():
            if server.name:
                await server.crash()
        await self._proxies.close()


async def _play(
    seed: int,
    script: tuple[Step, ...],
    folder: Path,
    report_progress: ReportProgress,
    by_heartbeat: bool,
    former: Path | None,
    link_mbps: float,
) -> Result:
    """Play a script; write logs, settings and data to a folder."""
    layout, reservation = reserve_network(by_heartbeat, link_mbps)
    history = History()
    context = RunContext(layout, history, folder, seed, former)
    run = Run(context, report_progress)
    try:
        await run.start()
        violations = await run.play(script)
    except TimeoutError:
        detail = f"nodes did not serve within {const.START_TIMEOUT_SECONDS} s"
        violations = [Violation("START", history.now(), detail)]
    finally:
        await run.stop_all()
        reservation.close()
    return Result(seed, script, violations, history.events, folder)


def play(
    seed: int,
    script: tuple[Step, ...],
    folder: Path | None,
    report_progress: ReportProgress,
    by_heartbeat: bool = False,
    former: Path | None = None,
    link_mbps: float = 0.0,
) -> Result:
    """Play a script with the random values of a seed; keep the logs on a failure.

    With ``by_heartbeat`` servers hear of their keys in the answers to heartbeats.
    ``former`` is a checkout of another version; see ``RunContext``. With ``link_mbps``
    entry nodes take their links for so narrow.
    """
    log_folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=folder))
    result = asyncio.run(
        _play(
            seed,
            script,
            log_folder,
            report_progress,
            by_heartbeat,
            former,
            link_mbps,
        )
    )
    if not result.violations:
        shutil.rmtree(log_folder)
    return result
