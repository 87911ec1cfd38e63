"""Elections: pre-vote, votes, the first election of a group, and stepping down.

A member that acknowledged a heartbeat grants no other member a vote within
``election_min`` of it. The leader's lease relies on this promise.
"""

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
    queue_answer,
    queue_message,
    reset_election_timer,
    set_hard_state,
)
from .voting import VoteRefusal, find_vote_refusal

__all__ = ["on_take_over", "on_vote_answer", "on_vote_request", "tick_election"]


# Random delays, as (minimum, maximum), of a member that has seen no leader since its
# start: before it repeats its pre-vote, and before it stands again after it asked for
# votes. They are random since all members may have started at the same time.
STARTUP_RETRY_SECONDS: Final = (0.05, 0.15)
VOTE_RETRY_SECONDS: Final = (0.15, 0.4)
MAX_RECORDED_CANDIDATES: Final = 32


def tick_election(replica: Replica, now: float) -> None:
    """Stand for election after the election timeout, or step down without a quorum.

    A stopping leader hands its leadership over as soon as another voter has all
    entries. A stopping follower does not stand for election.
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
    elif replica.is_voter:
        _start_election(replica, now, pre_vote=True, transfer=False)
    else:
        # This member was removed, or the leader that added it was lost before the
        # entry that added it was committed. A voter of its name with another identity
        # is its former self, whose disk was lost.
        _ask_to_join(replica)


def _schedule_election(
    replica: Replica, now: float, startup_range: tuple[float, float]
) -> None:
    """Schedule the next election, within ``startup_range`` until a leader is seen.

    The first requests may fail only because the other members were still starting or
    still held to a promise to an earlier leader.
    """
    if replica.has_seen_leader or replica.is_new:
        reset_election_timer(replica, now)
    else:
        replica.election_at = now + replica.random.uniform(*startup_range)


def _check_quorum(replica: Replica, now: float) -> None:
    """Step down when no quorum answered for the longest election timeout.

    A new leader has the same time from the start of its leadership.
    """
    quorum_deadline = replica.lease_until(now) + replica.timing.election_max
    initial_deadline = replica.became_leader_at + replica.timing.election_max
    if now > max(quorum_deadline, initial_deadline):
        become_follower(replica, replica.hard_state.term, "", now)


def _start_first_election(replica: Replica, now: float) -> None:
    """Ask to join an existing group and, as an initial voter, for the first votes."""
    _ask_to_join(replica)
    if replica.me.name in replica.initial_voters:
        _start_election(replica, now, pre_vote=True, transfer=False)


def _ask_to_join(replica: Replica) -> None:
    """Send a join request to all known members; followers forward it to the leader."""
    names = (*replica.initial_voters, *replica.join_peers, *replica.peer_names)
    for name in dict.fromkeys(names):
        if name != replica.me.name:
            queue_message(replica, name, JoinRequest(replica.me.identity))


def _start_election(
    replica: Replica, now: float, *, pre_vote: bool, transfer: bool
) -> None:
    """Become a candidate and request the votes of all other voters.

    ``transfer`` marks an election that the present leader asked for.
    """
    replica.role = Role.CANDIDATE
    replica.leader = ""
    replica.pre_vote = pre_vote
    replica.forming = replica.is_new
    replica.votes = {replica.me.name: replica.me}
    if not pre_vote:
        set_hard_state(replica, replica.hard_state.term + 1, replica.me.name)
    request = _make_vote_request(replica, transfer=transfer)
    for name in _list_electors(replica):
        if name != replica.me.name:
            queue_message(replica, name, request)
    _count_votes(replica, now)


def _make_vote_request(replica: Replica, *, transfer: bool = False) -> VoteRequest:
    """Return this candidate's vote request."""
    return VoteRequest(
        replica.hard_state.term + (1 if replica.pre_vote else 0),
        replica.log.last_index,
        replica.log.last_term,
        replica.pre_vote,
        replica.forming,
        transfer,
    )


def _list_electors(replica: Replica) -> tuple[str, ...]:
    """Return the names of the members whose votes count."""
    if replica.is_new:
        return replica.initial_voters
    return tuple(voter.name for voter in replica.configuration.voters)


def _count_votes(replica: Replica, now: float) -> None:
    """Continue from pre-vote to vote, or become the leader, with enough votes.

    The first election needs the votes of all initial voters: an empty log does not
    prove that a member is new, so wiped and new members must not form a majority.
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
    """Become the leader and append an entry of this term.

    Entries of earlier terms are committed together with it.
    """
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
    replica.peers = {name: PeerProgress.begin(index) for name in replica.peer_names}


def on_vote_request(
    replica: Replica, sender: Member, request: VoteRequest, now: float
) -> None:
    """Answer a vote request, and follow a newer term when the vote is granted."""
    is_member = replica.configuration.find(sender.name) == sender
    if not is_member and not replica.is_new and not request.forming:
        # The sender was removed while it was offline and still considers itself a
        # voter, so its request counts as a request to join.
        on_join_request(replica, sender, JoinRequest(sender.identity), now)
    refusal = find_vote_refusal(replica, sender, request, now)
    if not request.pre_vote and request.term > replica.hard_state.term and not refusal:
        become_follower(replica, request.term, "", now)
    if not refusal and _is_competing_pre_vote(replica, request):
        refusal = _resolve_tie(replica, sender, request, now)
    if not refusal and not request.pre_vote:
        set_hard_state(replica, request.term, sender.name, replica.hard_state.leader)
        reset_election_timer(replica, now)
    if len(replica.vote_refusals) >= MAX_RECORDED_CANDIDATES:
        replica.vote_refusals.clear()
    replica.vote_refusals[sender.name] = refusal
    _send_vote_answer(replica, sender, request, refusal)


def _is_competing_pre_vote(replica: Replica, request: VoteRequest) -> bool:
    """Return whether both the sender and this member are asking for pre-votes."""
    asking = replica.role == Role.CANDIDATE and replica.pre_vote
    return asking and request.pre_vote and not request.forming


def _resolve_tie(
    replica: Replica, sender: Member, request: VoteRequest, now: float
) -> VoteRefusal:
    """Yield to the sender, or refuse and request its pre-vote again.

    Two members that grant each other a pre-vote both ask for votes and split them,
    which costs another election timeout. With equal logs the member with the lower
    name wins, but not twice in a row: links that are cut may keep it from its majority.
    """
    own_position = (replica.log.last_term, replica.log.last_index)
    is_equal = own_position == (request.last_term, request.last_index)
    has_won = replica.vote_refusals.get(sender.name) == VoteRefusal.TIE
    if is_equal and replica.me.name < sender.name and not has_won:
        queue_message(replica, sender.name, _make_vote_request(replica))
        return VoteRefusal.TIE
    become_follower(replica, replica.hard_state.term, "", now)
    _schedule_election(replica, now, VOTE_RETRY_SECONDS)
    return VoteRefusal.NONE


def _send_vote_answer(
    replica: Replica, sender: Member, request: VoteRequest, refusal: VoteRefusal
) -> None:
    """Send the answer to a vote request."""
    term = replica.hard_state.term if refusal else request.term
    answer = VoteAnswer(
        term, not refusal, request.pre_vote, request.forming, refusal.value
    )
    queue_answer(replica, sender, answer)


def on_vote_answer(
    replica: Replica, sender: Member, answer: VoteAnswer, now: float
) -> None:
    """Count a granted vote, or follow a newer term after a refusal."""
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
    if sender.name in _list_electors(replica):
        replica.votes[sender.name] = sender
        _count_votes(replica, now)


def on_take_over(replica: Replica, message: TakeOver, now: float) -> None:
    """Start an election without pre-vote, as the leader requested."""
    if message.term != replica.hard_state.term or replica.role == Role.LEADER:
        return
    if replica.stopping:
        return
    if replica.is_voter:
        _start_election(replica, now, pre_vote=False, transfer=True)
