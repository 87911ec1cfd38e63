"""The two inputs of a replica: the passing of time and a message."""

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
from .replica import Replica

__all__ = ["observe", "receive", "tick"]


def tick(replica: Replica, now: float) -> None:
    """Run every system of the replica for this moment."""
    election.tick_election(replica, now)
    membership.tick_membership(replica)
    replication.tick_replication(replica, now)


def receive(replica: Replica, sender: Member, message: Message, now: float) -> None:
    """Take a message from another member."""
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
            membership.on_join_request(replica, sender, message)
        case TakeOver():
            election.on_take_over(replica, message, now)


def observe(replica: Replica, sender: Member, message: Message, now: float) -> None:
    """Take a message while nothing can be saved: note who leads, promise nothing."""
    match message:
        case AppendRequest() | SnapshotRequest():
            known = replica.configuration.find(sender.name) in (None, sender)
            if known and message.term >= replica.hard_state.term:
                replica.leader = sender.name
                replica.last_contact_at = now
        case JoinRequest():
            membership.on_join_request(replica, sender, message)
