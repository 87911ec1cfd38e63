"""The decision of a voter on a vote request."""

from __future__ import annotations

from enum import StrEnum

from .models import Member, Role, VoteRequest
from .replica import Replica

__all__ = ["VoteRefusal", "find_vote_refusal"]


class VoteRefusal(StrEnum):
    """Why a vote is refused; ``NONE`` stands for a vote that is granted."""

    NONE = ""
    OLD_TERM = "the candidate's term is older"
    NOT_FORMING = "no first election of this group"
    NOT_A_MEMBER = "the candidate is not a member"
    OTHER_IDENTITY = "the member of this name has another identity"
    PROMISED = "promised to a leader"
    LEADING = "this member leads"
    OLD_LOG = "the candidate's log is older"
    VOTED = "voted for another candidate in this term"
    TIE = "this candidate has an equal log and a lower name"


def find_vote_refusal(
    replica: Replica, sender: Member, request: VoteRequest, now: float
) -> VoteRefusal:
    """Return why this member may not vote for the candidate, or ``NONE``.

    Only one vote is granted per term, and no pre-vote for a vote that would then be
    refused.
    """
    if request.term < replica.hard_state.term:
        return VoteRefusal.OLD_TERM
    if request.forming:
        if not replica.is_new or sender.name not in replica.initial_voters:
            return VoteRefusal.NOT_FORMING
    else:
        refusal = _find_member_refusal(replica, sender, request, now)
        if refusal:
            return refusal
    has_vote_left = (
        request.term > replica.hard_state.term
        or replica.hard_state.voted_for in ("", sender.name)
    )
    return VoteRefusal.NONE if has_vote_left else VoteRefusal.VOTED


def _find_member_refusal(
    replica: Replica, sender: Member, request: VoteRequest, now: float
) -> VoteRefusal:
    """Return why a member of a formed group may not vote for the candidate.

    The candidate must be a known member, unless its log is newer than this one, its log
    at least as up to date as this one, and this member not bound by a promise to
    another leader.
    """
    own_position = (replica.log.last_term, replica.log.last_index)
    position = (request.last_term, request.last_index)
    known = replica.configuration.find(sender.name)
    # The configuration in a newer log may be newer too. A candidate checks the voter's
    # identity against its own configuration.
    if position <= own_position and known != sender and not replica.is_new:
        return VoteRefusal.OTHER_IDENTITY if known else VoteRefusal.NOT_A_MEMBER
    if _is_promised_to_another(replica, sender, request, now):
        return VoteRefusal.PROMISED
    if replica.role == Role.LEADER and request.pre_vote:
        return VoteRefusal.LEADING
    if position < own_position:
        return VoteRefusal.OLD_LOG
    return VoteRefusal.NONE


def _is_promised_to_another(
    replica: Replica, sender: Member, request: VoteRequest, now: float
) -> bool:
    """Return whether a promise to a leader forbids a vote for the sender.

    A leader that stands for a later term no longer leads. So the promise to it is void,
    and no promise was made to another leader since.
    """
    promise_ends_at = replica.last_contact_at + replica.timing.election_min
    if now >= promise_ends_at or request.transfer:
        return False
    is_promised_leader = (
        sender.name == replica.hard_state.leader
        and request.term > replica.hard_state.term
    )
    return not is_promised_leader
