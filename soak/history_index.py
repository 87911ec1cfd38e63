"""Index of a history by request, record type and fault, for the checks."""

from __future__ import annotations

from collections import defaultdict
from typing import Final, TypeVar

from . import const
from .models import (
    Acted,
    Began,
    Ended,
    Event,
    Finished,
    Outcome,
    Put,
    Sent,
    Started,
    Starved,
)

# These faults excuse no lost request: the process is notified, or is hardly slowed.
HARMLESS_FAULTS: Final = (
    *("stop", "hup", "change", "delay", "leave", "slow", "pause", "limit"),
    *const.ISOLATIONS,
)
# Name of the test program itself in ``Starved`` records.
SOAK: Final = "soak"

_Kind = TypeVar("_Kind")


class HistoryIndex:
    """An indexed history; all times are in seconds since the run began."""

    def __init__(self, events: list[Event], now: float, is_over: bool = False) -> None:
        """Index the events recorded so far; ``is_over`` if no more will follow."""
        self.events = events
        self.now = now
        self.is_over = is_over
        self.sent = {sent.request: (at, sent) for at, sent in self.list_records(Sent)}
        self.finished = {
            (run.request, run.server): (at, run.how)
            for at, run in self.list_records(Finished)
        }
        self.began: defaultdict[str, list[tuple[float, Began]]] = defaultdict(list)
        for at, run in self.list_records(Began):
            self.began[run.request].append((at, run))
        self.outcomes = self.list_records(Outcome)
        self.acted = self.list_records(Acted)
        self.started = self.list_records(Started)
        self.ended = self.list_records(Ended)
        self.puts = self.list_records(Put)
        self.accepted = [(at, put) for at, put in self.puts if put.status == 200]
        self._starved = self.list_records(Starved)

    def list_records(self, kind: type[_Kind]) -> list[tuple[float, _Kind]]:
        """Return the records of a type with their times."""
        return [(at, record) for at, record in self.events if isinstance(record, kind)]

    def was_starved(self, node: str, start: float, end: float) -> bool:
        """Return whether the soak or a node got too little processor time."""
        overlaps = [
            min(end, record.until) - max(start, at)
            for at, record in self._starved
            if record.name in (SOAK, node) and at <= end and start <= record.until
        ]
        return sum(overlaps) > const.STARVATION_SECONDS

    def was_disrupted(self, name: str, start: float, end: float) -> bool:
        """Return whether a disruptive fault affected a node between two times.

        Only faults of its process and of its callers' connections count.
        """
        since = start - const.AFTER_FAULT_SECONDS
        return any(
            act.target == name
            and act.what not in HARMLESS_FAULTS
            and at <= end
            and since <= act.until
            for at, act in self.acted
        )

    def has_started_on_damage(self, name: str, end: float) -> bool:
        """Return whether a node runs for the first time since its log was damaged.

        The fault is recorded again, without a length, when such a node is started.
        """
        starts = [at for at, record in self.started if record.node == name and at < end]
        damaged = [
            at
            for at, act in self.acted
            if act.target == name and act.what == "flip" and act.until <= at < end
        ]
        return bool(damaged) and sum(at >= damaged[-1] for at in starts) == 1

    def has_fault_near(self, prefix: str, start: float, end: float) -> bool:
        """Return whether a fault or start with this name prefix is near a time span."""
        since = start - const.AFTER_FAULT_SECONDS
        return any(
            (act.target.startswith(prefix) or act.source.startswith(prefix))
            and at <= end
            and since <= act.until
            for at, act in self.acted
        ) or any(
            record.node.startswith(prefix) and since <= at <= end
            for at, record in self.started
        )

    def was_undisturbed(self, node: str, start: float, end: float) -> bool:
        """Return whether no fault was near a node or the control nodes."""
        names = (node, "control")
        return not any(self.has_fault_near(name, start, end) for name in names)

    def was_restarted_or_frozen(self, node: str, start: float, end: float) -> bool:
        """Return whether a node was started or frozen between two times."""
        return any(
            record.node == node and start <= at <= end for at, record in self.started
        ) or any(
            (act.target, act.what) == (node, "freeze")
            and at <= end
            and start <= act.until
            for at, act in self.acted
        )

    def was_cut(self, node: str, start: float, end: float) -> bool:
        """Return whether a cut affected a node between two times."""
        return any(
            act.what == "cut"
            and (act.target.startswith(node) or act.source in (node, "entry"))
            and at <= end
            and start <= act.until
            for at, act in self.acted
        )

    def was_isolated(self, node: str, start: float, end: float) -> bool:
        """Return whether a node was cut off from all servers between two times."""
        return any(
            act.target == node
            and act.what in const.ISOLATIONS
            and at <= end
            and start <= act.until
            for at, act in self.acted
        )

    def was_in_touch(self, node: str, start: float, end: float) -> bool:
        """Return whether a node ran between two times without a fault of its own.

        An isolation from the servers is none.
        """
        since = start - const.AFTER_FAULT_SECONDS
        return not any(
            act.target.startswith(node)
            and act.what not in (*const.ISOLATIONS, "hup", "change")
            and at <= end
            and since <= act.until
            for at, act in self.acted
        ) and not any(
            record.node == node and since <= at <= end for at, record in self.started
        )

    def find_sigterm(self, node: str, at: float) -> float | None:
        """Return the time of the SIGTERM that a node was handling, or None."""
        stops = [
            since
            for since, act in self.acted
            if (act.target, act.what) == (node, "stop") and since <= at <= act.until
        ]
        return max(stops, default=None)
