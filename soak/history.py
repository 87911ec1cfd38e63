"""The history of a run: records in the order in which they were seen."""

from __future__ import annotations

import time

from .models import Record, Violation

__all__ = ["History", "format_record", "merge_time_line"]

LINE_WINDOW_SECONDS = 7.0
MAX_LINES = 160


class History:
    """A growing list of records, and the clock that stamps them."""

    def __init__(self) -> None:
        """Begin now."""
        self.records: list[Record] = []
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self._began

    def add(self, record: Record) -> None:
        """Append a record."""
        self.records.append(record)


def format_record(record: Record) -> str:
    """Return a record as one line."""
    fields = zip(record._fields[1:], record[1:], strict=True)
    text = " ".join(f"{name}={_shorten(value)}" for name, value in fields)
    return f"{record.at:8.3f}  {type(record).__name__.lower():<9} {text}"


def _shorten(value: object) -> str:
    """Return a value that fits into a line."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    return text if len(text) <= 60 else f"{text[:40]}..#{hash(text) & 0xFFFF:x}"


def merge_time_line(records: list[Record], violation: Violation) -> list[str]:
    """Return the lines on a violation's subject, and all faults, before it."""
    subjects = set(violation.subject.split())
    lines = []
    for record in sorted(records, key=lambda record: record.at):
        names = {str(value) for value in record[1:]}
        own = bool(subjects & names)
        kind = type(record).__name__
        public = kind in ("Acted", "Started", "Ended", "Put")
        near = violation.at - LINE_WINDOW_SECONDS < record.at < violation.at + 1
        request = getattr(record, "request", "")
        if (request and request in subjects) or (near and (public or own)):
            lines.append(format_record(record))
    return lines[-MAX_LINES:]
