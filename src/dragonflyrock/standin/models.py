"""Records of the stand-in's behaviour, grants and journal."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypedDict

__all__ = [
    "Behaviour",
    "GrantedRange",
    "JournalEvent",
    "JournalLine",
    "LoadReportMode",
]


class LoadReportMode(StrEnum):
    """Which load the stand-in reports: the true one, an old one, or always idle."""

    TRUE = "true"
    LATE = "late"
    IDLE = "idle"


class Behaviour(NamedTuple):
    """How a stand-in behaves; times in milliseconds.

    Just after the start, service times are multiplied by ``cold_factor``; the
    factor falls linearly to 1 over ``cold_start_ms``. ``queue`` is the number of
    requests that may wait for a slot; further ones are refused. A request with
    ``crash_marker`` in its body ends the process.

    Without ``takes_pushes`` it hears of its grants only in the answers to its
    announcements, and announces itself again soon after they have changed. With
    ``loses_answers`` each third answer is lost, and each fifth one
    arrives after the next.
    """

    checks_grants: bool = True
    slots: int = 2
    connections: int = 130
    service_ms: float = 5.0
    cold_start_ms: float = 0.0
    cold_factor: float = 3.0
    queue: int = 64
    load_report: LoadReportMode = LoadReportMode.TRUE
    crash_marker: str = "crash-server"
    takes_pushes: bool = True
    loses_answers: bool = False


class GrantedRange(NamedTuple):
    """A granted range of hashes, both ends included."""

    low: int
    high: int
    epoch: int


class JournalEvent(StrEnum):
    """What the stand-in did with a request."""

    RAN = "ran"
    REFUSED = "refused"
    CRASHED = "crashed"


class JournalLine(TypedDict):
    """A line of the journal, a JSON object; ``at_ns`` is monotonic time."""

    event: str
    server: str
    request: str
    method: str
    service: str
    key: str
    epoch: int
    body: str
    reason: str
    at_ns: int
