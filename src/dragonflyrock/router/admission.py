"""The longest expected response time at which a request is still sent."""

from __future__ import annotations

from typing import Final

__all__ = ["compute_wait_limit"]

# Share of the time left until the target latency. A request expected to take longer
# is refused, as the work on it would make other requests late.
IN_TIME_SHARE: Final = 0.75
# Share of the time left until the deadline, for a request that misses its target
# latency in any case.
LATE_SHARE: Final = 0.25
# An idle server may need up to this multiple of its mean processing time. A request
# that fits into this share of the time left is sent, as it delays no other request.
IDLE_PROCESSING_TIMES: Final = 1.3
IDLE_SHARE: Final = 0.8


def compute_wait_limit(
    target_left: float, time_left: float, processing_time: float
) -> float:
    """Return the longest expected response time, in seconds, to admit a request.

    ``target_left`` is the time until the request misses its target latency,
    ``time_left`` the time until its deadline, and ``processing_time`` the expected
    time at the server without waiting, all in seconds.

    >>> compute_wait_limit(0.4, 1.0, 0.1), compute_wait_limit(-0.1, 0.8, 0.1)
    (0.30000000000000004, 0.2)
    >>> compute_wait_limit(-0.6, 0.2, 0.1)
    0.13
    """
    idle = min(processing_time * IDLE_PROCESSING_TIMES, time_left * IDLE_SHARE)
    return max(target_left * IN_TIME_SHARE, time_left * LATE_SHARE, idle)
