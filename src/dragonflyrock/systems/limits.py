"""Limits: token buckets for rates."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["TokenBucket"]


@dataclass(slots=True)
class TokenBucket:
    """Tokens that come at a rate up to a burst; times in seconds.

    >>> bucket = TokenBucket(tokens=1.0, filled_at=0.0)
    >>> bucket.take(rate=2.0, burst=1.0, now=0.0)
    0.0
    >>> bucket.take(rate=2.0, burst=1.0, now=0.0)
    0.5
    """

    tokens: float
    filled_at: float

    def take(self, rate: float, burst: float, now: float) -> float:
        """Take a token; return 0, or in how many seconds there will be one."""
        elapsed = max(0.0, now - self.filled_at)
        self.tokens = min(burst, self.tokens + rate * elapsed)
        self.filled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        return (1 - self.tokens) / rate if rate > 0 else 1.0
