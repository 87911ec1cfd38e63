"""The history of a run, and the merged time line of a violation."""

from __future__ import annotations

import time
from typing import Final

from .models import Acted, Ended, Event, Put, Record, Started, Violation

WINDOW_SECONDS: Final = 7.0
MAX_LINES: Final = 160
MAX_VALUE: Final = 48


class History:
    """A growing list of events, and the clock that stamps them."""

    def __init__(self) -> None:
        """Begin now."""
        self.events: list[Event] = []
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self._began

    def add(self, record: Record) -> None:
        """Append a record that was made now."""
        self.events.append(Event(self.now(), record))


def format_event(event: Event) -> str:
    """Return an event as one line."""
    values = event.record._asdict().items()
    shown = [f"{k}={round(v, 3) if isinstance(v, float) else v}" for k, v in values]
    text = " ".join(one[:MAX_VALUE] for one in shown)
    return f"{event.at:8.3f}  {type(event.record).__name__.lower():<9} {text}"


def merge_time_line(events: list[Event], violation: Violation) -> list[str]:
    """Return the lines on a violation's subjects, and all faults near it."""
    lines = []
    for event in events:
        near = -WINDOW_SECONDS < event.at - violation.at < 1
        public = isinstance(event.record, Acted | Started | Ended | Put)
        own = set(violation.subjects) & {str(value) for value in event.record}
        request = getattr(event.record, "request", "")
        if request in violation.subjects or (near and (public or own)):
            lines.append(format_event(event))
    return lines[-MAX_LINES:]
