"""Limits as totals over all entry hosts: tokens and permits, given on short leases.

One host, the limiter of a customer, keeps the customer's bucket and knows how many
permits each host holds. Tokens that a host has not used soon are lost, and permits
come back when their lease ends, so a host that freezes or fails takes nothing along.
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
    "Limiter",
    "LimiterRow",
    "LimitGrant",
    "TokenBucket",
    "LimitRequest",
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
    """Return the host that stands in while the limiter is silent; empty for none."""
    limiter = find_limiter(customer, hosts)
    return find_limiter(customer, [host for host in hosts if host != limiter])


def halve_limits(contract: Contract) -> Contract:
    """Return what a standby may give, since the limiter may still be giving too."""
    return contract._replace(
        requests_per_second=contract.requests_per_second / 2,
        burst_requests=max(1, contract.burst_requests // 2),
        concurrent_requests=max(1, contract.concurrent_requests // 2),
    )


@dataclass(slots=True)
class TokenBucket:
    """Tokens that come at a rate up to a burst; times in seconds.

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
        """Take whole tokens, as many as there are and are wanted."""
        elapsed = max(0.0, now - self.filled_at)
        self.tokens = min(burst, self.tokens + rate * elapsed)
        self.filled_at = now
        taken = min(wanted, int(self.tokens))
        self.tokens -= taken
        return taken

    def time_to_token(self, rate: float) -> float:
        """Return in how many seconds there will be a token."""
        return max(0.0, 1 - self.tokens) / rate


class LimitRequest(NamedTuple):
    """What a host wants of a customer's limits, and which permits it holds."""

    tokens: int
    permits: int
    permits_held: int


class LimitGrant(NamedTuple):
    """What a host gets; ``wait`` is in how many seconds there is another token.

    ``limited`` tells that fewer permits were left than were wanted, and
    ``settling`` that the limiter is too new to give all that there is.
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
    """What a limiter keeps of a customer since it became the limiter."""

    since: float
    bucket: TokenBucket
    leases: dict[str, PermitLease] = field(default_factory=dict)


class Limiter:
    """The limits of the customers that this host limits.

    A host that has just become the limiter knows neither the tokens nor the permits
    that its predecessor gave. Its bucket therefore starts empty, and for one lease
    it gives only the permits that a host already holds.
    """

    def __init__(self) -> None:
        """Limit nobody yet."""
        self._rows: dict[str, LimiterRow] = {}

    def forget(self) -> None:
        """Forget all customers."""
        self._rows.clear()

    def retain_customers(self, me: str, hosts: tuple[str, ...]) -> None:
        """Forget the customers that another host limits now."""
        for customer in list(self._rows):
            if find_limiter(customer, hosts) != me:
                del self._rows[customer]

    def allocate(
        self,
        contract: Contract,
        host: str,
        wish: LimitRequest,
        since: float,
        now: float,
    ) -> LimitGrant:
        """Return a host's portion; ``since`` is when the hosts last changed."""
        row = self._rows.get(contract.customer)
        if row is None:
            row = LimiterRow(since, TokenBucket(since))
            self._rows[contract.customer] = row
        rate = contract.requests_per_second
        # What hosts may still use of the last moment counts towards the burst.
        burst = max(1.0, contract.burst_requests - rate * TOKEN_LIFETIME_SECONDS)
        tokens = row.bucket.take_up_to(wish.tokens, rate, burst, now)
        permits = self._give_permits(row, contract, host, wish, now)
        settling = now - row.since < PERMIT_LEASE_SECONDS
        wait = row.bucket.time_to_token(rate)
        return LimitGrant(tokens, permits, wait, permits < wish.permits, settling)

    @staticmethod
    def _give_permits(
        row: LimiterRow, contract: Contract, host: str, wish: LimitRequest, now: float
    ) -> int:
        """Return how many permits a host holds from now on."""
        others = sum(
            lease.permits
            for name, lease in row.leases.items()
            if name != host and lease.until > now
        )
        wanted = max(wish.permits, wish.permits_held)
        if now - row.since < PERMIT_LEASE_SECONDS:
            wanted = min(wanted, wish.permits_held)
        permits = max(0, min(wanted, contract.concurrent_requests - others))
        row.leases[host] = PermitLease(permits, now + PERMIT_LEASE_SECONDS)
        return permits
