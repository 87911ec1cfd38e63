"""What a control node does with calls after it was told to stop."""

from __future__ import annotations

import asyncio
from pathlib import Path

from dragonflyrock.node.control import ControlNode
from dragonflyrock.node.settings import ListenAddresses, NodeIdentity, NodeSettings
from dragonflyrock.platform.control_calls import ControlCalls
from dragonflyrock.platform.orders import OrderCalls
from tests.common import free_port
from tests.paused_clock import PausedClock, run_paused


# Guards against a call cut by the stop of its control node: an operator or a backend
# server got a closed connection and could not tell what became of it.
def test_a_stopping_control_node_answers_the_calls_under_way(
    tmp_path: Path,
) -> None:
    async def scene(clock: PausedClock) -> None:
        port = free_port()
        name = "127.0.0.1"
        settings = NodeSettings(
            node=NodeIdentity(
                name=name,
                label="control-1",
                role="control",
                availability_zone="a",
                forming=True,
                data_folder=str(tmp_path),
            ),
            listen=ListenAddresses(
                link=f"{name}:{free_port()}", control=f"{name}:{port}"
            ),
            seeds=(f"{name}:1", "127.0.0.2:1", "127.0.0.3:1"),
        )
        node = ControlNode(settings, OrderCalls().send, clock.now, clock.read)
        running = asyncio.create_task(node.run(ControlCalls(node).handle))
        await asyncio.sleep(0.2)
        # Two of three voters are missing, so the call ends by its time-out.
        reader, writer = await asyncio.open_connection(name, port)
        writer.write(b"GET /-/config/get HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.1)
        node.stop()
        answer = await reader.read(-1)
        assert answer.startswith(b"HTTP/1.1 503 ")
        writer.close()
        await running

    run_paused(scene)
