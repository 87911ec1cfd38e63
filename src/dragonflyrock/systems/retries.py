"""Retries: which failures may be tried again, when, and out of which budget."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Final, NamedTuple

from ..errors import Outcome, Reason, Refusal

__all__ = ["RetryBudget", "RetryPolicy", "find_backoff", "may_retry"]

MOVED_DETAILS: Final = frozenset(("not-granted", "old-epoch"))


class RetryPolicy(NamedTuple):
    """Bounds of one request's attempts; times in seconds."""

    max_attempts: int = 3
    first_backoff: float = 0.01
    max_backoff: float = 0.25
    moved_backoff: float = 0.005


@dataclass(slots=True)
class RetryBudget:
    """Tokens that requests earn and retries spend, so that retries stay a share.

    >>> budget = RetryBudget()
    >>> for _ in range(10):
    ...     budget.earn(percent=10.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    tokens: float = 0.0
    max_tokens: float = 10.0

    def earn(self, percent: float) -> None:
        """Add the share of a retry that one request brings."""
        self.tokens = min(self.max_tokens, self.tokens + percent / 100 + 1e-9)

    def spend(self) -> bool:
        """Take one retry out of the budget, if there is one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def is_moved(refusal: Refusal) -> bool:
    """Return whether a server refused because the key has another owner."""
    by_server = refusal.reason == Reason.REFUSED_BY_SERVER
    return by_server and refusal.detail in MOVED_DETAILS


def may_retry(refusal: Refusal, *, idempotent: bool) -> bool:
    """Return whether a failed attempt may be followed by another.

    What may have run is tried again only if it is idempotent.
    """
    match refusal.reason:
        case Reason.REFUSED_BY_SERVER | Reason.CONNECTION_FAILED:
            return True
        case Reason.CONNECTION_LOST | Reason.BAD_ANSWER:
            return idempotent or refusal.outcome == Outcome.NOT_RUN
    return False


def find_backoff(
    refusal: Refusal, attempt: int, policy: RetryPolicy, random: Random
) -> float:
    """Return the pause before the next attempt in seconds, with full jitter.

    A key that has just moved is not overload, so its pause does not grow.
    """
    if is_moved(refusal):
        return policy.moved_backoff
    bound = min(policy.max_backoff, policy.first_backoff * 2**attempt)
    return random.uniform(0, bound)
