"""Limits as totals over all entry hosts: tokens and permits on short leases.

One host, the limiter of a customer, has the customer's token bucket and the number
of permits that each host holds. Tokens expire soon if a host does not use them, and
permits return when their lease ends, so a host that freezes or fails retains none.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from ..hashing import hash_score
from ..models import Contract

__all__ = [
    "PERMIT_LEASE_SECONDS",
    "TOKEN_LIFETIME_SECONDS",
    "LimitGrant",
    "LimitRequest",
    "Limiter",
    "LimiterRow",
    "TokenBucket",
    "find_limiter",
    "find_standby",
    "halve_limits",
]

TOKEN_LIFETIME_SECONDS: Final = 0.1
PERMIT_LEASE_SECONDS: Final = 0.4


def find_limiter(customer: str, hosts: Iterable[str]) -> str:
    """Return the host that limits a customer, by rendezvous hashing; empty for none.

    >>> find_limiter("clerks", ["a", "b", "c"]) in ("a", "b", "c")
    True
    """
    return max(hosts, key=lambda host: (hash_score(customer, host), host), default="")


def find_standby(customer: str, hosts: Iterable[str]) -> str:
    """Return the host that limits while the limiter is silent; empty for none."""
    limiter = find_limiter(customer, hosts)
    return find_limiter(customer, [host for host in hosts if host != limiter])


def halve_limits(contract: Contract) -> Contract:
    """Return the limits of a standby, as the limiter may still be granting the rest."""
    return contract._replace(
        requests_per_second=contract.requests_per_second / 2,
        burst_requests=max(1, contract.burst_requests // 2),
        concurrent_requests=max(1, contract.concurrent_requests // 2),
    )


@dataclass(slots=True)
class TokenBucket:
    """A token bucket, filled at a rate up to a burst; times in seconds.

    >>> bucket = TokenBucket(filled_at=0.0)
    >>> bucket.take_up_to(5, rate=10.0, burst=20.0, now=1.0)
    5
    >>> bucket.take_up_to(50, rate=10.0, burst=20.0, now=1.0)
    5
    >>> bucket.time_to_token(10.0)
    0.1
    """

    filled_at: float
    tokens: float = 0.0

    def take_up_to(self, wanted: int, rate: float, burst: float, now: float) -> int:
        """Remove and return whole tokens, at most ``wanted``."""
        elapsed = max(0.0, now - self.filled_at)
        self.tokens = min(burst, self.tokens + rate * elapsed)
        self.filled_at = now
        taken = min(wanted, int(self.tokens))
        self.tokens -= taken
        return taken

    def time_to_token(self, rate: float) -> float:
        """Return the seconds until a token is available."""
        return max(0.0, 1 - self.tokens) / rate


class LimitRequest(NamedTuple):
    """The tokens and permits that a host requests, and the permits it holds."""

    tokens: int
    permits: int
    permits_held: int


class LimitGrant(NamedTuple):
    """The tokens and permits granted to a host.

    ``wait`` is the time in seconds until another token is available. ``limited`` is
    whether fewer permits were left than requested, and ``settling`` whether the
    limiter is too new to grant all permits.
    """

    tokens: int
    permits: int
    wait: float
    limited: bool
    settling: bool


class PermitLease(NamedTuple):
    """Permits that a host holds until a time, in seconds."""

    permits: int
    until: float


@dataclass(slots=True)
class LimiterRow:
    """The bucket and permits of a customer since this host became its limiter."""

    since: float
    bucket: TokenBucket
    leases: dict[str, PermitLease] = field(default_factory=dict)


class Limiter:
    """The limits of the customers that this host limits.

    A host that has just become the limiter has no record of the tokens and permits
    that its predecessor granted. Its bucket therefore starts empty, and for one lease
    it grants only the permits that a host already holds.
    """

    def __init__(self) -> None:
        """Start without customers."""
        self._rows: dict[str, LimiterRow] = {}

    def clear(self) -> None:
        """Remove all customers."""
        self._rows.clear()

    def retain_customers(self, me: str, hosts: tuple[str, ...]) -> None:
        """Remove the customers that another host limits now."""
        for customer in list(self._rows):
            if find_limiter(customer, hosts) != me:
                del self._rows[customer]

    def allocate(
        self,
        contract: Contract,
        host: str,
        request: LimitRequest,
        since: float,
        now: float,
    ) -> LimitGrant:
        """Return a host's grant; ``since`` is when the list of hosts last changed."""
        row = self._rows.get(contract.customer)
        if row is None:
            row = LimiterRow(since, TokenBucket(since))
            self._rows[contract.customer] = row
        rate = contract.requests_per_second
        # Tokens that hosts may still use within their lifetime count towards the burst.
        burst = max(1.0, contract.burst_requests - rate * TOKEN_LIFETIME_SECONDS)
        tokens = row.bucket.take_up_to(request.tokens, rate, burst, now)
        permits = self._grant_permits(row, contract, host, request, now)
        settling = now - row.since < PERMIT_LEASE_SECONDS
        wait = row.bucket.time_to_token(rate)
        return LimitGrant(tokens, permits, wait, permits < request.permits, settling)

    @staticmethod
    def _grant_permits(
        row: LimiterRow,
        contract: Contract,
        host: str,
        request: LimitRequest,
        now: float,
    ) -> int:
        """Return how many permits a host holds from now on, and record their lease."""
        others = sum(
            lease.permits
            for name, lease in row.leases.items()
            if name != host and lease.until > now
        )
        wanted = max(request.permits, request.permits_held)
        if now - row.since < PERMIT_LEASE_SECONDS:
            wanted = min(wanted, request.permits_held)
        permits = max(0, min(wanted, contract.concurrent_requests - others))
        row.leases[host] = PermitLease(permits, now + PERMIT_LEASE_SECONDS)
        return permits
