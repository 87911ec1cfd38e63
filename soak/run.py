"""One run: starts everything, plays a seed's script, and checks while it runs."""

from __future__ import annotations

import asyncio
import resource
import shutil
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any, Final, NamedTuple

from .callers import Balancer, Caller
from .checks import CHECKS, list_useless
from .config_checks import CONFIG_CHECKS
from .const import (
    CALLERS,
    CALLERS_PORT,
    CHECK_SECONDS,
    CONTROL_PORT,
    KEPT_PER_NODE,
    LINK_PORT,
    PLAIN_SERVERS,
    RECOVERY_SECONDS,
    SHARDED_SERVERS,
    START_SECONDS,
    ZONES,
)
from .facts import Facts
from .history import History
from .layout import Layout, reserve_network
from .models import Answered, Broken, Violation
from .operators import PLAIN_SERVICE, SHARDED_SERVICE, Desk, Operator
from .player import Player
from .processes import NodeProcess
from .proxies import Proxies, find_process
from .script import Step, make_script
from .servers import StandIn

__all__ = ["Result", "check_history", "play_seed"]

TAIL_SECONDS: Final = 2.0
FILES: Final = 4096


class Result(NamedTuple):
    """How a seed ended; ``folder`` keeps the logs of one that failed."""

    seed: int
    script: tuple[Step, ...]
    violations: tuple[Violation, ...]
    history: History
    folder: str

    @property
    def answered(self) -> int:
        """Return how many requests had a server's answer."""
        return sum(isinstance(r, Answered) and r.stamped for r in self.history.records)

    @property
    def broken(self) -> int:
        """Return how many connections ended before their answer."""
        return sum(isinstance(r, Broken) for r in self.history.records)


def check_history(facts: Facts) -> list[Violation]:
    """Return what breaks any check, in the order of time."""
    found = [one for check in (*CHECKS, *CONFIG_CHECKS) for one in check(facts)]
    return sorted(found, key=lambda violation: violation.at)


class Run:
    """All parties of one run."""

    def __init__(
        self, seed: int, folder: Path, layout: Layout, tell: Callable[[str], None]
    ) -> None:
        """Prepare the parties; ``tell`` takes lines of progress."""
        self.history = History()
        self._seed = seed
        self._tell = tell
        self._layout = layout
        self.nodes = {
            place.name: NodeProcess(layout, place, folder, self.history)
            for place in layout.nodes
        }
        self._servers = {
            server.label: server
            for server in (
                self._make_server(number)
                for number in range(1, SHARDED_SERVERS + PLAIN_SERVERS + 1)
            )
        }
        self.proxies = Proxies(self._find_peer)
        self._desk = Desk()
        self._late = {
            place.name: asyncio.Event() for place in layout.list_role("entry")
        }
        self._tasks: list[asyncio.Task[None]] = []

    def _make_server(self, number: int) -> StandIn:
        """Return the stand-in of a number."""
        sharded = number <= SHARDED_SERVERS
        service = SHARDED_SERVICE if sharded else PLAIN_SERVICE
        zone = ZONES[number % len(ZONES)]
        return StandIn(self._layout, number, service, sharded, zone)

    def _find_peer(self, port: int) -> str:
        """Return which node has a local port."""
        return find_process(port, {name: n.pid for name, n in self.nodes.items()})

    def _draw(self, name: str) -> Random:
        """Return a source of chance for one party."""
        return Random(f"{self._seed} {name}")

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a party until the end."""
        self._tasks.append(asyncio.create_task(work))

    async def start(self) -> None:
        """Start proxies, nodes and servers; wait until requests are served."""
        for place in self._layout.nodes:
            ports = {LINK_PORT: f"{place.name}/link"}
            ports[CONTROL_PORT if place.role == "control" else CALLERS_PORT] = (
                place.name
            )
            for port, target in ports.items():
                await self.proxies.listen(
                    target, f"{place.door}:{port}", f"{place.home}:{port}"
                )
        for server in self._servers.values():
            await self.proxies.listen(server.label, *server.addresses)
        await asyncio.gather(*(n.start(forming=True) for n in self.nodes.values()))
        for server in self._servers.values():
            await server.start(self.history, self._draw(server.label))
        self._operators = [
            Operator(name, self._layout, self.history, self._desk, self._draw(name))
            for name in ("op1", "op2")
        ]
        async with asyncio.timeout(START_SECONDS):
            await self._operators[0].put_first()
            self._start_callers()
            while list_useless(self._make_facts()):
                await asyncio.sleep(0.2)
        for operator in self._operators:
            self._spawn(operator.work())

    def _start_callers(self) -> None:
        """Start the readiness checks and all callers."""
        balancer = Balancer(self._layout, self.history, self._draw("balancer"))
        self._spawn(balancer.watch())

        def make(name: str) -> Caller:
            draw = self._draw(name)
            return Caller(name, self.history, balancer, draw, lambda: self._desk.routes)

        for number in range(CALLERS):
            self._spawn(make(f"caller{number}").call_often())
        for place in self._layout.list_role("entry"):
            for number in range(KEPT_PER_NODE):
                caller = make(f"kept{number}-{place.name}")
                self._spawn(caller.call_seldom(place, self._late[place.name]))

    def _make_facts(self, is_over: bool = False) -> Facts:
        """Return the history so far, indexed."""
        return Facts(self.history.records, self.history.now(), is_over)

    async def play(self, script: tuple[Step, ...]) -> list[Violation]:
        """Play a script, then wait until all are useful again; check meanwhile."""
        player = Player(
            self.history, self.nodes, self._servers, self.proxies, self._late
        )
        playing = asyncio.create_task(player.play(script, self.history.now()))
        try:
            while not playing.done():
                await asyncio.wait({playing}, timeout=CHECK_SECONDS)
                if found := self._check():
                    return found
            playing.result()
            await asyncio.sleep(TAIL_SECONDS)
            while not (found := self._check()):
                if not list_useless(self._make_facts()):
                    break
                await asyncio.sleep(0.5)
            return found or await self._read_back()
        finally:
            playing.cancel()
            await asyncio.gather(playing, return_exceptions=True)

    def _check(self) -> list[Violation]:
        """Check the history so far, after a line of progress."""
        facts = self._make_facts()
        count = len(self.history.records)
        self._tell(f"seed {self._seed}: {facts.now:5.1f} s, {count} records")
        for task in self._tasks:
            if task.done():
                task.result()
        return check_history(facts)

    async def _read_back(self) -> list[Violation]:
        """Stop the operators' changes and read the configuration once more."""
        await self.stop_parties()
        until = self.history.now() + RECOVERY_SECONDS
        while not await self._operators[0].read(last=True):
            if self.history.now() > until:
                detail = "the configuration could not be read back"
                return [Violation("CONFIG", self.history.now(), detail)]
            await asyncio.sleep(0.2)
        return check_history(self._make_facts(is_over=True))

    async def stop_parties(self) -> None:
        """End callers and operators."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    async def end(self) -> None:
        """End everything that was started."""
        await self.stop_parties()
        for node in self.nodes.values():
            await node.kill()
        for server in self._servers.values():
            if server.name:
                await server.crash()
        await self.proxies.close()


async def _play(
    seed: int, script: tuple[Step, ...], folder: Path, tell: Callable[[str], None]
) -> Result:
    """Play a script in a folder."""
    layout, holder = reserve_network()
    run = Run(seed, folder, layout, tell)
    try:
        try:
            await run.start()
        except TimeoutError:
            detail = f"nothing was served {START_SECONDS} s after the start"
            found = [Violation("START", run.history.now(), detail)]
        else:
            found = await run.play(script)
    finally:
        await run.end()
        holder.close()
    return Result(seed, script, tuple(found), run.history, str(folder))


def play_seed(
    seed: int, seconds: float, folder: Path | None, tell: Callable[[str], None]
) -> Result:
    """Play a seed; the logs of one that passes are removed."""
    resource.setrlimit(
        resource.RLIMIT_NOFILE,
        (FILES, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),
    )
    place = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=folder))
    result = asyncio.run(_play(seed, make_script(seed, seconds), place, tell))
    if not result.violations:
        shutil.rmtree(place)
    return result
