"""Handover: when a range that is moving may be given to its new owner."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ..models import RangeRef, RangeRow, RangeState
from .leases import has_lapsed

__all__ = [
    "Cancel",
    "Finish",
    "Handover",
    "HostView",
    "OwnerView",
    "Revoke",
    "Wait",
    "decide_handover",
]


class HostView(NamedTuple):
    """What the leader knows of an entry host."""

    lease_until: float
    revision: int
    draining: frozenset[RangeRef]


class OwnerView(NamedTuple):
    """What the leader knows of the old owner's grant.

    ``excluded`` tells that its current set leaves the range out, and
    ``acknowledged`` that it has said so.
    """

    lease_until: float
    checks_grants: bool
    excluded: bool
    acknowledged: bool


@dataclass(frozen=True, slots=True)
class Wait:
    """Leave the handover as it is; ``why`` names what is missing."""

    why: str


@dataclass(frozen=True, slots=True)
class Revoke:
    """Take the range out of the old owner's grants."""


@dataclass(frozen=True, slots=True)
class Finish:
    """Commit the new owner."""


@dataclass(frozen=True, slots=True)
class Cancel:
    """Give up, and let the old owner go on."""


Handover = Wait | Revoke | Finish | Cancel


def decide_handover(
    row: RangeRow,
    hosts: Iterable[HostView],
    owner: OwnerView | None,
    started_at: float,
    drain_limit: float,
    unchecked_wait: float,
    now: float,
) -> Handover:
    """Return the next step of a handover.

    Every entry host must have stopped dispatching the range, by its own word or
    by the end of its lease. A host that fell silent may have left a request with
    an owner that does not check grants, so for such an owner ``unchecked_wait``,
    the longest deadline, is added to the lease's end.
    """
    unchecked = owner is not None and not owner.checks_grants
    extra = unchecked_wait if unchecked else 0.0
    if not all(_is_fenced(row, host, extra, now) for host in hosts):
        overdue = now - started_at > drain_limit
        if row.state == RangeState.MOVING and overdue:
            return Cancel()
        return Wait("entry hosts")
    if owner is None or has_lapsed(owner.lease_until, now):
        return Finish()
    if not owner.excluded:
        return Revoke()
    if owner.acknowledged or unchecked:
        return Finish()
    return Wait("revoke")


def _is_fenced(row: RangeRow, host: HostView, extra: float, now: float) -> bool:
    """Return whether a host can no longer have the range dispatched."""
    if has_lapsed(host.lease_until + extra, now):
        return True
    return host.revision >= row.revision and row.ref not in host.draining
