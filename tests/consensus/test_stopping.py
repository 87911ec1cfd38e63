"""Stopping members hand their leadership over and do not become candidates."""

from __future__ import annotations

import pytest

from dragonflyrock.consensus import Role

from .common import TICK_SECONDS, Cluster

SEEDS = range(20)


def stop_leader(cluster: Cluster) -> str:
    """Mark the leader as stopping and return its name."""
    leader = cluster.leader()
    assert leader is not None
    leader.stopping = True
    return leader.me.name


# Guards against a hand-over that is tried only once: if an entry is still in flight
# then, the leader ends without a successor and the group waits for an election timeout.
def test_a_leader_hands_over_once_its_entries_have_arrived() -> None:
    for seed in SEEDS:
        cluster = Cluster("abc", seed)
        cluster.wait_for_leader()
        cluster.run(0.5)
        cluster.propose(b"x")
        old = stop_leader(cluster)
        cluster.run(0.15)
        new = cluster.leader()
        assert new is not None, f"seed {seed}"
        assert new.me.name != old, f"seed {seed}"


# Guards against a leader that hands over to a lost voter although another one is
# available.
@pytest.mark.parametrize("lost", ["first", "last"])
def test_a_leader_hands_over_to_an_available_voter(lost: str) -> None:
    for seed in SEEDS:
        cluster = Cluster("abcde", seed)
        leader = cluster.wait_for_leader()
        cluster.run(0.5)
        others = sorted(name for name in "abcde" if name != leader.me.name)
        cluster.stop(others[0 if lost == "first" else -1])
        cluster.run(0.25)
        old = stop_leader(cluster)
        cluster.run(0.15)
        new = cluster.leader()
        assert new is not None, f"seed {seed}"
        assert new.me.name != old, f"seed {seed}"


# Guards against a stopping member that wins an election just before it ends.
def test_a_stopping_member_does_not_become_a_candidate() -> None:
    for seed in SEEDS:
        cluster = Cluster("abcde", seed)
        leader = cluster.wait_for_leader()
        cluster.run(0.5)
        stopping = next(
            replica for replica in cluster.replicas.values() if replica is not leader
        )
        stopping.stopping = True
        cluster.stop(leader.me.name)
        # After the last heartbeats arrive, its election timer is the first to fire.
        cluster.run(0.02)
        for name, replica in cluster.replicas.items():
            first = 0.36 if replica is stopping else 0.55
            replica.election_at = cluster.clocks[name] + first
        for _ in range(200):
            cluster.run(TICK_SECONDS)
            assert stopping.role == Role.FOLLOWER, f"seed {seed}"
        assert cluster.leader() is not None, f"seed {seed}"
