"""What checks look up in a history: who was disturbed, and the parts of a request."""

from __future__ import annotations

from collections import defaultdict
from typing import Final

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

# These excuse no lost request: the process is told of them, or is hardly slowed.
GENTLE: Final = ("stop", "hup", "change", "delay", "leave", "slow")
# The name under which the soak itself is recorded.
SOAK: Final = "soak"


class Facts:
    """A history by subject; times are those of the events."""

    def __init__(self, events: list[Event], now: float, is_over: bool = False) -> None:
        """Index the events seen until now; ``is_over`` when none will follow."""
        self.events = events
        self.now = now
        self.is_over = is_over
        self.sent: dict[str, tuple[float, Sent]] = {}
        self.began: defaultdict[str, list[tuple[float, Began]]] = defaultdict(list)
        self.finished: dict[tuple[str, str], tuple[float, str]] = {}
        self.outcomes: list[tuple[float, Outcome]] = []
        self.acted: list[tuple[float, Acted]] = []
        self.starved: list[tuple[float, Starved]] = []
        self.started: list[tuple[float, str]] = []
        self.ended: list[tuple[float, Ended]] = []
        self.puts: list[tuple[float, Put]] = []
        for event in events:
            self._take(*event)
        self.accepted = [(at, put) for at, put in self.puts if put.status == 200]

    def _take(self, at: float, record: object) -> None:
        """Index a record."""
        match record:
            case Sent():
                self.sent[record.request] = at, record
            case Began():
                self.began[record.request].append((at, record))
            case Finished():
                self.finished[record.request, record.server] = at, record.how
            case Outcome():
                self.outcomes.append((at, record))
            case Acted():
                self.acted.append((at, record))
            case Starved():
                self.starved.append((at, record))
            case Started():
                self.started.append((at, record.node))
            case Ended():
                self.ended.append((at, record))
            case Put():
                self.puts.append((at, record))

    def is_blind(self, node: str, start: float, end: float) -> bool:
        """Return whether the soak or a node stood still for want of processor."""
        found = [
            min(end, one.until) - max(start, at)
            for at, one in self.starved
            if one.name in (SOAK, node) and at <= end and start <= one.until
        ]
        return sum(found) > const.BLIND_SECONDS

    def is_struck(self, name: str, start: float, end: float) -> bool:
        """Return whether a kill, freeze, cut or reset touches a node in a time.

        Only those of its own process and of the way of its callers count.
        """
        late = const.CONNECTIVITY_SECONDS
        return any(
            act.target == name and act.what not in GENTLE
            and at <= end and start <= act.until + late
            for at, act in self.acted
        )  # fmt: skip

    def is_touched(self, prefix: str, start: float, end: float) -> bool:
        """Return whether anything at all was done around a name near a time."""
        near = start - const.CONNECTIVITY_SECONDS
        return any(
            (act.target.startswith(prefix) or act.source.startswith(prefix))
            and at <= end and near <= act.until
            for at, act in self.acted
        ) or any(
            node.startswith(prefix) and near <= at <= end for at, node in self.started
        )  # fmt: skip

    def is_calm(self, node: str, start: float, end: float) -> bool:
        """Return whether a node was in touch and the control group stable."""
        names = (node, "control")
        return not any(self.is_touched(name, start, end) for name in names)

    def find_stop(self, node: str, at: float) -> float | None:
        """Return the time of the SIGTERM under which a node was at a time."""
        stops = [
            since
            for since, act in self.acted
            if (act.target, act.what) == (node, "stop") and since <= at <= act.until
        ]
        return max(stops, default=None)
