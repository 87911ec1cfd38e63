"""What a host that was told to stop still takes, and when it ends."""

from __future__ import annotations

from typing import Final, NamedTuple

__all__ = ["Drain", "plan_drain"]

# The balancer takes a host out after two missed checks, one a second.
LAST_ARRIVAL_SECONDS: Final = 2.6
# Kept of the grace time for the process to end, and at most this share of it.
END_MARGIN_SECONDS: Final = 0.6
END_MARGIN_SHARE: Final = 1 / 6
# An answer that is due at its deadline needs this long to be written.
ANSWER_MARGIN_SECONDS: Final = 0.1


class Drain(NamedTuple):
    """The times of a stop, in seconds of the runtime's clock.

    No connection is accepted after ``last_arrival``; the host ends at ``end`` at the
    latest, and before it where nothing is under way.
    """

    last_arrival: float
    end: float

    def takes(self, now: float, deadline: float) -> bool:
        """Return whether a request is taken that may last until its deadline.

        After the last arrival only what is answered for sure before the end is taken.

        >>> drain = Drain(last_arrival=2.6, end=5.4)
        >>> drain.takes(2.0, 6.0), drain.takes(3.0, 6.0), drain.takes(3.0, 4.5)
        (True, False, True)
        """
        return now < self.last_arrival or deadline + ANSWER_MARGIN_SECONDS <= self.end


def plan_drain(told: float, grace: float) -> Drain:
    """Return the times of a stop, told at a time, that ends within ``grace`` seconds.

    >>> plan_drain(10.0, 6.0)
    Drain(last_arrival=12.6, end=15.4)
    >>> plan_drain(0.0, 2.4)
    Drain(last_arrival=1.0, end=2.0)
    """
    end = grace - min(END_MARGIN_SECONDS, grace * END_MARGIN_SHARE)
    return Drain(told + min(LAST_ARRIVAL_SECONDS, end / 2), told + end)
