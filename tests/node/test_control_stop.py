"""Tests of calls to a control node that is stopping."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final, NamedTuple

from dragonflyrock.node.control import HANDOVER_SECONDS, ControlNode
from dragonflyrock.node.settings import ListenAddresses, NodeIdentity, NodeSettings
from dragonflyrock.platform.control_calls import ControlCalls
from dragonflyrock.platform.orders import OrderClient
from tests.common import free_port
from tests.paused_clock import PausedClock, run_paused

READ_ROUTES: Final = b"GET /-/config/get HTTP/1.1\r\nHost: x\r\n\r\n"


class ControlHarness(NamedTuple):
    """A control node without a quorum, whose calls all time out."""

    node: ControlNode
    port: int

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the control address."""
        return await asyncio.open_connection("127.0.0.1", self.port)


def run_control_scenario(
    folder: Path, scenario: Callable[[ControlHarness], Awaitable[None]]
) -> None:
    """Run a scenario with a control node on a paused clock, then stop the node."""

    async def run(clock: PausedClock) -> None:
        port = free_port()
        name = "127.0.0.1"
        settings = NodeSettings(
            node=NodeIdentity(
                name=name,
                label="control-1",
                role="control",
                availability_zone="a",
                forming=True,
                data_folder=str(folder),
            ),
            listen=ListenAddresses(
                link=f"{name}:{free_port()}", control=f"{name}:{port}"
            ),
            seeds=(f"{name}:1", "127.0.0.2:1", "127.0.0.3:1"),
        )
        node = ControlNode(settings, OrderClient().send, clock.now, clock.read)
        running = asyncio.create_task(node.run(ControlCalls(node).handle))
        await asyncio.sleep(0.2)
        await scenario(ControlHarness(node, port))
        node.stop()
        await running

    run_paused(run)


# Guards against a call that is cut when its control node stops: an operator or a
# backend server got a closed connection and could not know whether it took effect.
def test_a_stopping_control_node_answers_the_calls_in_progress(tmp_path: Path) -> None:
    async def scenario(harness: ControlHarness) -> None:
        reader, writer = await harness.open()
        writer.write(READ_ROUTES)
        await asyncio.sleep(0.1)
        harness.node.stop()
        response = await reader.read(-1)
        assert response.startswith(b"HTTP/1.1 503 ")
        writer.close()

    run_control_scenario(tmp_path, scenario)


# Guards against a call that is received in full only after the stop signal: the node
# ended before the call timed out.
def test_a_call_that_is_complete_only_after_the_signal_is_answered(
    tmp_path: Path,
) -> None:
    async def scenario(harness: ControlHarness) -> None:
        reader, writer = await harness.open()
        writer.write(READ_ROUTES[:-2])
        await asyncio.sleep(0.05)
        harness.node.stop()
        await asyncio.sleep(0.28)
        writer.write(READ_ROUTES[-2:])
        response = await reader.read(-1)
        assert response.startswith(b"HTTP/1.1 503 ")
        writer.close()

    run_control_scenario(tmp_path, scenario)


# Guards against a node that has nothing to hand over and still waits for it.
def test_a_node_that_does_not_lead_stops_at_once(tmp_path: Path) -> None:
    times: list[float] = []

    async def scenario(harness: ControlHarness) -> None:
        close = harness.node._member.close

        def record_close() -> None:
            """Record when the node closes its member."""
            times.append(harness.node._loop.clock())
            close()

        harness.node._member.close = record_close  # type: ignore[method-assign]
        times.append(harness.node._loop.clock())

    run_control_scenario(tmp_path, scenario)
    asked, closed = times
    assert closed - asked < HANDOVER_SECONDS / 2
