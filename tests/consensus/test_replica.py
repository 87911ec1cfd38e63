"""Elections, replication and membership on a manual clock."""

from __future__ import annotations

import pytest

from dragonflyrock.consensus import (
    Configuration,
    HardState,
    Member,
    Role,
    SnapshotImage,
    Timing,
    membership,
    receive,
    take_output,
)
from dragonflyrock.consensus.models import (
    AppendAnswer,
    JoinRequest,
    VoteAnswer,
    VoteRequest,
)
from dragonflyrock.const import NEVER
from dragonflyrock.errors import Reason, Refusal

from .common import TICK_SECONDS, Cluster, Disk, admit


# Guards against a new group, of one voter or of several, that commits nothing.
@pytest.mark.parametrize("names", ["a", "abc", "abcde"])
def test_a_new_group_elects_one_leader_and_commits(names: str) -> None:
    cluster = Cluster(names, seed=1)
    cluster.wait_for_leader()
    cluster.propose(b"x")
    cluster.run(0.5)
    assert all(cluster.commands(name) == [b"x"] for name in names)


# Guards against two groups that are formed by different parts of the first voters.
def test_a_group_is_formed_only_by_all_first_voters() -> None:
    cluster = Cluster("abc", seed=2)
    cluster.stop("c")
    cluster.run(3.0)
    assert cluster.leader() is None
    cluster.start("c")
    cluster.wait_for_leader()


# Guards against an election that takes so long that the leases of entry hosts expire.
def test_a_lost_leader_is_replaced_within_an_entry_lease() -> None:
    cluster = Cluster("abcde", seed=3)
    cluster.propose(b"x")
    first = cluster.wait_for_leader()
    cluster.stop(first.me.name)
    lost_at = cluster.now
    cluster.wait_for_leader()
    # An entry host renews its lease of 1.5 s every 0.4 s, so 1.1 s of it remain.
    assert cluster.now - lost_at < 1.1


# Guards against an isolated leader that still counts as the leader beside its
# successor, and against the commit of its entries.
def test_a_silently_isolated_leader_steps_down_and_commits_nothing() -> None:
    cluster = Cluster("abcde", seed=4)
    old = cluster.wait_for_leader()
    cluster.isolate(old.me.name)
    cluster.propose(b"lost", old.me.name)
    cluster.run(1.0)
    new = cluster.wait_for_leader()
    assert new.me.name != old.me.name
    cluster.run(1.0)
    # It may request votes, but is no longer the leader.
    assert old.role != Role.LEADER
    cluster.propose(b"kept")
    cluster.cut_links.clear()
    cluster.run(2.0)
    assert all(cluster.commands(name) == [b"kept"] for name in "abcde")


# Guards against an isolated follower that raises its term meanwhile and so ends the
# leader's term when it returns.
def test_an_isolated_follower_does_not_end_the_term_when_it_returns() -> None:
    cluster = Cluster("abc", seed=5)
    leader = cluster.wait_for_leader()
    follower = next(n for n in "abc" if n != leader.me.name)
    term = leader.hard_state.term
    cluster.isolate(follower)
    cluster.run(10.0)
    cluster.cut_links.clear()
    cluster.run(2.0)
    assert (leader.role, leader.hard_state.term) == (Role.LEADER, term)


# Guards against a resumed leader that uses its expired lease.
def test_a_frozen_leader_holds_no_lease_when_it_resumes() -> None:
    cluster = Cluster("abc", seed=6)
    old = cluster.wait_for_leader()
    cluster.frozen.add(old.me.name)
    cluster.run(3.0)
    cluster.frozen.clear()
    assert not old.is_settled_leader(cluster.clocks[old.me.name])
    cluster.run(1.0)
    assert old.role == Role.FOLLOWER


# Guards against committed entries that are lost when all members restart.
def test_a_restarted_group_keeps_every_committed_entry() -> None:
    cluster = Cluster("abc", seed=7)
    cluster.wait_for_leader()
    for number in range(50):
        cluster.propose(b"%d" % number)
        cluster.run(0.02)
    cluster.run(0.2)
    for name in "abc":
        cluster.start(name)
    cluster.wait_for_leader()
    cluster.run(0.5)
    expected = [b"%d" % number for number in range(50)]
    assert all(cluster.commands(name) == expected for name in "abc")


# Guards against a member that lacks entries which the leader's log no longer contains.
def test_a_member_behind_the_snapshot_is_brought_up_to_date() -> None:
    cluster = Cluster("abc", seed=8)
    leader = cluster.wait_for_leader()
    behind = next(n for n in "abc" if n != leader.me.name)
    cluster.stop(behind)
    for number in range(20):
        cluster.propose(b"%d" % number)
        cluster.run(0.02)
    cluster.run(0.3)
    cluster.compact(leader.me.name)
    cluster.start(behind)
    cluster.run(2.0)
    cluster.propose(b"after")
    cluster.run(0.5)
    expected = [b"%d" % number for number in range(20)] + [b"after"]
    assert cluster.commands(behind) == expected


# Guards against a voter that lost its disk and elects a leader without an entry that it
# had acknowledged.
def test_a_wiped_voter_neither_votes_nor_acknowledges_under_its_old_name() -> None:
    cluster = Cluster("abc", seed=9)
    leader = cluster.wait_for_leader()
    one, other = (n for n in "abc" if n != leader.me.name)
    cluster.stop(other)
    cluster.propose(b"x")
    cluster.run(0.3)
    # Only the leader and one follower have the entry; this follower loses its disk.
    cluster.wipe(one)
    cluster.stop(leader.me.name)
    cluster.start(other)
    cluster.run(5.0)
    assert cluster.leader() is None
    cluster.start(leader.me.name)
    cluster.wait_for_leader()
    cluster.run(0.5)
    assert cluster.commands(other) == [b"x"]


# Guards against a replacement that is admitted while the lost voter is still a member,
# against two membership changes at the same time, and against a learner that does not
# become a voter.
def test_a_voter_is_replaced_by_way_of_a_learner() -> None:
    cluster = Cluster("abc", seed=10)
    leader = cluster.wait_for_leader()
    for number in range(10):
        cluster.propose(b"%d" % number)
    lost = next(n for n in "abc" if n != leader.me.name)
    cluster.wipe(lost)
    cluster.run(2.0)
    refused = membership.add_learner(leader, lost)
    assert isinstance(refused, Refusal)
    assert refused.reason == Reason.NOT_ALLOWED
    assert isinstance(membership.remove_member(leader, lost), int)
    second = membership.remove_member(leader, lost)
    assert isinstance(second, Refusal)
    cluster.run(1.0)
    assert isinstance(membership.add_learner(leader, lost), int)
    cluster.run(2.0)
    assert leader.configuration.has_voter(lost)
    # The replacement is a voter now, so the group tolerates the loss of another one.
    other = next(n for n in "abc" if n not in (lost, leader.me.name))
    cluster.stop(other)
    cluster.propose(b"after")
    cluster.run(0.5)
    assert cluster.commands(lost)[-1] == b"after"


# Guards against a hand-over during which the group has no leader for an election
# timeout.
def test_leadership_is_handed_over_without_an_election_timeout() -> None:
    cluster = Cluster("abc", seed=11)
    old = cluster.wait_for_leader()
    cluster.run(0.5)
    assert membership.hand_over_leadership(old, cluster.clocks[old.me.name])
    cluster._flush(old.me.name)
    started = cluster.now
    new = cluster.wait_for_leader()
    assert new.me.name != old.me.name
    assert cluster.now - started < 0.2


# Guards against two leaders with leases at the same time because of clock drift.
def test_clocks_that_drift_by_one_percent_leave_one_lease_at_a_time() -> None:
    cluster = Cluster("abc", seed=12)
    cluster.clock_rates = {"a": 1.01, "b": 0.99, "c": 1.0}
    for name in "abcabc":
        cluster.wait_for_leader()
        cluster.isolate(name)
        cluster.run(2.0)
        cluster.cut_links.clear()
        cluster.run(1.0)
    assert cluster.leaders_by_term


# Guards against a leader that lacks a committed entry.
def test_a_voter_that_lacks_committed_entries_is_not_elected() -> None:
    for number in range(10):
        cluster = Cluster("abc", seed=100 + number)
        leader = cluster.wait_for_leader()
        behind, current = (n for n in "abc" if n != leader.me.name)
        cluster.isolate(behind)
        cluster.propose(b"x")
        cluster.run(0.5)
        cluster.stop(leader.me.name)
        cluster.cut_links.clear()
        assert cluster.wait_for_leader().me.name == current
        cluster.run(0.5)
        assert cluster.commands(behind) == [b"x"]


# Guards against a vote that elects a second leader while the first one may hold a
# lease.
def test_no_vote_is_given_while_a_leader_may_hold_a_lease() -> None:
    cluster = Cluster("abc", seed=13)
    leader = cluster.wait_for_leader()
    cluster.run(0.5)
    voter, candidate = (cluster.replicas[n] for n in "abc" if n != leader.me.name)
    log = voter.log
    request = VoteRequest(
        voter.hard_state.term + 1,
        log.last_index,
        log.last_term,
        pre_vote=False,
        forming=False,
    )
    receive(voter, candidate.me, request, cluster.clocks[voter.me.name])
    answers = [item.message for item in take_output(voter).messages]
    refusal = "promised to a leader"
    term = voter.hard_state.term
    assert answers == [VoteAnswer(term, False, False, False, refusal)]


# Guards against counting the vote of a member that has lost its disk.
def test_a_vote_of_another_identity_does_not_count() -> None:
    cluster = Cluster("abc", seed=14)
    leader = cluster.wait_for_leader()
    one, other = (n for n in "abc" if n != leader.me.name)
    cluster.stop(leader.me.name)
    cluster.stop(other)
    cluster.run(1.0)
    candidate = cluster.replicas[one]
    assert candidate.role == Role.CANDIDATE
    answer = VoteAnswer(candidate.hard_state.term + 1, True, candidate.pre_vote, False)
    before = candidate.hard_state.term
    receive(candidate, Member(other, "wiped"), answer, cluster.clocks[one])
    assert (candidate.hard_state.term, list(candidate.votes)) == (before, [one])


# Guards against entries of an earlier term that count as committed once a majority has
# them: a later leader could still replace them.
def test_entries_of_an_earlier_term_are_committed_only_by_one_of_this_term() -> None:
    cluster = Cluster("abcde", seed=15)
    old = cluster.wait_for_leader()
    partner = next(n for n in "abcde" if n != old.me.name)
    cluster.isolate(old.me.name, partner)
    cluster.propose(b"early", old.me.name)
    cluster.run(0.1)
    follower = cluster.replicas[partner]
    assert follower.log.last_index > follower.commit_index
    # Make the follower the leader of a later term.
    clock = cluster.clocks[partner]
    follower.role = Role.LEADER
    follower.hard_state = HardState(follower.hard_state.term + 5, partner)
    others = [cluster.replicas[n].me for n in "abcde" if n != partner]
    before = follower.commit_index
    for member in others:
        answer = AppendAnswer(
            follower.hard_state.term, True, follower.log.last_index, clock
        )
        receive(follower, member, answer, clock)
    assert follower.commit_index == before


# Guards against a voter that lost its disk and stays out of the group until an operator
# acts.
def test_a_wiped_voter_is_readmitted_without_an_operator() -> None:
    cluster = Cluster("abc", seed=12)
    leader = cluster.wait_for_leader()
    for number in range(10):
        cluster.propose(b"%d" % number)
    cluster.run(0.5)
    lost = next(n for n in "abc" if n != leader.me.name)
    before = leader.configuration.find(lost)
    cluster.wipe(lost)
    admit(cluster, 4.0)
    assert leader.configuration.has_voter(lost)
    assert leader.configuration.find(lost) != before
    cluster.propose(b"after")
    cluster.run(0.5)
    assert cluster.commands(lost)[-1] == b"after"


# Guards against a join request that is lost at a follower, or forwarded again by the
# leader.
def test_a_follower_forwards_a_join_request_once() -> None:
    cluster = Cluster("abc", seed=13)
    leader = cluster.wait_for_leader()
    cluster.run(0.5)
    follower = next(r for n, r in cluster.replicas.items() if n != leader.me.name)
    take_output(follower)
    joiner = Member("d", "new")
    receive(follower, joiner, JoinRequest("new"), cluster.now)
    forwarded = take_output(follower).messages
    assert [(item.peer, item.message) for item in forwarded] == [
        (leader.me.name, JoinRequest("new", "d"))
    ]
    receive(leader, follower.me, JoinRequest("new", "d"), cluster.now)
    assert leader.waiting_members["d"].member == joiner
    assert take_output(leader).messages == []


def replace_voter(cluster: Cluster) -> tuple[str, str]:
    """Stop a follower and have "d" join; return the stopped and the other follower."""
    leader = cluster.wait_for_leader()
    cluster.propose(b"before")
    cluster.run(0.5)
    lost, other = (name for name in "abc" if name != leader.me.name)
    cluster.stop(lost)
    cluster.run(1.0)
    cluster.wipe("d")
    admit(cluster, 4.0)
    return lost, other


# Guards against a lost voter that stays a voter: two of four are no quorum.
def test_a_group_whose_lost_voter_was_replaced_tolerates_one_more_loss() -> None:
    for seed in range(5):
        cluster = Cluster("abc", seed)
        lost, other = replace_voter(cluster)
        leader = cluster.wait_for_leader()
        assert leader.configuration.has_voter("d")
        assert not leader.configuration.has_voter(lost)
        cluster.wipe(other)
        cluster.run(2.0)
        assert cluster.wait_for_leader() is not None
        admit(cluster, 4.0)
        cluster.propose(b"after")
        cluster.run(0.5)
        assert cluster.commands(other) == [b"before", b"after"]


# Guards against a voter that was removed while it was down and is not admitted again.
def test_a_dropped_voter_that_returns_with_its_log_is_a_voter_again() -> None:
    cluster = Cluster("abc", seed=21)
    lost, _ = replace_voter(cluster)
    cluster.propose(b"while it was away")
    cluster.start(lost)
    admit(cluster, 4.0)
    leader = cluster.wait_for_leader()
    assert leader.configuration.has_voter(lost)
    assert len(leader.configuration.voters) == 4
    assert cluster.commands(lost) == [b"before", b"while it was away"]


# Guards against a learner that never becomes a voter because its configuration entry
# was lost with its leader.
def test_a_learner_without_a_leader_asks_to_join_again() -> None:
    cluster = Cluster("abc", seed=22)
    leader = cluster.wait_for_leader()
    cluster.run(0.5)
    names = leader.configuration
    learner = Configuration(names.voters, (Member("d", "d-9"),))
    cluster.disks["d"] = Disk("d-9", SnapshotImage(1, 1, learner, b""))
    cluster.start("d")
    cluster.run(2.0)
    assert leader.waiting_members["d"].member == Member("d", "d-9")


# Guards against the removal of a lost voter without a replacement.
def test_an_odd_group_keeps_its_unresponsive_voter() -> None:
    cluster = Cluster("abc", seed=23)
    leader = cluster.wait_for_leader()
    lost = next(name for name in "abc" if name != leader.me.name)
    cluster.stop(lost)
    admit(cluster, 6.0)
    assert cluster.wait_for_leader().configuration.has_voter(lost)


# Guards against hosts that get rows from followers up to a heartbeat late.
def test_followers_receive_a_new_commit_index_at_the_next_tick() -> None:
    cluster = Cluster("abc", 5)
    leader = cluster.wait_for_leader()
    cluster.run(1.0)
    leader.timing = leader.timing._replace(heartbeat=0.25, push_commit_index=True)
    cluster.run(0.3)
    cluster.propose(b"change")
    cluster.run(5 * TICK_SECONDS)
    assert all(cluster.commands(name) == [b"change"] for name in "abc")


# Guards against a voter that counts as lost, or joins late, as it gets no request for
# long after a snapshot for it was lost.
def test_a_member_whose_snapshot_was_lost_hears_from_the_leader() -> None:
    cluster = Cluster("abc", seed=39)
    leader = cluster.wait_for_leader()
    for replica in cluster.replicas.values():
        replica.timing = Timing(0.2, 0.45, 0.8)
    cluster.run(1.0)
    behind = next(name for name in "abc" if name != leader.me.name)
    cluster.stop(behind)
    cluster.propose(b"x")
    cluster.run(1.0)
    cluster.compact(leader.me.name)
    cluster.start(behind)
    for _ in range(round(1.0 / TICK_SECONDS)):
        cluster.run(TICK_SECONDS)
        progress = leader.peers[behind]
        if progress.snapshot_sent_at != NEVER:
            break
    cluster.stop(behind)
    cluster.run(TICK_SECONDS)
    cluster.start(behind)
    assert cluster.commands(behind) == []
    sent_at = progress.snapshot_sent_at
    while cluster.commands(behind) == []:
        cluster.run(TICK_SECONDS)
        clock = cluster.clocks[leader.me.name]
        silent = clock - max(progress.acked_sent_at, sent_at)
        assert silent < membership.REPLACEABLE_SECONDS
    assert cluster.leader() is leader
