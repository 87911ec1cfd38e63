"""Processes that ask to join in the place of a member whose disk they replace."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from .models import JoinRequest, Member, Message, VoteRequest

if TYPE_CHECKING:
    from .replica import Replica

__all__ = ["Replacement", "has_lost_disk", "record_replacement"]

# Requests to join that were held up arrive together, those of a running process evenly.
MIN_REQUESTS_SECONDS: Final = 1.0
MAX_REQUEST_GAP_SECONDS: Final = 1.0


class Replacement(NamedTuple):
    """A process that asks to join under the name of a member with another identity.

    ``first_asked_at`` and ``asked_at`` are the times of its first and its latest
    request, by the clock of the member that received them.
    """

    identity: str
    first_asked_at: float
    asked_at: float


def record_replacement(
    replica: Replica, sender: Member, message: Message, now: float
) -> None:
    """Record a request to join under the name of a member, directly from its sender.

    Any message of the member's own identity shows that its disk is not lost. Only names
    in the configuration are recorded.
    """
    known = replica.configuration.find(sender.name)
    if known in (None, sender) or sender.name == replica.me.name:
        replica.replacements.pop(sender.name, None)
        return
    match message:
        case JoinRequest(name="") | VoteRequest(forming=False):
            pass
        case _:
            return
    earlier = replica.replacements.get(sender.name)
    first_asked_at = now
    if (
        earlier is not None
        and earlier.identity == sender.identity
        and now - earlier.asked_at <= MAX_REQUEST_GAP_SECONDS
    ):
        first_asked_at = earlier.first_asked_at
    replica.replacements[sender.name] = Replacement(
        sender.identity, first_asked_at, now
    )


def has_lost_disk(replica: Replica, name: str, now: float) -> bool:
    """Return whether another process has asked in a member's place for long enough."""
    replacement = replica.replacements.get(name)
    if replacement is None or now - replacement.asked_at > MAX_REQUEST_GAP_SECONDS:
        return False
    return replacement.asked_at - replacement.first_asked_at >= MIN_REQUESTS_SECONDS
