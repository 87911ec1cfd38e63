"""Elections after members were lost and started again."""

from __future__ import annotations

from typing import Final

import pytest

from dragonflyrock.consensus import Member, receive, take_output
from dragonflyrock.consensus.models import VoteAnswer, VoteRequest

from .common import TICK, Cluster

NAMES: Final = "abc"
LOADING_SECONDS: Final = 0.2
STAGGER_SECONDS: Final = 0.04
SEEDS: Final = range(40)


def lose_all(cluster: Cluster) -> None:
    """End all members; each runs again after the time that its code needs."""
    for name in NAMES:
        cluster.stop(name)
    cluster.run(LOADING_SECONDS)
    for name in NAMES:
        cluster.start(name)
        cluster.run(STAGGER_SECONDS)


def time_election(cluster: Cluster) -> float:
    """Return how long it takes until a leader is settled."""
    began = cluster.now
    cluster.settle(3.0)
    return cluster.now - began


# A whole loss cost an election time from the moment at which the code was loaded.
def test_a_lost_group_has_a_leader_soon_after_its_code_is_loaded() -> None:
    times = []
    for seed in SEEDS:
        cluster = Cluster(NAMES, seed=seed)
        cluster.settle()
        lose_all(cluster)
        times.append(time_election(cluster))
    times.sort()
    assert times[len(times) // 2] <= 0.2
    assert times[len(times) * 9 // 10] <= 0.3
    assert times[-1] <= 0.9


# What the process before may have acknowledged is kept, counted from its end.
@pytest.mark.parametrize("pause", [0.0, 0.1, 0.2, 0.28])
def test_a_restarted_voter_gives_no_vote_within_an_old_promise(pause: float) -> None:
    cluster = Cluster(NAMES, seed=1)
    leader = cluster.settle()
    cluster.run(1.0)
    voter, other = sorted(set(NAMES) - {leader.me.name})
    cluster.isolate(leader.me.name)
    cluster.stop(voter)
    stopped = cluster.clocks[voter]
    cluster.run(pause)
    cluster.start(voter)
    while cluster.clocks[voter] < stopped + 0.3 - TICK:
        assert cluster.replicas[voter].hard_state.voted_for in ("", leader.me.name)
        assert cluster.leader() in (None, leader)
        cluster.run(TICK)
    assert cluster.settle().me.name in (voter, other)


# A member that starts beside a living leader asks often, and must not end its term.
def test_a_member_that_cannot_hear_the_leader_disturbs_nobody() -> None:
    cluster = Cluster(NAMES, seed=2)
    leader = cluster.settle()
    voter = sorted(set(NAMES) - {leader.me.name})[0]
    cluster.stop(voter)
    cluster.cut_links.add((leader.me.name, voter))
    cluster.start(voter)
    cluster.run(5.0)
    assert cluster.leader() is leader


# Two that stood at the same moment split the votes, and both waited again.
def test_of_two_candidates_one_gives_way() -> None:
    times = []
    for seed in range(100):
        cluster = Cluster(NAMES, seed=seed)
        cluster.settle()
        for name in NAMES:
            cluster.stop(name)
        cluster.run(LOADING_SECONDS)
        cluster.start("b")
        cluster.start("c")
        times.append(time_election(cluster))
    assert sum(1 for time in times if time > 0.5) <= 2


# A leader that was restarted waited for promises that were made to itself.
def test_a_leader_that_comes_back_is_elected_at_once() -> None:
    for seed in range(20):
        cluster = Cluster(NAMES, seed=seed)
        led = cluster.settle().me.name
        for name in NAMES:
            cluster.stop(name)
        for name in NAMES:
            cluster.start(name)
        assert time_election(cluster) <= 0.2
        leader = cluster.leader()
        assert leader is not None
        assert leader.me.name == led


# Only the process that led may end its promises, and only for a later term.
def test_a_promise_binds_towards_all_others() -> None:
    cluster = Cluster(NAMES, seed=3)
    leader = cluster.settle()
    cluster.run(0.5)
    voter, other = (cluster.replicas[n] for n in NAMES if n != leader.me.name)
    term = leader.hard_state.term
    log = leader.log
    for sender, asked, granted in (
        (other.me, term + 1, False),
        (leader.me, term, False),
        (Member(leader.me.name, "wiped"), term + 1, False),
        (leader.me, term + 1, True),
    ):
        request = VoteRequest(asked, log.last_index, log.last_term, True, False, False)
        take_output(voter)
        receive(voter, sender, request, cluster.clocks[voter.me.name])
        (answer,) = (item.message for item in take_output(voter).messages)
        assert isinstance(answer, VoteAnswer)
        assert answer.granted is granted, (sender, asked)
