"""Times of a graceful stop: until when a host accepts requests, and when it ends."""

from __future__ import annotations

from typing import Final, NamedTuple

__all__ = ["Drain", "plan_drain"]

# A load balancer sends no more connections to a host that has failed two health
# checks, which are one second apart.
LAST_ARRIVAL_SECONDS: Final = 2.6
# Time reserved at the end of the grace period for the process to exit. In a short grace
# period it is at most this share of it.
END_MARGIN_SECONDS: Final = 0.6
END_MARGIN_SHARE: Final = 1 / 6
# Time to write a response that is complete only at its deadline.
RESPONSE_MARGIN_SECONDS: Final = 0.1


class Drain(NamedTuple):
    """The times of a graceful stop, in seconds on the event loop's clock.

    The host stops listening at ``last_arrival``. It ends at ``end`` at the latest, or
    earlier if no request is in progress.
    """

    last_arrival: float
    end: float

    def accepts(self, deadline: float) -> bool:
        """Return whether a request that may run until its deadline may be sent.

        Its response must be written before the host ends, whenever it arrived.

        >>> drain = Drain(last_arrival=2.6, end=5.4)
        >>> drain.accepts(6.0), drain.accepts(4.5)
        (False, True)
        """
        return deadline + RESPONSE_MARGIN_SECONDS <= self.end


def plan_drain(stop_requested_at: float, grace: float) -> Drain:
    """Return the times of a stop that ends within ``grace`` seconds of its request.

    >>> plan_drain(10.0, 6.0)
    Drain(last_arrival=12.6, end=15.4)
    >>> plan_drain(0.0, 2.4)
    Drain(last_arrival=1.0, end=2.0)
    """
    end = grace - min(END_MARGIN_SECONDS, grace * END_MARGIN_SHARE)
    return Drain(
        stop_requested_at + min(LAST_ARRIVAL_SECONDS, end / 2), stop_requested_at + end
    )
