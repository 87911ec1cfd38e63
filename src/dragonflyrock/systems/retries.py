"""Retries: which failures are retried, after which delay, and the retry budget."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Final, NamedTuple

from ..errors import Outcome, Reason, Refusal

__all__ = [
    "AwaitOwner",
    "BackOff",
    "CustomerRetryBudget",
    "Decision",
    "GiveUp",
    "RetryPolicy",
    "decide_retry",
]

MOVED_DETAILS: Final = frozenset(("not-granted", "old-epoch"))


class RetryPolicy(NamedTuple):
    """Bounds of one request's attempts; times in seconds.

    ``owner_wait`` and ``moved_wait`` limit how long a request waits for a new owner
    of its key before it tries the current one again.
    """

    max_attempts: int = 3
    first_backoff: float = 0.01
    max_backoff: float = 0.25
    owner_wait: float = 0.1
    moved_wait: float = 0.01


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with the refusal, at once."""


@dataclass(frozen=True, slots=True)
class AwaitOwner:
    """Try again when the key has a new owner, or after a pause in seconds.

    The attempt reached no server that may be overloaded, so no budget is spent.
    """

    pause: float


@dataclass(frozen=True, slots=True)
class BackOff:
    """Try again after a pause in seconds, out of the retry budget."""

    pause: float


Decision = GiveUp | AwaitOwner | BackOff


@dataclass(slots=True)
class CustomerRetryBudget:
    """Tokens that a customer's requests earn and retries spend, on one host.

    They limit the retries to a share of the requests.

    >>> budget = CustomerRetryBudget()
    >>> for _ in range(10):
    ...     budget.earn(percent=10.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    tokens: float = 0.0
    max_tokens: float = 10.0

    def earn(self, percent: float) -> None:
        """Add the share of a retry that one request earns."""
        self.tokens = min(self.max_tokens, self.tokens + percent / 100 + 1e-9)

    def spend(self) -> bool:
        """Spend one retry; return whether the budget had one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def decide_retry(
    refusal: Refusal,
    attempt: int,
    policy: RetryPolicy,
    random: Random,
    *,
    idempotent: bool,
) -> Decision:
    """Return what to do after a failed attempt; ``attempt`` is the number made.

    A request that may have run is tried again only if it is idempotent.

    >>> from dragonflyrock.errors import Step
    >>> lost = Refusal(Reason.OWNER_LOST, Step.ANSWER, outcome=Outcome.UNKNOWN)
    >>> decide_retry(lost, 1, RetryPolicy(), Random(1), idempotent=False)
    GiveUp()
    >>> decide_retry(lost, 1, RetryPolicy(), Random(1), idempotent=True)
    AwaitOwner(pause=0.1)
    """
    if refusal.outcome != Outcome.NOT_RUN and not idempotent:
        return GiveUp()
    match refusal.reason:
        case Reason.CONNECTION_FAILED | Reason.OWNER_LOST:
            return AwaitOwner(policy.owner_wait)
        case Reason.REFUSED_BY_SERVER if refusal.detail in MOVED_DETAILS:
            return AwaitOwner(policy.moved_wait)
        case Reason.REFUSED_BY_SERVER | Reason.CONNECTION_LOST | Reason.BAD_ANSWER:
            if attempt >= policy.max_attempts:
                return GiveUp()
            # Full jitter, so that callers that failed together do not retry together.
            bound = min(policy.max_backoff, policy.first_backoff * 2**attempt)
            return BackOff(random.uniform(0, bound))
    return GiveUp()
