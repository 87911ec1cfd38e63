"""Admission of requests within the limits of each customer's contract.

The limiter of a customer is the entry host that divides the contract's limits among
all entry hosts. Each host admits requests with the tokens (for the request rate) and
permits (for concurrent requests) that the limiter has granted to it. A standby host
grants a part of the limits while the limiter does not answer.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, NamedTuple

from ..const import NEVER
from ..errors import Reason, Refusal, Step
from ..models import Contract, ContractRow
from ..systems.limits import (
    PERMIT_LEASE_SECONDS,
    TOKEN_LIFETIME_SECONDS,
    LimitGrant,
    LimitRequest,
)

__all__ = ["Admission", "Demand"]

CONCURRENCY_RETRY_MS: Final = 100
LIMITER_RETRY_MS: Final = 1000
LIMITER_WAIT_SECONDS: Final = 1.0
LIMITER_SILENCE_SECONDS: Final = 0.15
DEMAND_INTERVAL_SECONDS: Final = 0.02
ARRIVAL_SMOOTHING_FACTOR: Final = 0.3
SPARE_PERMIT_COUNT: Final = 2


class Demand(NamedTuple):
    """A request to a customer's limiter for tokens and permits.

    ``silent`` means that the limiter has not answered the last demands, so that this
    one is also sent to the standby.
    """

    customer: str
    limit_request: LimitRequest
    silent: bool


@dataclass(slots=True)
class _Share:
    """The share of a customer's limits that this host has; times in seconds.

    ``arrived_count`` counts the requests since the last demand and ``arrival_rate``
    is their smoothed rate per second. ``demand_pending`` means that the limiter has
    not answered the last demands, and ``unanswered_since`` is the time of the first
    of them. ``answered_at`` is when the latest answered demand was sent. ``limited``
    means that the limiter granted fewer permits than were demanded, ``settling`` that
    it is too new to grant all, and ``wait`` is the time until it has the next token.
    """

    tokens: int = 0
    tokens_until: float = NEVER
    permits: int = 0
    limited: bool = False
    permits_until: float = NEVER
    in_use: int = 0
    waiting_count: int = 0
    arrived_count: int = 0
    arrival_rate: float = 0.0
    demanded_at: float = NEVER
    demand_pending: bool = False
    unanswered_since: float = NEVER
    answered_at: float = NEVER
    settling: bool = False
    wait: float = 0.0


class Admission:
    """Admit requests against this host's shares of the customers' limits."""

    def __init__(self, clock: Callable[[], float], wake: Callable[[], None]) -> None:
        """Start without shares.

        ``wake`` is called when a request waits for tokens or permits, so that the
        demand is sent at once.
        """
        self._clock = clock
        self._wake = wake
        self._shares: dict[str, _Share] = {}
        self._changed = threading.Condition()

    def admit(self, row: ContractRow, deadline: float) -> Refusal | None:
        """Count a request as admitted, or return a refusal that names the limit.

        A request waits for the limiter's answer, but not for the next token.
        """
        contract = row.contract
        with self._changed:
            share = self._shares.setdefault(contract.customer, _Share())
            share.arrived_count += 1
            arrived_at = self._clock()
            give_up_at = min(deadline, arrived_at + LIMITER_WAIT_SECONDS)
            while not self._try_use(share):
                # An answer to a demand from before this request did not count it.
                if share.answered_at > arrived_at and not share.settling:
                    refusal = self._find_refusal(share, contract)
                    if refusal is not None:
                        return refusal
                now = self._clock()
                if now >= give_up_at:
                    return _refuse(Reason.OVERLOADED, "limiter", LIMITER_RETRY_MS)
                share.waiting_count += 1
                self._wake()
                self._changed.wait(give_up_at - now)
                share.waiting_count -= 1
        return None

    def release(self, customer: str) -> None:
        """Release the permit of a request that has ended."""
        with self._changed:
            self._shares[customer].in_use -= 1

    def _try_use(self, share: _Share) -> bool:
        """Use a token and a permit; return whether both were available."""
        now = self._clock()
        tokens = share.tokens if now < share.tokens_until else 0
        if tokens < 1 or not self._has_permit(share, now):
            return False
        share.tokens -= 1
        share.in_use += 1
        return True

    @staticmethod
    def _has_permit(share: _Share, now: float) -> bool:
        """Return whether a permit is available."""
        return now < share.permits_until and share.in_use < share.permits

    def _find_refusal(self, share: _Share, contract: Contract) -> Refusal | None:
        """Return a refusal if the limiter reports that a limit is reached."""
        if share.limited and not self._has_permit(share, self._clock()):
            detail = f"concurrent_requests {contract.concurrent_requests}"
            return _refuse(Reason.CONCURRENCY_LIMIT, detail, CONCURRENCY_RETRY_MS)
        if share.wait > 0:
            detail = f"requests_per_second {contract.requests_per_second:g}"
            return _refuse(Reason.RATE_LIMIT, detail, int(share.wait * 1000) + 1)
        return None

    def find_demands(self) -> list[Demand]:
        """Return the demands to send now."""
        now = self._clock()
        with self._changed:
            return [
                Demand(
                    customer,
                    self._make_limit_request(share, now),
                    self._is_unanswered(share, now),
                )
                for customer, share in self._shares.items()
                if self._is_due(share, now)
            ]

    @staticmethod
    def _is_due(share: _Share, now: float) -> bool:
        """Return whether a demand has to be sent to the limiter now."""
        if share.waiting_count and not share.demand_pending and not share.settling:
            return True
        if now - share.demanded_at < DEMAND_INTERVAL_SECONDS:
            return False
        holds_expiring_permits = (
            share.in_use > 0 and now > share.permits_until - PERMIT_LEASE_SECONDS / 2
        )
        return (
            bool(share.waiting_count or share.arrived_count) or holds_expiring_permits
        )

    @staticmethod
    def _is_unanswered(share: _Share, now: float) -> bool:
        """Return whether the limiter has left demands unanswered for too long."""
        return (
            share.demand_pending
            and now - share.unanswered_since > LIMITER_SILENCE_SECONDS
        )

    @staticmethod
    def _make_limit_request(share: _Share, now: float) -> LimitRequest:
        """Return the tokens and permits that are needed until the next demand."""
        elapsed = min(1.0, max(DEMAND_INTERVAL_SECONDS, now - share.demanded_at))
        rate = share.arrived_count / elapsed
        share.arrival_rate += ARRIVAL_SMOOTHING_FACTOR * (rate - share.arrival_rate)
        share.arrived_count = 0
        share.demanded_at = now
        if not share.demand_pending:
            share.demand_pending = True
            share.unanswered_since = now
        expected = int(max(rate, share.arrival_rate) * 2 * DEMAND_INTERVAL_SECONDS) + 1
        tokens_left = share.tokens if now < share.tokens_until else 0
        tokens = max(0, share.waiting_count + expected - tokens_left)
        held = share.permits if now < share.permits_until else share.in_use
        permits = share.in_use + share.waiting_count + SPARE_PERMIT_COUNT
        return LimitRequest(tokens, permits, min(held, permits))

    def add_grant(
        self,
        customer: str,
        limit_grant: LimitGrant,
        demanded_at: float,
        *,
        standby: bool,
    ) -> None:
        """Add a grant of tokens and permits to a customer's share.

        The lease of the permits starts at ``demanded_at``, when this host sent the
        demand. A standby's grant does not count as an answer of the limiter.
        """
        now = self._clock()
        with self._changed:
            share = self._shares.get(customer)
            if share is None:
                return
            tokens_left = share.tokens if now < share.tokens_until else 0
            share.tokens = tokens_left + limit_grant.tokens
            if limit_grant.tokens:
                share.tokens_until = now + TOKEN_LIFETIME_SECONDS
            share.permits = limit_grant.permits
            share.permits_until = demanded_at + PERMIT_LEASE_SECONDS
            share.wait = limit_grant.wait
            share.limited = limit_grant.limited
            share.settling = limit_grant.settling
            share.answered_at = max(share.answered_at, demanded_at)
            share.demand_pending = share.demand_pending and standby
            self._changed.notify_all()


def _refuse(reason: Reason, detail: str, retry_after_ms: int) -> Refusal:
    """Return a refusal at the admission step; ``detail`` names the limit."""
    return Refusal(reason, Step.ADMIT, detail=detail, retry_after_ms=retry_after_ms)
