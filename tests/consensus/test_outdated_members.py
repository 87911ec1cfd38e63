"""Tests of members whose configuration is older than the leader's, with a manual clock.

Each names members of the group by the identities of disks that were lost since.
"""

from __future__ import annotations

from typing import Final

from dragonflyrock.consensus import Member, Replica, Role, receive, take_output
from dragonflyrock.consensus.models import EntryKind, VoteAnswer, VoteRequest
from dragonflyrock.consensus.voting import VoteRefusal

from .common import Cluster
from .test_member_schedules import CATCH_UP_SECONDS, DARK_SECONDS, Schedule

RECOVERY_SECONDS: Final = 15.0


def compact_all(cluster: Cluster) -> None:
    """Take a snapshot of each member."""
    for name in cluster.replicas:
        cluster.compact(name)


def wipe(schedule: Schedule, name: str) -> Replica:
    """Have a member lose its disk, and give it the time to become a voter again."""
    schedule.cluster.stop(name)
    schedule.run(DARK_SECONDS)
    schedule.start_empty(name)
    schedule.run(CATCH_UP_SECONDS)
    return schedule.cluster.replicas[name]


def elect(schedule: Schedule, name: str) -> None:
    """Have a member lead, by isolating each other leader for a moment."""
    cluster = schedule.cluster
    for _ in range(20):
        leader = cluster.wait_for_leader()
        if leader.me.name == name:
            return
        cluster.isolate(leader.me.name)
        schedule.run(2.0)
        cluster.cut_links.clear()
        schedule.run(1.0)
    raise AssertionError(f"{name} was not elected")


def list_voters(replica: Replica) -> set[Member]:
    """Return the voters that a member knows."""
    return set(replica.configuration.voters)


def lose_the_disks_of_a_leader_and_a_follower(schedule: Schedule) -> list[str]:
    """Wipe a member after the first snapshot, have it lead, and wipe another one.

    Return the leader, the follower that lost no disk, and the one that did.
    """
    compact_all(schedule.cluster)
    wipe(schedule, "a")
    elect(schedule, "a")
    wipe(schedule, "b")
    return ["a", "c", "b"]


# Guards against CONFIG: a member with a new disk gets a snapshot that names the leader
# by the identity of a lost disk, obeys it no more, and never becomes a voter.
def test_a_new_member_follows_a_leader_that_its_snapshot_knows_by_a_lost_disk() -> None:
    schedule = Schedule(68, 3, 3)
    leader, _, wiped = lose_the_disks_of_a_leader_and_a_follower(schedule)
    cluster = schedule.cluster
    assert cluster.wait_for_leader().me.name == leader
    members = {replica.me for replica in cluster.replicas.values()}
    assert list_voters(cluster.replicas[leader]) == members
    assert list_voters(cluster.replicas[wiped]) == members


# Guards against CONFIG as in incident 68: one disk after the other is lost, each when
# the one before counts as replaced, and no leader is ever elected again.
def test_a_group_bears_a_lost_disk_after_the_disks_of_a_leader_and_a_follower() -> None:
    schedule = Schedule(68, 3, 3)
    leader, _, wiped = lose_the_disks_of_a_leader_and_a_follower(schedule)
    cluster = schedule.cluster
    confirmed = cluster.commands(leader)
    cluster.isolate(wiped)
    schedule.run(2.5)
    cluster.stop(leader)
    schedule.run(1.0)
    cluster.cut_links.clear()
    schedule.start_empty(leader)
    schedule.run(RECOVERY_SECONDS)
    found = cluster.leader()
    assert found is not None, "no leader was elected"
    assert cluster.commands(found.me.name)[: len(confirmed)] == confirmed
    assert list_voters(found) == {replica.me for replica in cluster.replicas.values()}


# Guards against the same without a snapshot: a log that comes in several messages names
# the leader by a lost disk at the end of the first one.
def test_a_new_member_follows_a_leader_that_old_entries_know_by_a_lost_disk() -> None:
    schedule = Schedule(69, 3, 3)
    cluster = schedule.cluster
    for _ in range(600):
        cluster.propose(b"change")
    schedule.run(1.0)
    wipe(schedule, "a")
    elect(schedule, "a")
    wiped = wipe(schedule, "b")
    assert wiped.me in list_voters(cluster.wait_for_leader())


# Guards against voters that lag and refuse the only candidate with all entries, since
# they know it by the identity of a lost disk.
def test_a_voter_that_lags_votes_for_a_candidate_it_knows_by_a_lost_disk() -> None:
    cluster = Cluster("abc", seed=70)
    leader = cluster.wait_for_leader()
    voter = next(r for r in cluster.replicas.values() if r is not leader)
    cluster.isolate(voter.me.name)
    cluster.run(1.0)
    take_output(voter)
    candidate = Member(leader.me.name, "a new disk")
    log = voter.log
    for lag in (0, 1):
        request = VoteRequest(
            voter.hard_state.term + 1,
            log.last_index + lag,
            log.last_term,
            pre_vote=True,
            forming=False,
        )
        receive(voter, candidate, request, cluster.clocks[voter.me.name])
    refused, granted = take_output(voter).messages
    assert isinstance(refused.message, VoteAnswer)
    assert refused.message.refusal == VoteRefusal.OTHER_IDENTITY
    assert isinstance(granted.message, VoteAnswer)
    assert granted.message.granted
    assert (granted.peer, granted.identity) == candidate


# Guards against a member that stands for election for ever as the voter of its name
# whose disk was lost, instead of asking to join.
def test_a_member_does_not_stand_for_election_as_its_former_self() -> None:
    schedule = Schedule(71, 3, 3)
    cluster = schedule.cluster
    cluster.wait_for_leader()
    former = cluster.disks["b"]
    cluster.stop("b")
    cluster.wipe("b")
    schedule.restart("b")
    replica = cluster.replicas["b"]
    replica.log.append([e for e in former.entries if e.kind != EntryKind.COMMAND][:1])
    assert replica.configuration.has_voter("b")
    cluster.isolate("b")
    cluster.run(3.0)
    assert replica.role == Role.FOLLOWER
    cluster.cut_links.clear()
    schedule.run(CATCH_UP_SECONDS)
    assert replica.me in list_voters(cluster.wait_for_leader())
