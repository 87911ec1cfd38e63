"""Records of the stand-in: its behaviour, its grants and its journal."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypedDict

__all__ = ["Behaviour", "HeldRange", "JournalEvent", "JournalLine", "LoadReport"]


class LoadReport(StrEnum):
    """What the stand-in says of its load."""

    TRUE = "true"
    LATE = "late"
    IDLE = "idle"


class Behaviour(NamedTuple):
    """How a stand-in behaves; times in milliseconds.

    A cold start multiplies service times by up to ``cold_factor``, falling to 1
    over ``cold_start_ms``. ``queue`` is how many requests may wait for a slot
    before the stand-in sheds load.
    """

    checks_grants: bool = True
    slots: int = 2
    connections: int = 130
    service_ms: float = 5.0
    cold_start_ms: float = 0.0
    cold_factor: float = 3.0
    queue: int = 64
    load_report: LoadReport = LoadReport.TRUE
    crash_marker: str = "crash-server"


class HeldRange(NamedTuple):
    """A granted range of hashes, both ends included."""

    low: int
    high: int
    epoch: int


class JournalEvent(StrEnum):
    """What became of a request at the stand-in."""

    RAN = "ran"
    REFUSED = "refused"
    CRASHED = "crashed"


class JournalLine(TypedDict):
    """One line of the journal, a JSON object; ``at_ns`` is monotonic time."""

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
