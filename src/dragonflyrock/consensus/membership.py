"""Membership changes, one at a time, and leadership transfer.

A new member joins as a learner and becomes a voter once it has caught up.
"""

from __future__ import annotations

from collections import Counter
from typing import Final

from ..errors import Reason, Refusal, Step
from .log import encode_configuration
from .models import Configuration, EntryKind, JoinRequest, Member, Role, TakeOver
from .replacements import has_lost_disk
from .replica import (
    Replica,
    WaitingMember,
    append_as_leader,
    become_follower,
    queue_message,
)

__all__ = [
    "add_learner",
    "admit_waiting_member",
    "demote_surplus_voter",
    "hand_over_leadership",
    "on_join_request",
    "remove_member",
    "remove_unresponsive_learner",
    "remove_unresponsive_voter",
    "step_down",
    "tick_membership",
]

PROMOTION_GAP_ENTRIES: Final = 64
# A member that wants to join repeats its request within each longest election timeout.
JOIN_REQUEST_VALID_TIMEOUTS: Final = 4
# A member that acknowledged nothing for this long counts as lost. A restart takes about
# one second, and a replacement must become a voter within four seconds.
UNRESPONSIVE_SECONDS: Final = 2.0
# Longer than the transfer of a large snapshot, during which a learner is silent.
LEARNER_TIMEOUT_SECONDS: Final = 10.0
# A voter counts as lost sooner if a learner can take its place: until then the loss of
# another one may leave no majority for ever. A restart takes about one second.
REPLACEABLE_SECONDS: Final = 1.2
# A learner that is lost too, or behind the same cut as a lost voter, must not be
# promoted in its place: the larger group might have no majority for ever. So it has to
# have answered a request that is not much older than the last heartbeat.
READY_LEARNER_HEARTBEATS: Final = 1.25
# A group of two keeps both voters: a group of one tolerates no loss at all.
MIN_VOTERS_FOR_REMOVAL: Final = 4
MIN_VOTERS: Final = 3


def on_join_request(
    replica: Replica, sender: Member, request: JoinRequest, now: float
) -> None:
    """Record a member that is not in the configuration, as the leader.

    A follower forwards the request, unless it was forwarded already, and does not
    record it: by the time at which it leads itself, the request may be outdated.
    """
    if replica.role == Role.LEADER:
        member = Member(request.name or sender.name, request.identity)
        if replica.configuration.find(member.name) != member:
            replica.waiting_members[member.name] = WaitingMember(member, now)
    elif replica.role == Role.FOLLOWER and replica.leader and not request.name:
        forwarded = JoinRequest(request.identity, sender.name)
        queue_message(replica, replica.leader, forwarded)


def admit_waiting_member(replica: Replica, now: float) -> None:
    """Add the first waiting member that is not in the configuration.

    A member whose data folder was wiped returns under its name with a new identity, and
    takes the place of its old entry. An old entry that still responds is kept, since
    the request is an outdated one that was held up.
    """
    for name, (member, _) in list(replica.waiting_members.items()):
        known = replica.configuration.find(name)
        if known == member:
            del replica.waiting_members[name]
        elif (
            known is None
            or _is_unresponsive(replica, name, now)
            or has_lost_disk(replica, name, now)
        ):
            _append_learner(replica, member)
            return


def _is_unresponsive(
    replica: Replica, name: str, now: float, timeout: float = UNRESPONSIVE_SECONDS
) -> bool:
    """Return whether another member acknowledged nothing to this leader for so long."""
    progress = replica.peers.get(name)
    if progress is None:
        return False
    return now - max(progress.acked_sent_at, progress.first_sent_at) > timeout


def remove_unresponsive_voter(replica: Replica, now: float) -> None:
    """Remove an unresponsive voter from a group that is as safe without it.

    That is one with an even number of voters, which then tolerates the loss of as many
    others as before, and one whose learners have taken the places of lost voters. A
    voter that returns asks to join.
    """
    voters = replica.configuration.voters
    if replica.role != Role.LEADER or len(voters) < MIN_VOTERS_FOR_REMOVAL:
        return
    lost = [
        voter
        for voter in voters
        if voter != replica.me
        and _is_unresponsive(replica, voter.name, now, REPLACEABLE_SECONDS)
    ]
    is_replaced = 0 < replica.voter_target <= len(voters) - len(lost)
    if lost and (len(voters) % 2 == 0 or is_replaced):
        remove_member(replica, lost[0].name)


def remove_unresponsive_learner(replica: Replica, now: float) -> None:
    """Remove a learner that is gone; one that returns asks to join again."""
    for learner in replica.configuration.learners:
        if _is_unresponsive(replica, learner.name, now, LEARNER_TIMEOUT_SECONDS):
            remove_member(replica, learner.name)
            return


def _append_configuration(
    replica: Replica, configuration: Configuration
) -> int | Refusal:
    """Append a configuration unless another change is still uncommitted.

    Return its log index, or a refusal.
    """
    if replica.role != Role.LEADER or replica.commit_index < replica.term_start_index:
        return Refusal(Reason.NOT_LEADER, Step.COMMIT, replica.leader)
    if replica.log.configuration_index > replica.commit_index:
        return Refusal(
            Reason.IN_PROGRESS, Step.COMMIT, detail="a membership change is pending"
        )
    # A new member must not inherit the progress of an earlier one of the same name.
    for member in replica.configuration.voters + replica.configuration.learners:
        if configuration.find(member.name) != member:
            replica.peers.pop(member.name, None)
    payload = encode_configuration(configuration)
    return append_as_leader(replica, EntryKind.CONFIGURATION, payload)


def add_learner(replica: Replica, name: str) -> int | Refusal:
    """Add a waiting member as a learner; return the log index or a refusal.

    It is promoted to voter once it has caught up.
    """
    if replica.configuration.find(name) is not None:
        detail = f"{name} is already a member; remove it first"
        return Refusal(Reason.NOT_ALLOWED, Step.COMMIT, name, detail)
    if name not in replica.waiting_members:
        detail = f"{name} has not asked to join"
        return Refusal(Reason.NOT_FOUND, Step.COMMIT, name, detail)
    return _append_learner(replica, replica.waiting_members[name].member)


def _append_learner(replica: Replica, learner: Member) -> int | Refusal:
    """Append a configuration with a learner instead of any member of its name.

    One entry is enough for both, as it removes one voter at most.
    """
    voters = tuple(m for m in replica.configuration.voters if m.name != learner.name)
    learners = tuple(
        m for m in replica.configuration.learners if m.name != learner.name
    )
    return _append_configuration(replica, Configuration(voters, (*learners, learner)))


def remove_member(replica: Replica, name: str) -> int | Refusal:
    """Remove a voter or learner; return the log index or a refusal.

    The leader does not remove itself, so the last voter cannot be removed.
    """
    member = replica.configuration.find(name)
    if member is None:
        return Refusal(Reason.NOT_FOUND, Step.COMMIT, name, f"{name} is not a member")
    if name == replica.me.name:
        detail = f"{name} is the leader; hand leadership over first"
        return Refusal(Reason.NOT_ALLOWED, Step.COMMIT, name, detail)
    voters = tuple(m for m in replica.configuration.voters if m != member)
    learners = tuple(m for m in replica.configuration.learners if m != member)
    return _append_configuration(replica, Configuration(voters, learners))


def _drop_outdated_requests(replica: Replica, now: float) -> None:
    """Forget members that have not repeated their request to join."""
    valid = JOIN_REQUEST_VALID_TIMEOUTS * replica.timing.election_max
    for name, waiting in list(replica.waiting_members.items()):
        if now - waiting.asked_at > valid:
            del replica.waiting_members[name]


def tick_membership(replica: Replica, now: float) -> None:
    """Forget outdated requests, and promote a learner that has caught up."""
    if replica.role != Role.LEADER:
        return
    _drop_outdated_requests(replica, now)
    learner = _choose_learner(replica, now)
    if learner is None:
        return
    voters, learners = replica.configuration
    others = tuple(member for member in learners if member != learner)
    _append_configuration(replica, Configuration((*voters, learner), others))
    replica.waiting_members.pop(learner.name, None)


def _choose_learner(replica: Replica, now: float) -> Member | None:
    """Return a learner to promote, if any: of the zone with the fewest voters."""
    if replica.voter_target and _count_missing_voters(replica, now) <= 0:
        return None
    longest = READY_LEARNER_HEARTBEATS * replica.timing.heartbeat
    ready = [
        learner
        for learner in replica.configuration.learners
        if _has_caught_up(replica, learner)
        and now - replica.peers[learner.name].acked_sent_at <= longest
    ]
    by_zone = _count_voters_by_zone(replica)
    zones = replica.member_zones
    return min(
        ready,
        key=lambda member: (
            by_zone[zones.get(member.name, "")],
            -replica.peers[member.name].acked_sent_at,
        ),
        default=None,
    )


def _has_caught_up(replica: Replica, member: Member) -> bool:
    """Return whether a learner lacks only a few entries of the log."""
    progress = replica.peers.get(member.name)
    if progress is None or not progress.match_index:
        return False
    return replica.log.last_index - progress.match_index <= PROMOTION_GAP_ENTRIES


def _count_missing_voters(replica: Replica, now: float) -> int:
    """Return how many voters that respond are missing; below 0, how many too many.

    Their number is odd: one half of a group with an even number has no majority.
    """
    voters, learners = replica.configuration
    responsive = [
        voter
        for voter in voters
        if voter == replica.me
        or not _is_unresponsive(replica, voter.name, now, REPLACEABLE_SECONDS)
    ]
    member_count = len(responsive) + len(learners)
    largest_odd = member_count - 1 + member_count % 2
    return min(replica.voter_target, max(largest_odd, 1)) - len(responsive)


def _count_voters_by_zone(replica: Replica) -> Counter[str]:
    """Return the number of voters in each availability zone; "" if it is unknown."""
    return Counter(
        replica.member_zones.get(voter.name, "")
        for voter in replica.configuration.voters
    )


def demote_surplus_voter(replica: Replica, now: float) -> None:
    """Make a voter above the number aimed at a learner, which can replace a lost one.

    It is one of the zone with the most voters. Nothing is done while a voter does not
    respond or a member joins.
    """
    voters, learners = replica.configuration
    if replica.role != Role.LEADER or not replica.voter_target:
        return
    others = [voter for voter in voters if voter != replica.me]
    if any(
        _is_unresponsive(replica, voter.name, now, REPLACEABLE_SECONDS)
        for voter in others
    ):
        return
    if len(voters) <= MIN_VOTERS or _count_missing_voters(replica, now) >= 0:
        return
    by_zone = _count_voters_by_zone(replica)
    zones = replica.member_zones
    surplus = max(
        others, key=lambda voter: (by_zone[zones.get(voter.name, "")], voter.name)
    )
    remaining = tuple(voter for voter in voters if voter != surplus)
    _append_configuration(replica, Configuration(remaining, (*learners, surplus)))


def hand_over_leadership(replica: Replica, now: float) -> bool:
    """Ask the most up-to-date voter to take over; return whether one was asked.

    The successor's vote requests release the voters from their promise to this leader.
    So this leader gives up its lease and becomes a follower at once.
    """
    if replica.role != Role.LEADER:
        return False
    successor = _find_successor(replica)
    if not successor:
        return False
    if replica.peers[successor].match_index < replica.log.last_index:
        return False
    _transfer_to(replica, successor, now)
    return True


def step_down(replica: Replica, now: float) -> None:
    """Become a follower, and ask the most up-to-date voter to take over if any.

    Unlike ``hand_over_leadership`` it does not wait until a voter has caught up. A
    voter that lacks a committed entry is not elected.
    """
    if replica.role != Role.LEADER:
        return
    successor = _find_successor(replica)
    if successor:
        _transfer_to(replica, successor, now)
    else:
        become_follower(replica, replica.hard_state.term, "", now)


def _find_successor(replica: Replica) -> str:
    """Return the other voter with the highest match index, or an empty name.

    Among equals it is the one with the latest acknowledgement.
    """
    candidates = [
        (progress.match_index, progress.acked_sent_at, voter.name)
        for voter in replica.configuration.voters
        if (progress := replica.peers.get(voter.name)) is not None
    ]
    return max(candidates)[-1] if candidates else ""


def _transfer_to(replica: Replica, name: str, now: float) -> None:
    """Ask a voter to take over, and become a follower."""
    queue_message(replica, name, TakeOver(replica.hard_state.term))
    become_follower(replica, replica.hard_state.term, "", now)
