"""The inputs of a replica: clock ticks and messages."""

from __future__ import annotations

from . import election, membership, replication
from .models import (
    AppendAnswer,
    AppendRequest,
    JoinRequest,
    Member,
    Message,
    SnapshotRequest,
    TakeOver,
    VoteAnswer,
    VoteRequest,
)
from .replacements import record_replacement
from .replica import Replica, record_leader_commit_index

__all__ = ["observe", "receive", "tick"]


def tick(replica: Replica, now: float) -> None:
    """Run the elections, membership changes and replication that are due."""
    election.tick_election(replica, now)
    membership.tick_membership(replica, now)
    replication.tick_replication(replica, now)


def receive(replica: Replica, sender: Member, message: Message, now: float) -> None:
    """Handle a message from another member."""
    record_replacement(replica, sender, message, now)
    match message:
        case VoteRequest():
            election.on_vote_request(replica, sender, message, now)
        case VoteAnswer():
            election.on_vote_answer(replica, sender, message, now)
        case AppendRequest():
            replication.on_append_request(replica, sender, message, now)
        case AppendAnswer():
            replication.on_append_answer(replica, sender, message, now)
        case SnapshotRequest():
            replication.on_snapshot_request(replica, sender, message, now)
        case JoinRequest():
            membership.on_join_request(replica, sender, message, now)
        case TakeOver():
            election.on_take_over(replica, message, now)


def observe(replica: Replica, sender: Member, message: Message, now: float) -> None:
    """Handle a message while the disk refuses writes.

    Record the leader, but acknowledge nothing and grant no vote.
    """
    match message:
        case AppendRequest() | SnapshotRequest():
            if message.term >= replica.hard_state.term:
                replica.leader = sender.name
                replica.last_contact_at = now
                record_leader_commit_index(replica, _get_commit_index(message))
        case JoinRequest():
            membership.on_join_request(replica, sender, message, now)


def _get_commit_index(message: AppendRequest | SnapshotRequest) -> int:
    """Return the commit index that a leader's message shows."""
    match message:
        case AppendRequest():
            return message.commit_index
        case SnapshotRequest():
            return message.snapshot.log_index
