"""Admission: the limits of a customer's contract, as this host's share of them."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from ..errors import Reason, Refusal, Step
from ..models import ContractRow
from ..systems.limits import TokenBucket

__all__ = ["Admission"]

CONCURRENCY_RETRY_MS = 100


@dataclass(slots=True)
class _Usage:
    """What a customer uses of this host's share."""

    bucket: TokenBucket
    version: int
    concurrent: int = 0


class Admission:
    """Count customers' requests against the shares of their contracts."""

    def __init__(
        self, clock: Callable[[], float], host_count: Callable[[], int]
    ) -> None:
        """Divide each contract by the number of live entry hosts."""
        self._clock = clock
        self._host_count = host_count
        self._usage: dict[str, _Usage] = {}
        self._lock = threading.Lock()

    def admit(self, row: ContractRow) -> Refusal | None:
        """Count a request, or refuse it with the limit that it meets."""
        contract = row.contract
        hosts = max(1, self._host_count())
        now = self._clock()
        with self._lock:
            usage = self._find_usage(row, now)
            if usage.concurrent >= max(1, contract.concurrent_requests // hosts):
                detail = f"concurrent_requests {contract.concurrent_requests}"
                return _refuse(Reason.CONCURRENCY_LIMIT, detail, CONCURRENCY_RETRY_MS)
            rate = contract.requests_per_second / hosts
            burst = max(1.0, contract.burst_requests / hosts)
            wait = usage.bucket.take(rate, burst, now)
            if wait > 0:
                detail = f"requests_per_second {contract.requests_per_second:g}"
                return _refuse(Reason.RATE_LIMIT, detail, int(wait * 1000) + 1)
            usage.concurrent += 1
        return None

    def release(self, customer: str) -> None:
        """End a request that was admitted."""
        with self._lock:
            self._usage[customer].concurrent -= 1

    def _find_usage(self, row: ContractRow, now: float) -> _Usage:
        """Return a customer's usage, which survives a change of its contract."""
        customer = row.contract.customer
        usage = self._usage.get(customer)
        if usage is None:
            bucket = TokenBucket(float(row.contract.burst_requests), now)
            usage = _Usage(bucket, row.version)
            self._usage[customer] = usage
        return usage


def _refuse(reason: Reason, detail: str, retry_after_ms: int) -> Refusal:
    """Return a refusal that names the contract's limit."""
    return Refusal(reason, Step.ADMIT, detail=detail, retry_after_ms=retry_after_ms)
