"""Elections: pre-vote, votes, the first election of a group, and stepping down."""

from __future__ import annotations

from typing import Final

from .log import encode_configuration
from .membership import hand_over_leadership, on_join_request
from .models import (
    Configuration,
    EntryKind,
    JoinRequest,
    Member,
    Role,
    TakeOver,
    VoteAnswer,
    VoteRequest,
)
from .replica import (
    PeerProgress,
    Replica,
    append_as_leader,
    become_follower,
    queue_message,
    reset_election_timer,
    set_hard_state,
)

__all__ = ["on_take_over", "on_vote_answer", "on_vote_request", "tick_election"]


# A member that has met no leader since its start asks again this soon, and stands
# again this long after it asked for votes; all may have stood at the same moment.
STARTUP_RETRY_SECONDS: Final = (0.05, 0.15)
VOTE_RETRY_SECONDS: Final = (0.15, 0.4)


def tick_election(replica: Replica, now: float) -> None:
    """Stand for election when no leader was heard, or step down without a quorum.

    A member that leaves hands its leadership over as soon as a voter has all entries,
    and does not stand.
    """
    if replica.role == Role.LEADER:
        _check_quorum(replica, now)
        if replica.stopping:
            hand_over_leadership(replica, now)
        return
    if now < replica.election_at or replica.stopping:
        return
    _schedule_election(replica, now, STARTUP_RETRY_SECONDS)
    if replica.is_new:
        _start_first_election(replica, now)
    elif replica.configuration.has_voter(replica.me.name):
        _start_election(replica, now, pre_vote=True, transfer=False)
    else:
        # A leader that knew of this member was lost, or it was removed.
        _ask_to_join(replica)


def _schedule_election(
    replica: Replica, now: float, startup_range: tuple[float, float]
) -> None:
    """Draw when to stand again: soon where no leader was met since the start.

    Others may have kept an earlier promise, or may have been starting.
    """
    if replica.has_seen_leader or replica.is_new:
        reset_election_timer(replica, now)
    else:
        replica.election_at = now + replica.random.uniform(*startup_range)


def _check_quorum(replica: Replica, now: float) -> None:
    """Step down when a quorum has been silent for the longest election time."""
    quorum_deadline = replica.lease_until(now) + replica.timing.election_max
    first_deadline = replica.became_leader_at + replica.timing.election_max
    if now > max(quorum_deadline, first_deadline):
        become_follower(replica, replica.hard_state.term, "", now)


def _start_first_election(replica: Replica, now: float) -> None:
    """Ask for the first vote, or where the group exists, say that we wait."""
    _ask_to_join(replica)
    if replica.me.name in replica.initial_voters:
        _start_election(replica, now, pre_vote=True, transfer=False)


def _ask_to_join(replica: Replica) -> None:
    """Tell whoever may know the leader that this member waits."""
    names = (*replica.initial_voters, *replica.join_peers, *replica.peer_names)
    for name in dict.fromkeys(names):
        if name != replica.me.name:
            queue_message(replica, name, JoinRequest(replica.me.identity))


def _start_election(
    replica: Replica, now: float, *, pre_vote: bool, transfer: bool
) -> None:
    """Become a candidate and ask the others."""
    replica.role = Role.CANDIDATE
    replica.leader = ""
    replica.pre_vote = pre_vote
    replica.forming = replica.is_new
    replica.votes = {replica.me.name: replica.me}
    if not pre_vote:
        set_hard_state(replica, replica.hard_state.term + 1, replica.me.name)
    request = _make_vote_request(replica, transfer=transfer)
    for name in _electors(replica):
        if name != replica.me.name:
            queue_message(replica, name, request)
    _count_votes(replica, now)


def _make_vote_request(replica: Replica, *, transfer: bool = False) -> VoteRequest:
    """Return the request for a vote of a candidate."""
    return VoteRequest(
        replica.hard_state.term + (1 if replica.pre_vote else 0),
        replica.log.last_index,
        replica.log.last_term,
        replica.pre_vote,
        replica.forming,
        transfer,
    )


def _electors(replica: Replica) -> tuple[str, ...]:
    """Return the names of all whose votes count."""
    if replica.is_new:
        return replica.initial_voters
    return tuple(voter.name for voter in replica.configuration.voters)


def _count_votes(replica: Replica, now: float) -> None:
    """Go on to the real election, or lead, when enough votes are in.

    A group is formed by all of its first voters: an empty log proves nothing,
    so a wiped member and a new one must not make up a majority.
    """
    if replica.forming:
        needed_votes = len(replica.initial_voters)
    else:
        needed_votes = replica.configuration.quorum
    if len(replica.votes) < needed_votes:
        return
    if replica.pre_vote:
        _schedule_election(replica, now, VOTE_RETRY_SECONDS)
        _start_election(replica, now, pre_vote=False, transfer=False)
    else:
        _become_leader(replica, now)


def _become_leader(replica: Replica, now: float) -> None:
    """Lead, with an entry of the own term that commits all before it."""
    replica.role = Role.LEADER
    replica.leader = replica.me.name
    replica.has_seen_leader = True
    replica.became_leader_at = now
    set_hard_state(
        replica, replica.hard_state.term, replica.hard_state.voted_for, replica.me.name
    )
    if replica.forming:
        voters = tuple(replica.votes[name] for name in replica.initial_voters)
        payload = encode_configuration(Configuration(voters))
        index = append_as_leader(replica, EntryKind.CONFIGURATION, payload)
    else:
        index = append_as_leader(replica, EntryKind.NOOP, b"")
    replica.term_start_index = index
    replica.forming = False
    replica.peers = {name: PeerProgress(index) for name in replica.peer_names}


def on_vote_request(
    replica: Replica, sender: Member, request: VoteRequest, now: float
) -> None:
    """Grant or refuse a vote."""
    is_unknown = replica.configuration.find(sender.name) is None
    if is_unknown and not replica.is_new and not request.forming:
        # It was removed while it was away, and takes itself for a voter.
        on_join_request(replica, sender, JoinRequest(sender.identity))
    granted = _can_grant_vote(replica, sender, request, now)
    if not request.pre_vote and request.term > replica.hard_state.term:
        if not granted:
            _send_vote_answer(replica, sender, request, granted=False)
            return
        become_follower(replica, request.term, "", now)
    if request.term == replica.hard_state.term:
        # A vote of this term is given once; a pre-vote must not promise another.
        granted = granted and replica.hard_state.voted_for in ("", sender.name)
    if granted and _is_competing_pre_vote(replica, request):
        granted = _resolve_tie(replica, sender, request, now)
    if granted and not request.pre_vote:
        set_hard_state(replica, request.term, sender.name, replica.hard_state.leader)
        reset_election_timer(replica, now)
    _send_vote_answer(replica, sender, request, granted=granted)


def _is_competing_pre_vote(replica: Replica, request: VoteRequest) -> bool:
    """Return whether the sender and this member ask for pre-votes at once."""
    asking = replica.role == Role.CANDIDATE and replica.pre_vote
    return asking and request.pre_vote and not request.forming


def _resolve_tie(
    replica: Replica, sender: Member, request: VoteRequest, now: float
) -> bool:
    """Return whether to stand back for the sender; else ask for its pre-vote again.

    Two that promise each other a vote both become candidates and split the votes,
    which costs another election time. Of equal logs the lower name goes first.
    """
    own_position = (replica.log.last_term, replica.log.last_index)
    is_equal = own_position == (request.last_term, request.last_index)
    if is_equal and replica.me.name < sender.name:
        queue_message(replica, sender.name, _make_vote_request(replica))
        return False
    become_follower(replica, replica.hard_state.term, "", now)
    _schedule_election(replica, now, VOTE_RETRY_SECONDS)
    return True


def _send_vote_answer(
    replica: Replica, sender: Member, request: VoteRequest, *, granted: bool
) -> None:
    """Send the answer to a vote request."""
    term = request.term if granted else replica.hard_state.term
    answer = VoteAnswer(term, granted, request.pre_vote, request.forming)
    queue_message(replica, sender.name, answer)


def _can_grant_vote(
    replica: Replica, sender: Member, request: VoteRequest, now: float
) -> bool:
    """Return whether the candidate's log and our promises allow a vote."""
    if request.term < replica.hard_state.term:
        return False
    if request.forming:
        return replica.is_new and sender.name in replica.initial_voters
    # A voter that has not yet received the first configuration cannot check the
    # candidate, but the candidate checks the voter's identity against its own.
    if not replica.is_new and replica.configuration.find(sender.name) != sender:
        return False
    promise_ends_at = replica.last_contact_at + replica.timing.election_min
    if now < promise_ends_at and not request.transfer:
        # A leader that stands for a later term leads no more: what was promised
        # to it is void, and nothing was promised to another one since.
        is_own_leader = (
            sender.name == replica.hard_state.leader
            and request.term > replica.hard_state.term
        )
        if not is_own_leader:
            return False
    if replica.role == Role.LEADER and request.pre_vote:
        return False
    own_position = (replica.log.last_term, replica.log.last_index)
    return (request.last_term, request.last_index) >= own_position


def on_vote_answer(
    replica: Replica, sender: Member, answer: VoteAnswer, now: float
) -> None:
    """Count a vote, or follow a newer term."""
    if not answer.granted and answer.term > replica.hard_state.term:
        become_follower(replica, answer.term, "", now)
        return
    if replica.role != Role.CANDIDATE or not answer.granted:
        return
    expected_term = replica.hard_state.term + (1 if replica.pre_vote else 0)
    if (answer.term, answer.pre_vote, answer.forming) != (
        expected_term,
        replica.pre_vote,
        replica.forming,
    ):
        return
    if not replica.forming and replica.configuration.find(sender.name) != sender:
        return
    if sender.name in _electors(replica):
        replica.votes[sender.name] = sender
        _count_votes(replica, now)


def on_take_over(replica: Replica, message: TakeOver, now: float) -> None:
    """Stand for election at once, since the leader asked for it."""
    if message.term != replica.hard_state.term or replica.role == Role.LEADER:
        return
    if replica.stopping:
        return
    if replica.configuration.has_voter(replica.me.name):
        _start_election(replica, now, pre_vote=False, transfer=True)
