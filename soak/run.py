"""One run: starts everything, plays a seed's script, and checks while it runs."""

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
from .history import History
from .history_index import SOAK, HistoryIndex
from .layout import reserve_network
from .models import Event, Outcome, Starved, Violation
from .operators import Desk, Operator
from .player import Player
from .processes import NodeProcess
from .proxies import Proxies
from .script import Step
from .servers import StandIn
from .world import World

TAIL_SECONDS: Final = 2.0
POLL_SECONDS: Final = 0.2
BEAT_SECONDS: Final = 0.1
OPERATORS: Final = ("op1", "op2")

Tell = Callable[[str], None]


class Result(NamedTuple):
    """How a seed ended; ``folder`` keeps the logs of one that failed."""

    seed: int
    script: tuple[Step, ...]
    violations: list[Violation]
    events: list[Event]
    folder: Path

    def count(self, how: str) -> int:
        """Return how many attempts ended in a way."""
        records = (event.record for event in self.events)
        return sum(isinstance(one, Outcome) and one.how == how for one in records)


class Run:
    """All parties of one run."""

    def __init__(self, world: World, tell: Tell) -> None:
        """Prepare the parties; ``tell`` takes lines of progress."""
        self._world = world
        self._history = world.history
        self._tell = tell
        self._places = world.layout.list_nodes()
        self._nodes = {place.name: NodeProcess(world, place) for place in self._places}
        servers = [StandIn(world, number + 1) for number in range(const.SERVERS)]
        self._servers = {server.label: server for server in servers}
        self._proxies = Proxies({p.door.encode(): p.name for p in self._places})
        self._desk = Desk()
        self._operators = [Operator(name, world, self._desk) for name in OPERATORS]
        self._tasks: list[asyncio.Task[None]] = []

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a party until the end."""
        self._tasks.append(asyncio.create_task(work))

    async def start(self) -> None:
        """Start proxies, nodes and servers; wait until requests are served."""
        self._spawn(self._watch_processor())
        for place in self._places:
            await self._proxies.listen(
                place.name, place.address, f"{place.home}:{place.port}"
            )
            link = (f"{ip}:{const.LINK_PORT}" for ip in (place.door, place.home))
            await self._proxies.listen(f"{place.name}/link", *link)
        await asyncio.gather(*(n.start(forming=True) for n in self._nodes.values()))
        for server in self._servers.values():
            await self._proxies.listen(server.label, *server.addresses)
            await server.start()
        async with asyncio.timeout(const.START_TIMEOUT_SECONDS):
            await self._operators[0].put_first()
            self._start_callers()
            while list_unrecovered(self._index_history()):
                await asyncio.sleep(POLL_SECONDS)
        for operator in self._operators:
            self._spawn(operator.work())

    async def _watch_processor(self) -> None:
        """Record when this loop stood still, and nodes that got no processor."""
        last, uses = self._history.now(), dict.fromkeys(self._nodes, (False, 0.0))
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            now, seen = self._history.now(), uses
            uses = {name: node.read_use() for name, node in self._nodes.items()}
            waited = [
                name
                for name, (wants, use) in uses.items()
                if wants and seen[name][0] and use - seen[name][1] < (now - last) / 4
            ]
            if now - last > BEAT_SECONDS + const.STARVATION_SECONDS:
                waited = [SOAK]
            for name in waited:
                self._history.events.append(Event(last, Starved(name, now)))
            last = now

    def _start_callers(self) -> None:
        """Start the readiness checks and all callers."""
        balancer = Balancer(self._world)
        self._spawn(balancer.watch())

        def make(name: str) -> Caller:
            return Caller(name, self._world, balancer, self._desk)

        for number in range(const.CALLERS):
            self._spawn(make(f"caller{number}").call_often())
        for place in self._world.layout.list_role("entry"):
            stopping = self._nodes[place.name].stopping
            for number in range(const.IDLE_CONNECTIONS_PER_NODE):
                caller = make(f"kept{number}-{place.name}")
                self._spawn(caller.call_seldom(place, stopping))

    def _index_history(self, is_over: bool = False) -> HistoryIndex:
        """Return the history so far, indexed."""
        return HistoryIndex(self._history.events, self._history.now(), is_over)

    async def play(self, script: tuple[Step, ...]) -> list[Violation]:
        """Play a script, then wait until all are useful again; check meanwhile."""
        player = Player(self._history, self._nodes, self._servers, self._proxies)
        playing = asyncio.create_task(player.play(script))
        try:
            while not playing.done():
                await asyncio.wait({playing}, timeout=const.CHECK_INTERVAL_SECONDS)
                if found := self._check():
                    return found
            playing.result()
            await asyncio.sleep(TAIL_SECONDS)
            while not (found := self._check()) and list_unrecovered(
                self._index_history()
            ):
                await asyncio.sleep(POLL_SECONDS)
            return found or await self._read_back()
        finally:
            playing.cancel()
            await asyncio.gather(playing, return_exceptions=True)

    def _check(self) -> list[Violation]:
        """Check the history so far, after a line of progress."""
        index = self._index_history()
        self._tell(
            f"seed {self._world.seed}: {index.now:5.1f} s, {len(index.events)} events"
        )
        for task in self._tasks:
            if task.done():
                task.result()
        return check_history(index)

    async def _read_back(self) -> list[Violation]:
        """End the operators' changes and read the configuration once more."""
        await self._end_parties()
        until = self._history.now() + const.RECOVERY_SECONDS
        while not await self._operators[0].read(last=True):
            if self._history.now() > until:
                detail = "the configuration could not be read back"
                return [Violation("CONFIG", self._history.now(), detail)]
            await asyncio.sleep(POLL_SECONDS)
        return check_history(self._index_history(is_over=True))

    async def _end_parties(self) -> None:
        """End callers and operators."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    async def end(self) -> None:
        """End everything that was started."""
        await self._end_parties()
        for node in self._nodes.values():
            await node.kill()
        for server in self._servers.values():
            if server.name:
                await server.crash()
        await self._proxies.close()


async def _play(
    seed: int, script: tuple[Step, ...], folder: Path, tell: Tell
) -> Result:
    """Play a script with its files in a folder."""
    layout, holder = reserve_network()
    history = History()
    run = Run(World(layout, history, folder, seed), tell)
    try:
        await run.start()
        found = await run.play(script)
    except TimeoutError:
        detail = f"nothing was served {const.START_TIMEOUT_SECONDS} s after the start"
        found = [Violation("START", history.now(), detail)]
    finally:
        await run.end()
        holder.close()
    return Result(seed, script, found, history.events, folder)


def play(
    seed: int, script: tuple[Step, ...], folder: Path | None, tell: Tell
) -> Result:
    """Play a script with the chance of a seed; keep the logs if a check breaks."""
    place = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=folder))
    result = asyncio.run(_play(seed, script, place, tell))
    if not result.violations:
        shutil.rmtree(place)
    return result
