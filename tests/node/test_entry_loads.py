"""Tests of an entry node that shares the backlogs of servers with others."""

from __future__ import annotations

from dragonflyrock.transport.links import ReceivedMessage
from dragonflyrock.transport.messages import (
    LinkMessage,
    ServeNear,
    ServerLoad,
    ServerLoads,
)

from .entry_harness import EntryHarness, run_scenario


def record_sends(harness: EntryHarness) -> list[str]:
    """Return a list of the nodes that backlogs are sent to from now on."""
    peers: list[str] = []

    def send(peer: str, message: LinkMessage) -> bool:
        if isinstance(message, ServerLoads):
            peers.append(peer)
        return True

    harness.node._loop.send = send  # type: ignore[method-assign]
    return peers


def deliver(harness: EntryHarness, sender: str, message: LinkMessage) -> None:
    """Deliver a message of another node."""
    harness.node._receive(ReceivedMessage(sender, message), harness.clock.now)


def share(harness: EntryHarness) -> None:
    """Have the node hear of its server, and run a tick."""
    stat = next(iter(harness.node.state.stats.values()))
    harness.node.state.shared_loads.record(stat, harness.clock.now)
    harness.node._tick(harness.clock.now)


# Guards against backlogs for a node of a version without them, which drops each with a
# line.
def test_backlogs_go_only_to_a_node_that_has_sent_some() -> None:
    async def scenario(harness: EntryHarness) -> None:
        peers = record_sends(harness)
        deliver(harness, "core", ServeNear("core"))
        share(harness)
        assert peers == []
        deliver(harness, "core", ServerLoads())
        share(harness)
        assert peers == ["core"]

    run_scenario(scenario)


# Guards against backlogs for a node that does not serve this host any more.
def test_backlogs_end_with_the_node_that_serves_the_host() -> None:
    async def scenario(harness: EntryHarness) -> None:
        peers = record_sends(harness)
        deliver(harness, "core", ServeNear("core"))
        deliver(harness, "core", ServerLoads())
        deliver(harness, "core", ServeNear(""))
        share(harness)
        deliver(harness, "core", ServerLoads())
        share(harness)
        assert peers == []

    run_scenario(scenario)


# Guards against a host that ignores what others have heard.
def test_what_others_have_heard_reaches_the_statistics() -> None:
    async def scenario(harness: EntryHarness) -> None:
        name, stat = next(iter(harness.node.state.stats.items()))
        deliver(harness, "core", ServerLoads((ServerLoad(name, 6, 0),)))
        assert stat.reported_backlog == 6.0

    run_scenario(scenario)
