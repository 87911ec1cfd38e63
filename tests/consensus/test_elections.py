"""Elections in which several members stand at once."""

from __future__ import annotations

from random import Random

import pytest

from dragonflyrock.consensus import Replica

from .common import TICK, Cluster

LOST_AT = 1.0


def lose_leader(names: str, seed: int, apart: float) -> tuple[Cluster, int]:
    """Stop the leader and have all others stand almost at once; return its term."""
    cluster = Cluster(names, seed)
    leader = cluster.settle()
    cluster.run(LOST_AT)
    cluster.stop(leader.me.name)
    draw = Random(seed)
    for name, replica in cluster.replicas.items():
        first = cluster.clocks[name] + replica.timing.election_min + TICK
        replica.election_at = first + draw.uniform(0.0, apart)
    return cluster, leader.hard_state.term


# Guards against: two candidates promise each other their votes, split them, and the
# group is without a leader for another election time.
@pytest.mark.parametrize("names", ["abc", "abcde"])
@pytest.mark.parametrize("apart", [0.0, 0.03])
def test_members_that_stand_at_once_elect_one_in_the_first_round(
    names: str, apart: float
) -> None:
    for seed in range(40):
        cluster, term = lose_leader(names, seed, apart)
        elected: Replica = cluster.settle()
        assert elected.hard_state.term == term + 1, f"seed {seed}"


# Guards against: a pre-vote that promises what a vote of the same term would refuse.
def test_no_pre_vote_is_given_for_a_term_whose_vote_is_given() -> None:
    for seed in range(40):
        cluster, term = lose_leader("abcde", seed, 0.3)
        cluster.settle()
        terms = {replica.hard_state.term for replica in cluster.replicas.values()}
        assert terms == {term + 1}, f"seed {seed}"
