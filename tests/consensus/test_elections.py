"""Elections with several candidates at once."""

from __future__ import annotations

from random import Random

import pytest

from dragonflyrock.consensus import Replica, membership

from .common import TICK_SECONDS, Cluster

LEADING_SECONDS = 1.0


def lose_leader(names: str, seed: int, apart: float) -> tuple[Cluster, int]:
    """Stop the leader and have all others become candidates within ``apart`` seconds.

    Return the cluster and the leader's term.
    """
    cluster = Cluster(names, seed)
    leader = cluster.wait_for_leader()
    cluster.run(LEADING_SECONDS)
    cluster.stop(leader.me.name)
    draw = Random(seed)
    for name, replica in cluster.replicas.items():
        first = cluster.clocks[name] + replica.timing.election_min + TICK_SECONDS
        replica.election_at = first + draw.uniform(0.0, apart)
    return cluster, leader.hard_state.term


# Guards against two candidates that grant each other a pre-vote and then split the
# votes, so that the group has no leader for another election timeout.
@pytest.mark.parametrize("names", ["abc", "abcde"])
@pytest.mark.parametrize("apart", [0.0, 0.03])
def test_simultaneous_candidates_elect_a_leader_in_the_first_round(
    names: str, apart: float
) -> None:
    for seed in range(40):
        cluster, term = lose_leader(names, seed, apart)
        elected: Replica = cluster.wait_for_leader()
        assert elected.hard_state.term == term + 1, f"seed {seed}"


# Guards against a pre-vote that is granted for a term whose vote would be refused.
def test_no_pre_vote_is_given_for_a_term_whose_vote_is_given() -> None:
    for seed in range(40):
        cluster, term = lose_leader("abcde", seed, 0.3)
        cluster.wait_for_leader()
        terms = {replica.hard_state.term for replica in cluster.replicas.values()}
        assert terms == {term + 1}, f"seed {seed}"


# Guards against CONFIG: a voter that refuses the only candidate for ever, since a
# removal which it wrote as a former leader, and which was never committed, excludes it.
def test_an_uncommitted_removal_does_not_exclude_a_candidate() -> None:
    cluster = Cluster("abc", seed=70)
    former = cluster.wait_for_leader()
    cluster.run(1.0)
    removed, other = (name for name in "abc" if name != former.me.name)
    cluster.isolate(former.me.name)
    assert isinstance(membership.remove_member(former, removed), int)
    cluster.run(3.0)
    cluster.propose(b"confirmed")
    cluster.run(1.0)
    assert cluster.commands(removed) == [b"confirmed"]
    cluster.stop(other)
    cluster.cut_links.clear()
    cluster.run(5.0)
    leader = cluster.leader()
    assert leader is not None, "no leader was elected"
    assert leader.me.name == removed
    assert cluster.commands(former.me.name) == [b"confirmed"]
