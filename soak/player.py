"""Apply the steps of a fault script to processes, proxies and servers."""

from __future__ import annotations

import asyncio
import itertools
import signal
from typing import Final

from . import const, wire
from .history import History
from .models import Acted, Evacuated, Put, Returned
from .operators import MANY_CHANGES_PAUSE_SECONDS, ConfigView
from .processes import NodeProcess
from .proxies import ENDLESS_ANSWERS, Fault, Proxies
from .script import Step
from .servers import StandIn

ORDER_RETRY_SECONDS: Final = 0.1
FORWARD: Final = 0
BACKWARD: Final = 1
# Whether open connections are lost, and those that are opened meanwhile.
LOSSES: Final = {
    "part": (False, False),
    "lose": (True, False),
    "dark": (True, False),
    "trap": (True, True),
}


class Player:
    """Apply the steps of a script; skip those whose node or server is down."""

    def __init__(
        self,
        history: History,
        nodes: dict[str, NodeProcess],
        servers: dict[str, StandIn],
        proxies: Proxies,
        config_view: ConfigView,
    ) -> None:
        """Prepare to apply faults to these nodes, servers and proxies."""
        self._config_view = config_view
        self._history = history
        self._nodes = nodes
        self._servers = servers
        self._proxies = proxies
        self._stopped_servers: set[str] = set()

    async def play(self, script: tuple[Step, ...]) -> None:
        """Apply all steps at their times, and wait until all have ended."""
        started_at = self._history.now()
        async with asyncio.TaskGroup() as group:
            for step in script:
                await asyncio.sleep(
                    max(0.0, started_at + step.at - self._history.now())
                )
                if step.what == "await":
                    waited_since = self._history.now()
                    await self._wait_for_change()
                    # Later steps keep their distance.
                    started_at += self._history.now() - waited_since
                group.create_task(self._apply_step(step))

    def _record(self, step: Step, length: float) -> None:
        """Record a step that lasts for ``length`` seconds."""
        until = self._history.now() + length
        self._history.add(Acted(step.target, step.what, until, step.source))

    async def _apply_step(self, step: Step) -> None:
        """Apply one step and wait until it ends."""
        match step.what:
            case "stop" | "kill" | "wipe" | "flip":
                await self._restart(step, self._nodes[step.target])
            case "freeze":
                await self._freeze(step, self._nodes[step.target])
            case "hup" | "change":
                self._record(step, 0.0)
                self._nodes[step.target].write_settings(change=True)
                if step.what == "hup":
                    self._nodes[step.target].send_signal(signal.SIGHUP)
            case "cut" | "delay" | "half" | "reset" | "endless":
                await self._apply_network_fault(step)
            case "part" | "lose" | "trap" | "dark":
                await self._part(step)
            case "rush":
                self._config_view.pause_seconds = MANY_CHANGES_PAUSE_SECONDS
                await asyncio.sleep(step.length)
                self._config_view.pause_seconds = const.OPERATOR_PAUSE_SECONDS
            case "hang" | "drop" | "refuse":
                await self._isolate(step)
            case "evacuate":
                await self._evacuate(step)
            case "leave" | "crash" | "slow" | "pause" | "limit":
                await self._apply_server_fault(step, self._servers[step.target])

    async def _evacuate(self, step: Step) -> None:
        """Order the evacuation of a zone, and take it back after the step's length."""
        self._record(step, step.length)
        await self._order_until_acknowledged(step.target, "start")
        self._history.add(Evacuated(step.target))
        await asyncio.sleep(step.length)
        self._history.add(Returned(step.target))
        await self._order_until_acknowledged(step.target, "end")

    async def _order_until_acknowledged(self, zone: str, order: str) -> None:
        """Send an order to one control node after the other until one accepts it."""
        specs = [node.spec for node in self._nodes.values()]
        for spec in itertools.cycle(s for s in specs if s.role == "control"):
            path = wire.make_evacuation_path(zone, order)
            response = await wire.call(spec.address, "POST", path)
            if response is not None and response.status == 200:
                return
            await asyncio.sleep(ORDER_RETRY_SECONDS)

    async def _restart(self, step: Step, node: NodeProcess) -> None:
        """Stop or kill a node's process, damage its disk if asked, and restart it."""
        if node.is_down:
            return
        node.is_down = True
        if step.what == "stop":
            self._record(step, step.length + const.GRACE_SECONDS)
            await node.stop()
        else:
            self._record(step, step.length)
            await node.kill()
        match step.what:
            case "wipe":
                node.clear_data()
            case "flip":
                node.flip_bit(step.value)
        await asyncio.sleep(step.length)
        if node.is_damaged:
            # A node with a damaged log exits at its start, and is then started again
            # with an empty data folder. Record that exit as part of the fault.
            self._record(step._replace(what="flip"), 0.0)
        await node.start()

    async def _freeze(self, step: Step, node: NodeProcess) -> None:
        """Pause a process with SIGSTOP for the length of the step."""
        if node.is_running:
            self._record(step, step.length)
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(step.length)
            node.send_signal(signal.SIGCONT)

    async def _apply_network_fault(self, step: Step) -> None:
        """Disturb or reset connections through a proxy."""
        if step.what == "reset":
            self._record(step, 0.0)
            self._proxies.reset(step.source, step.target)
            return
        self._record(step, step.length)
        fault = Fault(step.source, step.target)
        match step.what:
            case "cut":
                forward, backward = step.value != BACKWARD, step.value != FORWARD
                fault = fault._replace(hold_forward=forward, hold_backward=backward)
            case "delay":
                fault = fault._replace(delay=step.value)
            case "half":
                fault = fault._replace(truncate=True)
            case "endless":
                number = int(step.value * len(ENDLESS_ANSWERS))
                # Grants go on, so that only requests get such answers.
                fault = Fault("entry", step.target, endless=ENDLESS_ANSWERS[number])
        self._proxies.add(fault)
        await asyncio.sleep(step.length)
        # Half of the cuts end with a reset, as if TCP had given up the connections.
        is_reset = step.what == "cut" and int(step.length * 1000) % 2 == 0
        self._proxies.remove(fault, is_reset)

    async def _wait_for_change(self) -> None:
        """Wait until a change of the configuration is accepted."""
        events, known = self._history.events, len(self._history.events)
        while not any(
            isinstance(event.record, Put) and event.record.status == 200
            for event in events[known:]
        ):
            await asyncio.sleep(ORDER_RETRY_SECONDS)

    async def _part(self, step: Step) -> None:
        """Part a node from other nodes, or from all callers too if it is dark."""
        self._record(step, step.length)
        toward, away = step.value != BACKWARD, step.value != FORWARD
        lose_open, lose_new = LOSSES[step.what]
        ports = [f"{step.target}/link"] + [step.target] * (step.what == "dark")
        to_node = Fault(
            step.source,
            step.target,
            hold_forward=toward,
            hold_backward=away,
            lose_open=lose_open,
            lose_new=lose_new,
        )
        from_node = to_node._replace(
            source=step.target, hold_forward=away, hold_backward=toward
        )
        faults = [to_node._replace(target=port) for port in ports] + [
            from_node._replace(target=f"{name}/link")
            for name in self._nodes
            if name != step.target and name.startswith(step.source)
        ]
        for fault in faults:
            self._proxies.add(fault)
        await asyncio.sleep(step.length)
        for fault in faults:
            self._proxies.remove(fault)

    async def _isolate(self, step: Step) -> None:
        """Cut an entry node off from all servers, which others still reach."""
        self._record(step, step.length)
        is_held, is_refused = step.what == "hang", step.what != "hang"
        faults = [
            Fault(
                step.target,
                server,
                hold_forward=is_held,
                hold_backward=is_held,
                refuse=is_refused,
            )
            for server in self._servers
        ]
        for fault in faults:
            self._proxies.add(fault)
            if step.what == "drop":
                self._proxies.reset(fault.source, fault.target)
        await asyncio.sleep(step.length)
        for fault in faults:
            self._proxies.remove(fault)

    async def _apply_server_fault(self, step: Step, server: StandIn) -> None:
        """Make a server leave, crash, slow down, ask for a pause or name a limit."""
        if step.target in self._stopped_servers:
            return
        self._record(step, step.length)
        if step.what == "slow":
            server.is_slow = True
            await asyncio.sleep(step.length)
            server.is_slow = False
            return
        if step.what == "pause":
            server.paused_until = self._history.now() + step.length
            return
        if step.what == "limit":
            server.limit = const.MIN_LIMIT_PER_SECOND * (1 + step.value)
            await asyncio.sleep(step.length)
            server.limit = 0.0
            return
        self._stopped_servers.add(step.target)
        if step.what == "leave":
            await server.leave()
        else:
            await server.crash()
            await asyncio.sleep(step.length)
            await server.start()
        self._stopped_servers.discard(step.target)
