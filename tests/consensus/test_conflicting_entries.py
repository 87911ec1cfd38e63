"""Tests of members whose uncommitted entries differ from the leader's."""

from __future__ import annotations

from typing import Final

import pytest

from .common import Cluster

CATCH_UP_SECONDS: Final = 1.0
MAX_GAP_ENTRIES: Final = 10


# Guards against a control node that has outdated rows for as many round trips as it has
# conflicting entries, or for ever if messages of a link overtake each other meanwhile.
@pytest.mark.parametrize("count", [5, 20, 200])
@pytest.mark.parametrize("seed", range(4))
def test_a_former_leader_with_conflicting_entries_catches_up(
    seed: int, count: int
) -> None:
    cluster = Cluster("abc", seed)
    former = cluster.wait_for_leader().me.name
    cluster.run(0.5)
    cluster.isolate(former)
    for _ in range(count):
        cluster.propose(b"lost", former)
    cluster.run(1.5)
    leader = cluster.wait_for_leader()
    for _ in range(count + 50):
        cluster.propose(b"change")
    cluster.cut_links.clear()
    until = cluster.now + CATCH_UP_SECONDS
    while cluster.now < until:
        cluster.propose(b"change")
        cluster.run(0.02)
    assert cluster.leader() is leader
    follower = cluster.replicas[former]
    assert leader.commit_index - follower.commit_index <= MAX_GAP_ENTRIES
    applied = cluster.commands(former)
    assert applied == cluster.commands(leader.me.name)[: len(applied)]
