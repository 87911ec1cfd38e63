"""What a member has last heard from each other member of its configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from .models import Member, Message, VoteAnswer

if TYPE_CHECKING:
    from .replica import Replica

__all__ = ["Contact", "record_contact"]


class Contact(NamedTuple):
    """The latest message from a peer, and its latest answer to a vote request.

    ``identity`` is that of the peer's data folder, and ``wanted_identity`` the one that
    the peer expects of this member; it is empty if any will do. ``vote`` is "granted",
    or why the vote was refused; it is empty without an answer.
    """

    identity: str
    wanted_identity: str
    heard_at: float
    vote: str = ""


def record_contact(
    replica: Replica,
    sender: Member,
    wanted_identity: str,
    message: Message,
    now: float,
) -> None:
    """Record a message, also one that is meant for another identity of this member.

    Only names in the configuration are recorded, so strangers add nothing.
    """
    if replica.configuration.find(sender.name) is None:
        return
    earlier = replica.contacts.get(sender.name)
    vote = earlier.vote if earlier and earlier.identity == sender.identity else ""
    if isinstance(message, VoteAnswer):
        vote = "granted" if message.granted else message.refusal or "refused"
    replica.contacts[sender.name] = Contact(sender.identity, wanted_identity, now, vote)
