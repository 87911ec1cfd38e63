"""The history of a run, and the merged time line of a violation."""

from __future__ import annotations

import time
from typing import Final

from .models import Acted, Ended, Event, Put, Record, Started, Violation

WINDOW_SECONDS: Final = 7.0
MAX_LINE_COUNT: Final = 160
MAX_VALUE_CHARS: Final = 48


class History:
    """The events of a run in the order of their recording, and its clock."""

    def __init__(self) -> None:
        """Start the clock of an empty history."""
        self.events: list[Event] = []
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self._started_at

    def add(self, record: Record) -> None:
        """Append a record with the current time."""
        self.events.append(Event(self.now(), record))


def format_event(event: Event) -> str:
    """Return an event as one line of text."""
    values = event.record._asdict().items()
    fields = [f"{k}={round(v, 3) if isinstance(v, float) else v}" for k, v in values]
    text = " ".join(field[:MAX_VALUE_CHARS] for field in fields)
    return f"{event.at:8.3f}  {type(event.record).__name__.lower():<9} {text}"


def merge_time_line(events: list[Event], violation: Violation) -> list[str]:
    """Return the events of a violation's subjects and all faults near it, as lines."""
    lines = []
    for event in events:
        is_near = -WINDOW_SECONDS < event.at - violation.at < 1
        concerns_all = isinstance(event.record, Acted | Started | Ended | Put)
        named_subjects = set(violation.subjects) & {
            str(value) for value in event.record
        }
        request = getattr(event.record, "request", "")
        if request in violation.subjects or (
            is_near and (concerns_all or named_subjects)
        ):
            lines.append(format_event(event))
    return lines[-MAX_LINE_COUNT:]
