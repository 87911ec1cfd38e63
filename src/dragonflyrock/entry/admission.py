"""Admission: this host's portion of the limits of each customer's contract."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, NamedTuple

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
SILENCE_SECONDS: Final = 0.15
ASK_INTERVAL_SECONDS: Final = 0.02
ARRIVAL_SMOOTHING: Final = 0.3
SPARE_PERMITS: Final = 2
NEVER: Final = float("-inf")


class Demand(NamedTuple):
    """A wish to be sent to the limiter of a customer, which may have been silent."""

    customer: str
    wish: LimitRequest
    silent: bool


@dataclass(slots=True)
class _Share:
    """What this host has of a customer's limits; times in seconds."""

    tokens: int = 0
    tokens_until: float = NEVER
    permits: int = 0
    limited: bool = False
    permits_until: float = NEVER
    in_use: int = 0
    waiting: int = 0
    arrived: int = 0
    arrivals: float = 0.0
    asked_at: float = NEVER
    pending: bool = False
    unanswered_since: float = NEVER
    answered_at: float = NEVER
    settling: bool = False
    wait: float = 0.0


class Admission:
    """Admit requests against shares that the limiter's portions fill."""

    def __init__(self, clock: Callable[[], float], hurry: Callable[[], None]) -> None:
        """Call ``hurry`` when a request waits for a portion."""
        self._clock = clock
        self._hurry = hurry
        self._shares: dict[str, _Share] = {}
        self._changed = threading.Condition()

    # The callers' side

    def admit(self, row: ContractRow, deadline: float) -> Refusal | None:
        """Count a request, or refuse it with the limit that it meets.

        A request waits only for the limiter's word, not for the next token.
        """
        contract = row.contract
        with self._changed:
            share = self._shares.setdefault(contract.customer, _Share())
            share.arrived += 1
            arrived_at = self._clock()
            give_up = min(deadline, arrived_at + LIMITER_WAIT_SECONDS)
            while not self._take(share):
                # An answer to an earlier wish says nothing of this request.
                if share.answered_at > arrived_at and not share.settling:
                    refusal = self._find_refusal(share, contract)
                    if refusal is not None:
                        return refusal
                now = self._clock()
                if now >= give_up:
                    return _refuse(Reason.OVERLOADED, "limiter", LIMITER_RETRY_MS)
                share.waiting += 1
                self._hurry()
                self._changed.wait(give_up - now)
                share.waiting -= 1
        return None

    def release(self, customer: str) -> None:
        """End a request that was admitted."""
        with self._changed:
            self._shares[customer].in_use -= 1

    def _take(self, share: _Share) -> bool:
        """Take a token and a permit, if there are both."""
        now = self._clock()
        tokens = share.tokens if now < share.tokens_until else 0
        if tokens < 1 or not self._has_permit(share, now):
            return False
        share.tokens -= 1
        share.in_use += 1
        return True

    @staticmethod
    def _has_permit(share: _Share, now: float) -> bool:
        """Return whether one more request may run."""
        return now < share.permits_until and share.in_use < share.permits

    def _find_refusal(self, share: _Share, contract: Contract) -> Refusal | None:
        """Return the refusal for the limit that the limiter says is used up."""
        if share.limited and not self._has_permit(share, self._clock()):
            detail = f"concurrent_requests {contract.concurrent_requests}"
            return _refuse(Reason.CONCURRENCY_LIMIT, detail, CONCURRENCY_RETRY_MS)
        if share.wait > 0:
            detail = f"requests_per_second {contract.requests_per_second:g}"
            return _refuse(Reason.RATE_LIMIT, detail, int(share.wait * 1000) + 1)
        return None

    # The runtime's side

    def find_demands(self) -> list[Demand]:
        """Return the wishes that are due now."""
        now = self._clock()
        with self._changed:
            return [
                Demand(
                    customer, self._make_wish(share, now), self._is_silent(share, now)
                )
                for customer, share in self._shares.items()
                if self._is_due(share, now)
            ]

    @staticmethod
    def _is_due(share: _Share, now: float) -> bool:
        """Return whether a share needs a portion."""
        if share.waiting and not share.pending and not share.settling:
            return True
        if now - share.asked_at < ASK_INTERVAL_SECONDS:
            return False
        held = share.in_use > 0 and now > share.permits_until - PERMIT_LEASE_SECONDS / 2
        return bool(share.waiting or share.arrived) or held

    @staticmethod
    def _is_silent(share: _Share, now: float) -> bool:
        """Return whether the limiter itself has not answered for a while."""
        return share.pending and now - share.unanswered_since > SILENCE_SECONDS

    @staticmethod
    def _make_wish(share: _Share, now: float) -> LimitRequest:
        """Return what a share needs until the next wish."""
        elapsed = min(1.0, max(ASK_INTERVAL_SECONDS, now - share.asked_at))
        rate = share.arrived / elapsed
        share.arrivals += ARRIVAL_SMOOTHING * (rate - share.arrivals)
        share.arrived = 0
        share.asked_at = now
        if not share.pending:
            share.pending = True
            share.unanswered_since = now
        expected = int(max(rate, share.arrivals) * 2 * ASK_INTERVAL_SECONDS) + 1
        left = share.tokens if now < share.tokens_until else 0
        tokens = max(0, share.waiting + expected - left)
        held = share.permits if now < share.permits_until else share.in_use
        permits = share.in_use + share.waiting + SPARE_PERMITS
        return LimitRequest(tokens, permits, min(held, permits))

    def receive(
        self, customer: str, portion: LimitGrant, asked_at: float, *, standby: bool
    ) -> None:
        """Take a portion, whose leases count from when it was asked for.

        A standby's portion does not end the limiter's silence.
        """
        now = self._clock()
        with self._changed:
            share = self._shares.get(customer)
            if share is None:
                return
            left = share.tokens if now < share.tokens_until else 0
            share.tokens = left + portion.tokens
            if portion.tokens:
                share.tokens_until = now + TOKEN_LIFETIME_SECONDS
            share.permits = portion.permits
            share.permits_until = asked_at + PERMIT_LEASE_SECONDS
            share.wait = portion.wait
            share.limited = portion.limited
            share.settling = portion.settling
            share.answered_at = max(share.answered_at, asked_at)
            share.pending = share.pending and standby
            self._changed.notify_all()


def _refuse(reason: Reason, detail: str, retry_after_ms: int) -> Refusal:
    """Return a refusal that names the contract's limit."""
    return Refusal(reason, Step.ADMIT, detail=detail, retry_after_ms=retry_after_ms)
