"""Plays the steps of a script on processes, proxies and servers."""

from __future__ import annotations

import asyncio
import signal
from typing import Final

from . import const
from .history import History
from .models import Acted
from .processes import NodeProcess
from .proxies import Fault, Proxies
from .script import Step
from .servers import StandIn

FORWARD: Final = 0
BACK: Final = 1


class Player:
    """Carry out steps; a step on a node or server that is down is passed over."""

    def __init__(
        self,
        history: History,
        nodes: dict[str, NodeProcess],
        servers: dict[str, StandIn],
        proxies: Proxies,
    ) -> None:
        """Act on these."""
        self._history = history
        self._nodes = nodes
        self._servers = servers
        self._proxies = proxies
        self._away: set[str] = set()

    async def play(self, script: tuple[Step, ...]) -> None:
        """Play all steps at their times, and wait until all have ended."""
        began = self._history.now()
        async with asyncio.TaskGroup() as group:
            for step in script:
                await asyncio.sleep(max(0.0, began + step.at - self._history.now()))
                group.create_task(self._do(step))

    def _note(self, step: Step, length: float) -> None:
        """Record a step that lasts for some seconds."""
        until = self._history.now() + length
        self._history.add(Acted(step.target, step.what, until, step.source))

    async def _do(self, step: Step) -> None:
        """Carry out a step."""
        match step.what:
            case "stop" | "kill" | "wipe" | "flip":
                await self._restart(step, self._nodes[step.target])
            case "freeze":
                await self._freeze(step, self._nodes[step.target])
            case "hup" | "change":
                self._note(step, 0.0)
                self._nodes[step.target].write_settings(change=True)
                if step.what == "hup":
                    self._nodes[step.target].send_signal(signal.SIGHUP)
            case "cut" | "delay" | "half" | "reset":
                await self._disturb(step)
            case "leave" | "crash" | "slow":
                await self._treat_server(step, self._servers[step.target])

    async def _restart(self, step: Step, node: NodeProcess) -> None:
        """End a node's process in some way, and start it again."""
        if node.is_down:
            return
        node.is_down = True
        if step.what == "stop":
            self._note(step, step.length + const.GRACE_SECONDS)
            await node.stop()
        else:
            self._note(step, step.length)
            await node.kill()
        match step.what:
            case "wipe":
                node.empty()
            case "flip":
                node.flip(step.value)
        await asyncio.sleep(step.length)
        if node.is_damaged:
            # It refuses to start, and is given an empty folder then.
            self._note(step._replace(what="flip"), 0.0)
        await node.start()

    async def _freeze(self, step: Step, node: NodeProcess) -> None:
        """Stop a process for a while with SIGSTOP."""
        if node.is_running:
            self._note(step, step.length)
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(step.length)
            node.send_signal(signal.SIGCONT)

    async def _disturb(self, step: Step) -> None:
        """Disturb a way through a proxy."""
        if step.what == "reset":
            self._note(step, 0.0)
            self._proxies.reset(step.source, step.target)
            return
        self._note(step, step.length)
        fault = Fault(step.source, step.target)
        match step.what:
            case "cut":
                forward, back = step.value != BACK, step.value != FORWARD
                fault = fault._replace(forward=forward, back=back)
            case "delay":
                fault = fault._replace(delay=step.value)
            case "half":
                fault = fault._replace(half=True)
        self._proxies.add(fault)
        await asyncio.sleep(step.length)
        # Half of the cuts end with a reset, as if the way had been found dead.
        is_reset = step.what == "cut" and int(step.length * 1000) % 2 == 0
        self._proxies.remove(fault, is_reset)

    async def _treat_server(self, step: Step, server: StandIn) -> None:
        """Let a server leave, crash or turn slow."""
        if step.target in self._away:
            return
        self._note(step, step.length)
        if step.what == "slow":
            server.is_slow = True
            await asyncio.sleep(step.length)
            server.is_slow = False
            return
        self._away.add(step.target)
        if step.what == "leave":
            await server.leave()
        else:
            await server.crash()
            await asyncio.sleep(step.length)
            await server.start()
        self._away.discard(step.target)
