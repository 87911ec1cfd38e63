"""Reading of ``Retry-After`` in responses of backend servers."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from math import isnan
from typing import Final, NamedTuple

__all__ = [
    "MAX_PAUSE_SECONDS",
    "UNREADABLE_PAUSE_SECONDS",
    "PauseProblem",
    "RequestedPause",
    "read_requested_pause",
]

# The longest time for which one response closes a server.
MAX_PAUSE_SECONDS: Final = 30.0
# The pause if the value cannot be read: the server asked for one, but not for how long.
UNREADABLE_PAUSE_SECONDS: Final = 1.0


class PauseProblem(StrEnum):
    """What is wrong with a ``Retry-After``; ``NONE`` if it is valid."""

    NONE = ""
    NOT_A_NUMBER = "not a number of seconds"
    NEGATIVE = "negative"
    TOO_LONG = "longer than the limit"
    SEVERAL = "several headers"


class RequestedPause(NamedTuple):
    """The seconds for which a server wants no requests, and a problem of the value."""

    seconds: float
    problem: PauseProblem = PauseProblem.NONE


def read_requested_pause(values: Iterable[str]) -> RequestedPause | None:
    """Return the pause that a response asks for; None without a ``Retry-After``.

    Of several headers the longest pause counts. A date counts as not a number, since
    the clocks of hosts and servers may differ.

    >>> read_requested_pause(["1.5"]), read_requested_pause([])
    (RequestedPause(seconds=1.5, problem=<PauseProblem.NONE: ''>), None)
    >>> read_requested_pause(["-3"]).seconds, read_requested_pause(["1e9"]).seconds
    (1.0, 30.0)
    """
    pauses = [_read_value(value) for value in values]
    if not pauses:
        return None
    longest = max(pauses)
    if len(pauses) > 1 and not longest.problem:
        return longest._replace(problem=PauseProblem.SEVERAL)
    return longest


def _read_value(value: str) -> RequestedPause:
    """Return the pause that one header value asks for."""
    try:
        seconds = float(value)
    except ValueError:
        return RequestedPause(UNREADABLE_PAUSE_SECONDS, PauseProblem.NOT_A_NUMBER)
    if isnan(seconds):
        return RequestedPause(UNREADABLE_PAUSE_SECONDS, PauseProblem.NOT_A_NUMBER)
    if seconds < 0:
        return RequestedPause(UNREADABLE_PAUSE_SECONDS, PauseProblem.NEGATIVE)
    if seconds > MAX_PAUSE_SECONDS:
        return RequestedPause(MAX_PAUSE_SECONDS, PauseProblem.TOO_LONG)
    return RequestedPause(seconds)
