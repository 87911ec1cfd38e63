"""Plays the steps of a script on processes, proxies and servers."""

from __future__ import annotations

import asyncio
import signal
from typing import Final

from .const import GRACE_SECONDS
from .history import History
from .models import Acted
from .processes import NodeProcess
from .proxies import Fault, Proxies
from .script import Step
from .servers import StandIn

__all__ = ["Player"]

FORWARD: Final = 0
BACK: Final = 1
REFUSED_START_SECONDS: Final = 2.0


class Player:
    """Carry out steps; steps on a node that is down already are passed over."""

    def __init__(
        self,
        history: History,
        nodes: dict[str, NodeProcess],
        servers: dict[str, StandIn],
        proxies: Proxies,
        late: dict[str, asyncio.Event],
    ) -> None:
        """Act on these; ``late`` tells the callers of a node that it stops."""
        self._history = history
        self._nodes = nodes
        self._servers = servers
        self._proxies = proxies
        self._late = late
        self._leaving: set[str] = set()

    async def play(self, script: tuple[Step, ...], began: float) -> None:
        """Play all steps at their times, and wait until all have ended."""
        async with asyncio.TaskGroup() as group:
            for step in script:
                await asyncio.sleep(max(0.0, began + step.at - self._history.now()))
                group.create_task(self._do(step))

    def _note(self, step: Step, until: float) -> None:
        """Record a step; ``until`` counts from now."""
        now = self._history.now()
        what = f"{step.what}<{step.source}" if step.source else step.what
        self._history.add(Acted(now, step.target, what, now + until))

    async def _do(self, step: Step) -> None:
        """Carry out a step."""
        match step.what:
            case "stop" | "kill" | "wipe" | "flip":
                await self._restart(step, self._nodes[step.target])
            case "freeze":
                await self._freeze(step, self._nodes[step.target])
            case "hup" | "change":
                node = self._nodes[step.target]
                self._note(step, 0.0)
                node.write_settings(change=True)
                if step.what == "hup":
                    node.send_signal(signal.SIGHUP)
            case "cut" | "delay" | "half" | "reset":
                await self._disturb(step)
            case "leave" | "crash" | "slow":
                await self._treat_server(step, self._servers[step.target])

    async def _restart(self, step: Step, node: NodeProcess) -> None:
        """End a node's process in some way, and start it again."""
        if node.down:
            return
        node.down = True
        until = step.length
        if step.what == "stop":
            until += GRACE_SECONDS
        self._note(step, until)
        if step.what == "stop":
            event = self._late.get(step.target)
            if event is not None:
                event.set()
            await node.stop()
            if event is not None:
                event.clear()
        else:
            await node.kill()
        if step.what == "wipe":
            node.empty()
        if step.what == "flip":
            node.flip(step.value)
        await asyncio.sleep(step.length)
        await node.start()
        if step.what == "flip":
            await self._replace_refused(step, node)

    async def _replace_refused(self, step: Step, node: NodeProcess) -> None:
        """Empty the folder of a node that refuses to start with it."""
        await asyncio.sleep(REFUSED_START_SECONDS)
        if not node.pid and not node.down:
            self._note(step._replace(what="replace"), 0.0)
            node.empty()
            await node.start()

    async def _freeze(self, step: Step, node: NodeProcess) -> None:
        """Stop a process for a while with SIGSTOP."""
        if not node.pid:
            return
        self._note(step, step.length)
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(step.length)
        node.send_signal(signal.SIGCONT)

    async def _disturb(self, step: Step) -> None:
        """Disturb a way through a proxy."""
        self._note(step, step.length if step.what != "reset" else 0.0)
        if step.what == "reset":
            self._proxies.reset(step.source, step.target)
            return
        fault = Fault(step.source, step.target)
        match step.what:
            case "cut":
                fault = fault._replace(
                    forward=step.value != BACK, back=step.value != FORWARD
                )
            case "delay":
                fault = fault._replace(delay=step.value)
            case "half":
                fault = fault._replace(half=True)
        self._proxies.add(fault)
        await asyncio.sleep(step.length)
        # Half of the cuts end with a reset, as if the way had been found dead.
        reset = step.what == "cut" and int(step.length * 1000) % 2 == 0
        self._proxies.remove(fault, reset)

    async def _treat_server(self, step: Step, server: StandIn) -> None:
        """Let a server leave, crash or turn slow."""
        if step.target in self._leaving:
            return
        self._note(step, step.length)
        if step.what == "slow":
            server.is_slow = True
            await asyncio.sleep(step.length)
            server.is_slow = False
            return
        self._leaving.add(step.target)
        if step.what == "leave":
            await server.leave()
        else:
            await server.crash()
            await asyncio.sleep(step.length)
            await server.start_again()
        self._leaving.discard(step.target)
