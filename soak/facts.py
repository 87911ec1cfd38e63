"""What checks look up in a history: who was disturbed, and the parts of a request."""

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

# These excuse no lost request: the process is told of them, or is hardly slowed.
GENTLE: Final = ("stop", "hup", "change", "delay", "leave", "slow")
# The name under which the soak itself is recorded.
SOAK: Final = "soak"

_Kind = TypeVar("_Kind")


class Facts:
    """A history by subject; times are those of the events."""

    def __init__(self, events: list[Event], now: float, is_over: bool = False) -> None:
        """Index the events seen until now; ``is_over`` when none will follow."""
        self.events = events
        self.now = now
        self.is_over = is_over
        self.sent = {sent.request: (at, sent) for at, sent in self.list_of(Sent)}
        self.finished = {
            (run.request, run.server): (at, run.how)
            for at, run in self.list_of(Finished)
        }
        self.began: defaultdict[str, list[tuple[float, Began]]] = defaultdict(list)
        for at, run in self.list_of(Began):
            self.began[run.request].append((at, run))
        self.outcomes = self.list_of(Outcome)
        self.acted = self.list_of(Acted)
        self.started = self.list_of(Started)
        self.ended = self.list_of(Ended)
        self.puts = self.list_of(Put)
        self.accepted = [(at, put) for at, put in self.puts if put.status == 200]
        self._starved = self.list_of(Starved)

    def list_of(self, kind: type[_Kind]) -> list[tuple[float, _Kind]]:
        """Return the records of a kind with their times."""
        return [(at, one) for at, one in self.events if isinstance(one, kind)]

    def is_blind(self, node: str, start: float, end: float) -> bool:
        """Return whether the soak or a node stood still for want of processor."""
        found = [
            min(end, one.until) - max(start, at)
            for at, one in self._starved
            if one.name in (SOAK, node) and at <= end and start <= one.until
        ]
        return sum(found) > const.BLIND_SECONDS

    def is_struck(self, name: str, start: float, end: float) -> bool:
        """Return whether a kill, freeze, cut or reset touches a node in a time.

        Only those of its own process and of the way of its callers count.
        """
        since = start - const.CONNECTIVITY_SECONDS
        return any(
            act.target == name
            and act.what not in GENTLE
            and at <= end
            and since <= act.until
            for at, act in self.acted
        )

    def is_touched(self, prefix: str, start: float, end: float) -> bool:
        """Return whether anything at all was done around a name near a time."""
        since = start - const.CONNECTIVITY_SECONDS
        return any(
            (act.target.startswith(prefix) or act.source.startswith(prefix))
            and at <= end
            and since <= act.until
            for at, act in self.acted
        ) or any(
            one.node.startswith(prefix) and since <= at <= end
            for at, one in self.started
        )

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
