"""Handover: when a moving range may be assigned to its new owner."""

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
    """The state of an entry host, as known to the leader."""

    lease_until: float
    revision: int
    draining: frozenset[RangeRef]


class OwnerView(NamedTuple):
    """The state of the old owner's grant, as known to the leader.

    ``excluded`` is whether its current set of grants lacks the range, and
    ``acknowledged`` whether the owner has acknowledged that set.
    """

    lease_until: float
    checks_grants: bool
    excluded: bool
    acknowledged: bool


@dataclass(frozen=True, slots=True)
class Wait:
    """Leave the handover as it is; ``reason`` names what it waits for."""

    reason: str


@dataclass(frozen=True, slots=True)
class Revoke:
    """Remove the range from the old owner's grants."""


@dataclass(frozen=True, slots=True)
class Finish:
    """Commit the new owner."""


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel the move and leave the range with its old owner."""


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

    Every entry host must have stopped dispatching the range: it has reported so, or
    its lease has expired. A host that became silent may have sent a request to an
    owner that does not check grants, so for such an owner ``unchecked_wait``, the
    longest deadline, is added to the end of the lease.
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
    """Return whether a host can no longer dispatch requests of the range."""
    if has_lapsed(host.lease_until + extra, now):
        return True
    return host.revision >= row.revision and row.ref not in host.draining
