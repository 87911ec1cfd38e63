"""A member that is told to stop hands its leadership over, and does not stand again."""

from __future__ import annotations

import pytest

from dragonflyrock.consensus import Role

from .common import TICK, Cluster

SEEDS = range(20)


def leave(cluster: Cluster) -> str:
    """Have the leader leave, and return its name."""
    leader = cluster.leader()
    assert leader is not None
    leader.stopping = True
    return leader.me.name


# Guards against a hand-over that is tried once: with an entry under way the leader
# ended as one, and the group waited for an election time.
def test_a_leader_hands_over_once_its_entries_have_arrived() -> None:
    for seed in SEEDS:
        cluster = Cluster("abc", seed)
        cluster.settle()
        cluster.run(0.5)
        cluster.propose(b"x")
        old = leave(cluster)
        cluster.run(0.15)
        new = cluster.leader()
        assert new is not None, f"seed {seed}"
        assert new.me.name != old, f"seed {seed}"


# Guards against a hand-over to a voter that is lost, where another one is there.
@pytest.mark.parametrize("lost", ["first", "last"])
def test_a_leader_hands_over_to_a_voter_that_is_there(lost: str) -> None:
    for seed in SEEDS:
        cluster = Cluster("abcde", seed)
        leader = cluster.settle()
        cluster.run(0.5)
        others = sorted(name for name in "abcde" if name != leader.me.name)
        cluster.stop(others[0 if lost == "first" else -1])
        cluster.run(0.25)
        old = leave(cluster)
        cluster.run(0.15)
        new = cluster.leader()
        assert new is not None, f"seed {seed}"
        assert new.me.name != old, f"seed {seed}"


# Guards against a stopping member that wins an election just before it ends.
def test_a_leaving_member_does_not_stand() -> None:
    for seed in SEEDS:
        cluster = Cluster("abcde", seed)
        leader = cluster.settle()
        cluster.run(0.5)
        stopping = next(
            replica for replica in cluster.replicas.values() if replica is not leader
        )
        stopping.stopping = True
        cluster.stop(leader.me.name)
        # The last heartbeats arrive; then its time to stand comes first.
        cluster.run(0.02)
        for name, replica in cluster.replicas.items():
            first = 0.36 if replica is stopping else 0.55
            replica.election_at = cluster.clocks[name] + first
        for _ in range(200):
            cluster.run(TICK)
            assert stopping.role == Role.FOLLOWER, f"seed {seed}"
        assert cluster.leader() is not None, f"seed {seed}"
