"""Tests of a control node whose disk refuses writes while it runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from dragonflyrock.clock import read_clock
from dragonflyrock.control.calls import HeartbeatAccepted
from dragonflyrock.control.directed_models import Order, OrderResult, ServerHeartbeat
from dragonflyrock.errors import Reason, Refusal
from dragonflyrock.http import Request, Response, make_response
from dragonflyrock.models import ServerRow
from dragonflyrock.node import loop as node_loop
from dragonflyrock.node.control import (
    UNREPORTED_SECONDS,
    ControlNode,
    UnreportedHeartbeat,
)
from dragonflyrock.node.settings import NodeSettings, load_node_settings
from dragonflyrock.routes import RouteDocument
from dragonflyrock.transport.messages import ServersHeard

from ..common import free_port
from ..consensus.groups import FaultyFiles

NAME = "127.0.0.1"
HEARTBEAT = ServerHeartbeat("server", "service", "127.0.0.1:9", "a", 1, 1)


class LineRecorder:
    """A structured log that records lines instead of writing them."""

    def __init__(self, *_: object, **__: object) -> None:
        """Start without lines."""
        self.lines: list[dict[str, object]] = []

    def add(self, event: str, **fields: object) -> None:
        """Record a line."""
        self.lines.append({"event": event, **fields})

    def flush(self) -> None:
        """Write nothing."""


@pytest.fixture
def settings(tmp_path: Path) -> NodeSettings:
    """Return the settings of a control group of one node on loopback."""
    path = tmp_path / "node.toml"
    path.write_text(
        f"""
seeds = ["{NAME}:80"]
[node]
name = "{NAME}"
label = "core-1"
role = "control"
availability_zone = "a"
forming = true
data_folder = "{tmp_path}"
[listen]
link = "{NAME}:{free_port()}"
control = "{NAME}:{free_port()}"
"""
    )
    return load_node_settings(path)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the timeout only ends a test that would hang."""
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.02)


async def reject_order(order: Order, seconds: float) -> OrderResult:
    """Fail on any order, as the test has no backend servers."""
    raise AssertionError(f"unexpected order: {order}")


async def handle_request(request: Request) -> Response:
    """Respond at the control address."""
    return make_response(200, b"")


# Guards against a control node with a full disk that stopped itself, was restarted, and
# stopped again until the disk accepted writes.
def test_a_control_node_keeps_running_while_its_disk_is_full(
    settings: NodeSettings, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_loop, "LineLog", LineRecorder)
    files = FaultyFiles()

    async def run_node() -> list[dict[str, object]]:
        node = ControlNode(settings, reject_order, read_clock())
        node._group._storage._files = files
        task = asyncio.create_task(node.run(handle_request))
        await wait_until(lambda: node._group.is_settled_leader(node._loop.clock()))
        assert isinstance(await node.receive_heartbeat(HEARTBEAT), HeartbeatAccepted)
        files.free_bytes = 20
        leaving = HEARTBEAT._replace(leaving=True, sequence=2)
        refused = await node.receive_heartbeat(leaving)
        assert isinstance(refused, Refusal), "nothing was saved"
        assert refused.reason == Reason.NO_LEADER
        assert isinstance(await node.read_routes(), Refusal), "nobody leads"
        assert not task.done()
        assert not node._state.servers["server"].stopping
        metrics = node._loop.metrics
        assert metrics.disk_lost.labels("control").value == 1
        assert metrics.disk_refusals.labels("control").value > 0
        files.free_bytes = None
        await wait_until(lambda: node._group.is_settled_leader(node._loop.clock()))
        assert isinstance(await node.receive_heartbeat(leaving), HeartbeatAccepted)
        assert isinstance(await node.read_routes(), RouteDocument)
        node.stop()
        await task
        lines = node._loop.lines
        assert isinstance(lines, LineRecorder)
        return lines.lines

    lines = [line for line in asyncio.run(run_node()) if "disk" in str(line["event"])]
    assert [line["event"] for line in lines] == ["disk-lost", "disk-regained"]
    for line in lines:
        assert "No space left on device" in str(line["error"])
        assert line["log_index"]


# Guards against a follower that acknowledged a heartbeat after its disk had failed: it
# used the rows committed before the failure, while the leader had newer ones.
def test_a_node_without_its_disk_acknowledges_no_heartbeat(
    settings: NodeSettings,
) -> None:
    async def check_before_and_after() -> tuple[bool, bool]:
        node = ControlNode(settings, reject_order, read_clock())
        row = ServerRow("server", "service", HEARTBEAT.address, "a", 1, 1, 1, False)
        node._state.servers["server"] = row
        before = node._repeats_committed_row(HEARTBEAT)
        node._group.disk_error = "No space left on device"
        after = node._repeats_committed_row(HEARTBEAT)
        node._loop.close()
        return before, after

    assert asyncio.run(check_before_and_after()) == (True, False)


# Guards against heartbeats that were acknowledged and are never reported: the leader
# then counts the servers as silent.
def test_heartbeats_are_reported_once_there_is_a_leader_again(
    settings: NodeSettings, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def report_twice() -> list[tuple[str, object]]:
        node = ControlNode(settings, reject_order, read_clock())
        sent: list[tuple[str, object]] = []

        def send(peer: str, message: object) -> bool:
            """Record a message; the link to "unreachable" is not open."""
            if peer == "unreachable":
                return False
            sent.append((peer, message))
            return True

        monkeypatch.setattr(node._loop, "send", send)
        now = node._loop.clock()
        node._unreported["server"] = UnreportedHeartbeat(7, now, 5)
        node._unreported["silent"] = UnreportedHeartbeat(9, now - UNREPORTED_SECONDS, 0)
        for leader in ("", "unreachable", "leader", "leader"):
            node._group.replica.leader = leader
            node._report_servers()
        node._loop.close()
        return sent

    assert asyncio.run(report_twice()) == [
        ("leader", ServersHeard((("server", 7),), lives=(5,)))
    ]
