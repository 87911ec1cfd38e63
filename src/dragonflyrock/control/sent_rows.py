"""Rows sent to entry hosts: each is sent once, and again only if it was lost."""

from __future__ import annotations

from typing import NamedTuple

from ..models import Delta
from ..transport.messages import HostRenew
from .state import ControlState

__all__ = ["SentRowTracker"]


class SentRows(NamedTuple):
    """The rows that were sent to a host and that it has not acknowledged yet.

    ``renewed_at`` is when the host had last sent a renewal, by its own clock, and
    ``is_answer`` whether the rows were sent in the answer to that renewal.
    """

    revision: int
    renewed_at: float
    is_answer: bool

    def is_lost(self, revision: int, answered_at: float) -> bool:
        """Return whether a host has received a later message, but not these rows."""
        if revision >= self.revision:
            return False
        if self.is_answer:
            return answered_at >= self.renewed_at
        return answered_at > self.renewed_at


class PendingRows(NamedTuple):
    """The first and the last rows that a host was sent and has not acknowledged.

    The first ones show a loss even if more rows follow before each renewal.
    """

    first: SentRows
    last: SentRows


class SentRowTracker:
    """The rows that one member has sent to each host, by the host's holder."""

    def __init__(self, state: ControlState) -> None:
        """Start without sent rows."""
        self._state = state
        self._pending: dict[str, PendingRows] = {}
        self._deltas: dict[int, Delta] = {}
        self._deltas_at = 0

    def record_renewal(self, renewal: HostRenew) -> None:
        """Discard sent rows that a renewal acknowledges, or shows to be lost.

        Lost ones are sent again, and all that followed them.
        """
        holder = renewal.host.holder
        pending = self._pending.get(holder)
        if pending is None:
            return
        first, last = pending
        if renewal.revision >= last.revision:
            del self._pending[holder]
        elif renewal.revision >= first.revision:
            self._pending[holder] = PendingRows(last, last)
        elif first.is_lost(renewal.revision, renewal.answered_at):
            del self._pending[holder]

    def remove_host(self, holder: str) -> None:
        """Remove a host."""
        self._pending.pop(holder, None)

    def is_behind(self, holder: str, revision: int) -> bool:
        """Return whether a host at a revision lacks rows that were not sent yet."""
        return self._find_base(holder, revision) < self._state.revision

    def make_delta(
        self,
        holder: str,
        revision: int,
        renewed_at: float,
        applied: int,
        *,
        is_answer: bool,
    ) -> Delta:
        """Return the rows that a host lacks and was not sent; record them as sent."""
        base = self._find_base(holder, revision)
        if base > applied:
            # The host has received later rows from another member.
            return Delta(base, base, full=False)
        delta = self._find_delta(base, applied)
        if delta.revision > base:
            last = SentRows(delta.revision, renewed_at, is_answer)
            pending = self._pending.get(holder)
            first = last if pending is None else pending.first
            self._pending[holder] = PendingRows(first, last)
        return delta

    def _find_base(self, holder: str, revision: int) -> int:
        """Return the revision up to which a host has its rows or was sent them."""
        pending = self._pending.get(holder)
        return revision if pending is None else max(revision, pending.last.revision)

    def _find_delta(self, base: int, applied: int) -> Delta:
        """Return the rows changed after a revision, cached for other hosts."""
        if self._deltas_at != applied:
            self._deltas.clear()
            self._deltas_at = applied
        delta = self._deltas.get(base)
        if delta is None:
            delta = self._deltas[base] = self._state.delta_after(base, applied)
        return delta
