"""Rows on their way to entry hosts: each goes out once, and again if it was lost."""

from __future__ import annotations

from typing import NamedTuple

from ..models import Delta
from ..transport.messages import HostRenew
from .state import ControlState

__all__ = ["RowSender"]


class SentRows(NamedTuple):
    """The rows that were sent to a host and that it has not acknowledged yet.

    They went out before or with the answer to the host's renewal of ``renewed_at``,
    its own clock; ``asked`` tells that they were that answer.
    """

    revision: int
    renewed_at: float
    asked: bool

    def is_lost(self, revision: int, answered_at: float) -> bool:
        """Return whether a host has taken a later message, but not these rows."""
        if revision >= self.revision:
            return False
        if self.asked:
            return answered_at >= self.renewed_at
        return answered_at > self.renewed_at


class RowSender:
    """What one member has sent to each host over its own link, by the host's holder."""

    def __init__(self, state: ControlState) -> None:
        """Start with nothing sent."""
        self._state = state
        self._sent: dict[str, SentRows] = {}
        self._deltas: dict[int, Delta] = {}
        self._deltas_at = 0

    def note_renewal(self, renew: HostRenew) -> None:
        """Find by a renewal whether rows on their way were lost."""
        holder = renew.host.holder
        sent = self._sent.get(holder)
        if sent is not None and sent.is_lost(renew.revision, renew.answered_at):
            del self._sent[holder]

    def forget(self, holder: str) -> None:
        """Forget a host."""
        self._sent.pop(holder, None)

    def is_behind(self, holder: str, revision: int) -> bool:
        """Return whether a host at a revision lacks rows that were not sent yet."""
        return self._base(holder, revision) < self._state.revision

    def take(
        self,
        holder: str,
        revision: int,
        renewed_at: float,
        applied: int,
        *,
        asked: bool,
    ) -> Delta:
        """Return what a host at a revision lacks and was not sent yet, as sent now."""
        base = self._base(holder, revision)
        if base > applied:
            # The host has heard more from another member.
            return Delta(base, base, full=False)
        delta = self._find_delta(base, applied)
        if delta.revision > base:
            self._sent[holder] = SentRows(delta.revision, renewed_at, asked)
        return delta

    def _base(self, holder: str, revision: int) -> int:
        """Return the revision up to which a host has rows or is sent them."""
        sent = self._sent.get(holder)
        return revision if sent is None else max(revision, sent.revision)

    def _find_delta(self, base: int, applied: int) -> Delta:
        """Return what changed after a revision; most hosts lack the same."""
        if self._deltas_at != applied:
            self._deltas.clear()
            self._deltas_at = applied
        delta = self._deltas.get(base)
        if delta is None:
            delta = self._deltas[base] = self._state.delta_after(base, applied)
        return delta
