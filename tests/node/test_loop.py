"""Tests of the event loop integration of a node."""

from __future__ import annotations

import asyncio

import pytest

from dragonflyrock.node.loop import NodeLoop
from dragonflyrock.transport.links import ReceivedMessage
from dragonflyrock.transport.messages import (
    ConsensusMessage,
    LeavingServers,
    LinkMessage,
)

from .entry_harness import EntryHarness, run_scenario


# Guards against a tick that runs after the links are closed and fails, as it uses them.
def test_no_tick_runs_after_the_end() -> None:
    async def scenario(harness: EntryHarness) -> None:
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context)
        )
        harness.node.stop()
        assert harness.running is not None
        await harness.running
        await asyncio.sleep(1.0)
        assert errors == []

    run_scenario(scenario)


def deliver_with_error(harness: EntryHarness, message: LinkMessage) -> NodeLoop:
    """Deliver a message whose handling fails, and return the loop."""
    loop = harness.node._loop

    def fail(received: ReceivedMessage, now: float) -> None:
        raise ValueError("malformed")

    handle, loop._on_message = loop._on_message, fail
    loop._deliver(ReceivedMessage("10.0.0.9", message))
    loop._on_message = handle
    return loop


# Guards against one malformed message that ends a whole node: only the message is
# dropped, with a line.
def test_a_message_that_cannot_be_handled_is_dropped() -> None:
    async def scenario(harness: EntryHarness) -> None:
        loop = deliver_with_error(harness, LeavingServers(("s@1",)))
        assert loop.failure is not None
        assert not loop.failure.done()
        assert any(b'"message-dropped"' in line for line in loop.lines._lines)

    run_scenario(scenario)


# Guards against a member of the replicated log that goes on from a state which an error
# left half changed.
def test_an_error_in_a_message_of_the_log_ends_the_node() -> None:
    async def scenario(harness: EntryHarness) -> None:
        loop = deliver_with_error(harness, ConsensusMessage("g", "a", "b", b""))
        assert loop.failure is not None
        assert isinstance(loop.failure.exception(), ValueError)
        assert harness.running is not None
        with pytest.raises(ValueError, match="malformed"):
            await harness.running
        harness.running = None

    run_scenario(scenario)


# Guards against a link that stays closed without a line, and against a node that leaves
# it to the library to open it again.
def test_a_link_that_stays_closed_is_opened_anew_with_a_line(
    capfd: pytest.CaptureFixture[str],
) -> None:
    async def scenario(harness: EntryHarness) -> None:
        loop = harness.node._loop
        loop.connect("127.0.0.9")
        before = loop._links._senders["127.0.0.9"]
        await asyncio.sleep(6.0)
        assert loop._links._senders["127.0.0.9"] is not before
        assert loop.metrics.link_reopenings.value >= 2

    run_scenario(scenario)
    lines = [
        line for line in capfd.readouterr().out.splitlines() if "link-lost" in line
    ]
    assert len(lines) == 1
    assert '"peer":"127.0.0.9"' in lines[0]
