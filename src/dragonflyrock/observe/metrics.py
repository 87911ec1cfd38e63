"""Metrics of one daemon: plain numbers, written out as text when asked for."""

from __future__ import annotations

import threading
from bisect import bisect_left
from typing import Final, Generic, TypeVar

__all__ = ["CONTENT_TYPE", "Count", "Family", "Metrics", "Spread"]

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
BUCKET_SECONDS: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.075,
    0.1,
    0.25,
    0.5,
    0.75,
    1.0,
    2.5,
    5.0,
    7.5,
    10.0,
)


class Count:
    """A number that grows or is set; any thread may change it."""

    __slots__ = ("_lock", "value")

    def __init__(self) -> None:
        """Start at zero."""
        self.value = 0.0
        self._lock = threading.Lock()

    def inc(self, amount: float = 1.0) -> None:
        """Add to the number."""
        with self._lock:
            self.value += amount

    def set(self, value: float) -> None:
        """Replace the number."""
        self.value = value


class Spread:
    """How many values fell into each bucket, and their sum."""

    __slots__ = ("_lock", "counts", "total")

    def __init__(self) -> None:
        """Start empty; the last bucket has no bound."""
        self.counts = [0] * (len(BUCKET_SECONDS) + 1)
        self.total = 0.0
        self._lock = threading.Lock()

    def observe(self, value: float) -> None:
        """Count a value."""
        place = bisect_left(BUCKET_SECONDS, value)
        with self._lock:
            self.counts[place] += 1
            self.total += value


Cell = TypeVar("Cell", bound=Count | Spread)


class Family(Generic[Cell]):
    """All cells of one metric, by the values of its labels."""

    def __init__(
        self, kind: type[Cell], name: str, told: str, *labels: str, grows: bool = False
    ) -> None:
        """Name the metric; ``told`` explains it and ``grows`` makes it a counter."""
        self.name = name
        self.told = told
        self.label_names = labels
        self.grows = grows
        self.cells: dict[tuple[str, ...], Cell] = {}
        self._kind = kind
        if not labels:
            self.labels()

    def labels(self, *values: str) -> Cell:
        """Return the cell of these values."""
        cell = self.cells.get(values)
        if cell is None:
            cell = self.cells.setdefault(values, self._kind())
        return cell


class Metrics:
    """The counters, gauges and histograms that ``/metrics`` shows."""

    def __init__(self) -> None:
        """Make every metric."""
        self.requests = Family(
            Count,
            "dragonflyrock_requests",
            "Answers to callers",
            "service",
            "outcome",
            "reason",
            grows=True,
        )
        self.request_seconds = Family(
            Spread,
            "dragonflyrock_request_seconds",
            "Time from a caller's request to its answer",
            "service",
        )
        self.retries = Family(
            Count,
            "dragonflyrock_retries",
            "Dispatches after the first of a request",
            "service",
            grows=True,
        )
        self.link_bytes = Family(
            Count,
            "dragonflyrock_link_bytes",
            "Bytes of messages between daemons",
            "direction",
            "message",
            grows=True,
        )
        self.server_bytes = Family(
            Count,
            "dragonflyrock_server_bytes",
            "Bytes of requests and answers by where the backend server is",
            "service",
            "zone",
            grows=True,
        )
        self.leading = Family(
            Count,
            "dragonflyrock_leading",
            "1 where this daemon leads the group",
            "group",
        )
        self.moves = Family(
            Count,
            "dragonflyrock_moves",
            "Changes of a range's owner, by this leader",
            "service",
            "cause",
            grows=True,
        )
        self.log_syncs = Family(
            Count,
            "dragonflyrock_log_syncs",
            "Syncs of a group's log since the start",
            "group",
        )
        self.disk_lost = Family(
            Count,
            "dragonflyrock_disk_lost",
            "1 while the disk of a group's log refuses writes",
            "group",
        )
        self.disk_refusals = Family(
            Count,
            "dragonflyrock_disk_refusals",
            "Writes of a group's log that the disk refused since the start",
            "group",
        )
        self.apply_stopped = Family(
            Count,
            "dragonflyrock_apply_stopped",
            "1 since a group's log holds what only a newer version can apply",
            "group",
        )
        self._dropped_frames = Family(
            Count,
            "dragonflyrock_dropped_frames",
            "Frames between daemons that did not decode",
            grows=True,
        )
        self._revision = Family(
            Count, "dragonflyrock_revision", "Control revision applied by this daemon"
        )
        self._lease_seconds = Family(
            Count,
            "dragonflyrock_entry_lease_seconds",
            "Time left of this entry host's lease",
        )
        self._loop_seconds = Family(
            Spread,
            "dragonflyrock_loop_seconds",
            "Time of one pass of the runtime's loop",
        )
        self.dropped_frames = self._dropped_frames.labels()
        self.revision = self._revision.labels()
        self.lease_seconds = self._lease_seconds.labels()
        self.loop_seconds = self._loop_seconds.labels()

    def render(self) -> bytes:
        """Return all metrics as text."""
        # The library is large, and rarely needed: it is not loaded at the start.
        from .exposition import write_counts, write_spreads  # noqa: PLC0415

        counts = (
            self.requests,
            self.retries,
            self.link_bytes,
            self.server_bytes,
            self.leading,
            self.moves,
            self.log_syncs,
            self.disk_lost,
            self.disk_refusals,
            self.apply_stopped,
            self._dropped_frames,
            self._revision,
            self._lease_seconds,
        )
        spreads = (self.request_seconds, self._loop_seconds)
        return write_counts(counts) + write_spreads(spreads)
