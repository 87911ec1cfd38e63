"""The budget of repeated sends, which all entry hosts share by their demand."""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

__all__ = ["BudgetPolicy", "RetryBudget"]

# Part of what is allowed that is used, since windows of hosts do not line up.
SAFE_SHARE: Final = 0.75
BUCKETS: Final = 20


class BudgetPolicy(NamedTuple):
    """Repeats that all hosts together may send to a service in a window."""

    ratio: float = 0.2
    window: float = 10.0
    slack: float = 60.0


class RetryBudget:
    """Count first sends and repeats of one service on one host.

    >>> budget = RetryBudget(BudgetPolicy(0.2, 10.0, 20.0))
    >>> budget.take(0.0, hosts=10), budget.take(0.0, hosts=10)
    (True, False)
    """

    def __init__(self, policy: BudgetPolicy) -> None:
        """Start with an empty window."""
        self._policy = policy
        self._firsts: deque[tuple[int, int]] = deque()
        self._repeats: deque[tuple[int, int]] = deque()

    def note_first(self, now: float) -> None:
        """Count a request."""
        self._add(self._firsts, now)

    def take(self, now: float, hosts: int) -> bool:
        """Count a repeat if the share of this host allows it."""
        self._trim(now)
        policy = self._policy
        firsts = sum(count for _, count in self._firsts)
        repeats = sum(count for _, count in self._repeats)
        allowed = policy.ratio * firsts + policy.slack / max(hosts, 1)
        if repeats + 1 > allowed * SAFE_SHARE:
            return False
        self._add(self._repeats, now)
        return True

    def _add(self, counts: deque[tuple[int, int]], now: float) -> None:
        """Add one to the present bucket."""
        bucket = int(now / self._policy.window * BUCKETS)
        if counts and counts[-1][0] == bucket:
            counts[-1] = (bucket, counts[-1][1] + 1)
        else:
            counts.append((bucket, 1))

    def _trim(self, now: float) -> None:
        """Drop buckets that have left the window."""
        oldest = int(now / self._policy.window * BUCKETS) - BUCKETS
        for counts in (self._firsts, self._repeats):
            while counts and counts[0][0] <= oldest:
                counts.popleft()
