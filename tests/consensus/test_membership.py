"""Tests of members that join, are replaced and return, with a manual clock."""

from __future__ import annotations

from dragonflyrock.consensus import Member, Replica, membership, receive
from dragonflyrock.consensus.models import JoinRequest

from .common import TICK_SECONDS, Cluster, admit


def wipe_voter_twice(cluster: Cluster) -> tuple[Replica, Replica, str]:
    """Wipe a voter twice; the other follower hears only its first request to join.

    Return the leader, the other follower, and the name of the wiped voter.
    """
    leader = cluster.wait_for_leader()
    cluster.propose(b"before")
    wiped, other = (name for name in "abc" if name != leader.me.name)
    cluster.wipe(wiped)
    admit(cluster, 4.0)
    cluster.cut_links.add((wiped, other))
    cluster.wipe(wiped)
    admit(cluster, 4.0)
    cluster.cut_links.clear()
    admit(cluster, 1.0)
    assert cluster.wait_for_leader() is leader
    assert leader.configuration.has_voter(wiped)
    return leader, cluster.replicas[other], wiped


def wipe_follower(cluster: Cluster) -> tuple[Replica, Replica]:
    """Wipe a follower, which asks all others to join.

    Return the leader and the wiped member.
    """
    leader = cluster.wait_for_leader()
    cluster.run(1.0)
    wiped = next(name for name in "abc" if name != leader.me.name)
    cluster.initial_voters = ()
    cluster.wipe(wiped)
    replica = cluster.replicas[wiped]
    replica.join_peers = ("a", "b", "c")
    return leader, replica


# Guards against a new leader that removes a voter because of a request to join which it
# recorded as a follower, and so needs the lost leader for each later decision.
def test_a_new_leader_keeps_a_voter_that_joined_anew_meanwhile() -> None:
    cluster = Cluster("abc", seed=31)
    old_leader, other, wiped = wipe_voter_twice(cluster)
    identity = cluster.replicas[wiped].me
    cluster.isolate(wiped)
    cluster.propose(b"seen by the others")
    cluster.run(0.1)
    cluster.cut_links.clear()
    cluster.stop(old_leader.me.name)
    admit(cluster, 6.0)
    leader = cluster.wait_for_leader()
    assert leader is other
    assert leader.configuration.find(wiped) == identity
    assert leader.configuration.has_voter(wiped)


# Guards against requests to join that a follower or an earlier leader keeps for ever.
def test_only_a_leader_records_requests_to_join_and_for_a_short_time() -> None:
    cluster = Cluster("abc", seed=32)
    leader = cluster.wait_for_leader()
    cluster.run(1.0)
    follower = next(r for n, r in cluster.replicas.items() if n != leader.me.name)
    for number in range(1_000):
        name = f"new-{number}"
        for replica in (leader, follower):
            clock = cluster.clocks[replica.me.name]
            receive(replica, Member(name, "1"), JoinRequest("1"), clock)
    assert len(leader.waiting_members) == 1_000
    assert not follower.waiting_members
    cluster.run(4.0)
    assert not leader.waiting_members


# Guards against a request to join that was held up at a frozen host and removes the
# member that has joined under the same name since.
def test_a_late_request_to_join_does_not_remove_a_voter_that_responds() -> None:
    cluster = Cluster("abc", seed=33)
    leader, other, wiped = wipe_voter_twice(cluster)
    member = cluster.replicas[wiped].me
    for _ in range(3):
        late = JoinRequest("an earlier identity", wiped)
        receive(leader, other.me, late, cluster.clocks[leader.me.name])
        admit(cluster, 1.0)
    assert leader.configuration.find(wiped) == member
    assert leader.configuration.has_voter(wiped)


# Guards against a voter that stays out of the group for ever since an entry of its name
# with an earlier identity is in the configuration.
def test_a_member_whose_name_has_another_identity_can_join() -> None:
    cluster = Cluster("abc", seed=34)
    leader = cluster.wait_for_leader()
    admit(cluster, 1.0)
    name = next(name for name in "abc" if name != leader.me.name)
    member = cluster.replicas[name].me
    cluster.stop(name)
    admit(cluster, 3.0)
    late = JoinRequest("an earlier identity")
    receive(leader, Member(name, late.identity), late, cluster.clocks[leader.me.name])
    admit(cluster, 1.0)
    assert leader.configuration.find(name) == Member(name, late.identity)
    cluster.start(name)
    admit(cluster, 5.0)
    assert leader.configuration.find(name) == member
    assert leader.configuration.has_voter(name)


# Guards against a learner that is gone and stays in the configuration: each new leader
# sends it the log, and its name is taken.
def test_a_learner_that_is_gone_is_removed() -> None:
    cluster = Cluster("abc", seed=35)
    leader = cluster.wait_for_leader()
    cluster.run(1.0)
    clock = cluster.clocks[leader.me.name]
    receive(leader, Member("d", "d-1"), JoinRequest("d-1"), clock)
    admit(cluster, 1.0)
    assert leader.configuration.find("d") == Member("d", "d-1")
    admit(cluster, 11.0)
    assert leader.configuration.find("d") is None


# Guards against a new learner that is removed before its first acknowledgement, so that
# the replacement of a lost voter never votes and the next loss leaves no quorum.
def test_a_new_learner_has_time_to_respond_to_a_leader_that_has_led_for_long() -> None:
    cluster = Cluster("abc", seed=36)
    leader = cluster.wait_for_leader()
    admit(cluster, 15.0)
    assert cluster.leader() is leader
    clock = cluster.clocks[leader.me.name]
    receive(leader, Member("d", "d-1"), JoinRequest("d-1"), clock)
    for _ in range(20):
        admit(cluster, 0.1)
        assert leader.configuration.find("d") == Member("d", "d-1")


# Guards against a wiped member that refuses its leader for good, as the configuration
# of the snapshot that it installed has the identity of before the leader's own wipe.
def test_a_wiped_member_follows_a_leader_that_joined_after_the_snapshot() -> None:
    cluster = Cluster("abc", seed=35)
    cluster.wait_for_leader()
    cluster.propose(b"before")
    admit(cluster, 1.0)
    for name in "abc":
        cluster.compact(name)
    for name in "abc":
        cluster.wipe(name)
        admit(cluster, 5.0)
        cluster.propose(b"after")
        leader = cluster.wait_for_leader()
        member = cluster.replicas[name].me
        assert member in leader.configuration.voters, f"{name} is no voter"


# Guards against CONFIG: a group that has a voter less for longer than needed, so that
# the next lost disk leaves no majority.
def test_a_wiped_voter_is_replaced_by_a_learner_in_one_entry() -> None:
    cluster = Cluster("abc", seed=37)
    leader, replica = wipe_follower(cluster)
    changed_index = leader.log.configuration_index
    for _ in range(round(4.0 / TICK_SECONDS)):
        if leader.log.configuration_index > changed_index:
            break
        membership.admit_waiting_member(leader, cluster.clocks[leader.me.name])
        cluster.run(TICK_SECONDS)
    first_change = leader.log.configuration_at(changed_index + 1)
    assert replica.me.name not in [voter.name for voter in first_change.voters]
    assert first_change.learners == (replica.me,)


# Guards against CONFIG: a new leader that waits for a lost disk's member as if it had
# just been lost, though its replacement has asked to join for long.
def test_a_new_leader_replaces_a_lost_disk_that_the_one_before_did_not() -> None:
    cluster = Cluster("abc", seed=40)
    leader, replica = wipe_follower(cluster)
    cluster.run(1.5)
    cluster.isolate(leader.me.name)
    cluster.run(0.1)
    cluster.stop(leader.me.name)
    cluster.cut_links.clear()
    cluster.start(leader.me.name)
    admit(cluster, 1.5)
    assert replica.me in cluster.wait_for_leader().configuration.voters


# Guards against a leader that takes its own disk for lost, by late requests to join of
# its earlier identity, and leaves the group.
def test_a_leader_does_not_remove_itself() -> None:
    cluster = Cluster("abc", seed=38)
    leader = cluster.wait_for_leader()
    earlier = Member(leader.me.name, "an earlier identity")
    for _ in range(20):
        clock = cluster.clocks[leader.me.name]
        receive(leader, earlier, JoinRequest(earlier.identity), clock)
        admit(cluster, 0.1)
    assert cluster.leader() is leader
    assert leader.me in leader.configuration.voters


# Guards against a voter that is removed because requests to join of its earlier
# identity were held up and arrive together.
def test_requests_that_were_held_up_do_not_show_a_lost_disk() -> None:
    cluster = Cluster("abc", seed=41)
    leader = cluster.wait_for_leader()
    cluster.run(1.0)
    voter = next(name for name in "abc" if name != leader.me.name)
    member = cluster.replicas[voter].me
    cluster.isolate(voter)
    earlier = Member(voter, "an earlier identity")
    for _ in range(20):
        clock = cluster.clocks[leader.me.name]
        receive(leader, earlier, JoinRequest(earlier.identity), clock)
    admit(cluster, 1.5)
    assert leader.configuration.find(voter) == member
