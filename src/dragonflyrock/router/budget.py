"""The retry budget of a service, divided among all entry hosts."""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

__all__ = ["BudgetPolicy", "ServiceRetryBudget"]

# Share of the allowed retries that is used, as the windows of hosts do not align.
USABLE_SHARE: Final = 0.75
BUCKET_COUNT: Final = 20


class BudgetPolicy(NamedTuple):
    """Limit of the retries that all hosts together may send to a service.

    Within ``window`` seconds, ``slack`` retries are allowed, and ``ratio`` more for
    each request.
    """

    ratio: float = 0.2
    window: float = 10.0
    slack: float = 60.0


class ServiceRetryBudget:
    """Count the requests and retries of one service on one host.

    >>> budget = ServiceRetryBudget(BudgetPolicy(0.2, 10.0, 20.0))
    >>> budget.claim_retry(0.0, hosts=10), budget.claim_retry(0.0, hosts=10)
    (True, False)
    """

    def __init__(self, policy: BudgetPolicy) -> None:
        """Start with an empty window."""
        self._policy = policy
        self._requests: deque[tuple[int, int]] = deque()
        self._retries: deque[tuple[int, int]] = deque()

    def count_request(self, now: float) -> None:
        """Count a new request at the time ``now``, in seconds."""
        self._add(self._requests, now)

    def claim_retry(self, now: float, hosts: int) -> bool:
        """Count a retry and return True if this host's share of the budget allows it.

        The slack is divided evenly among ``hosts`` hosts.
        """
        self._trim(now)
        policy = self._policy
        requests = sum(count for _, count in self._requests)
        retries = sum(count for _, count in self._retries)
        allowed = policy.ratio * requests + policy.slack / max(hosts, 1)
        if retries + 1 > allowed * USABLE_SHARE:
            return False
        self._add(self._retries, now)
        return True

    def _add(self, counts: deque[tuple[int, int]], now: float) -> None:
        """Add one to the current bucket."""
        bucket = int(now / self._policy.window * BUCKET_COUNT)
        if counts and counts[-1][0] == bucket:
            counts[-1] = (bucket, counts[-1][1] + 1)
        else:
            counts.append((bucket, 1))

    def _trim(self, now: float) -> None:
        """Drop buckets that have left the window."""
        oldest = int(now / self._policy.window * BUCKET_COUNT) - BUCKET_COUNT
        for counts in (self._requests, self._retries):
            while counts and counts[0][0] <= oldest:
                counts.popleft()
