"""What checks look up in a history: who was disturbed when, and each request's parts."""

from __future__ import annotations

from collections import defaultdict

from .const import CONNECTIVITY_SECONDS
from .models import (
    Acted,
    Answered,
    Began,
    Ended,
    Finished,
    Put,
    Record,
    Sent,
    Started,
)

__all__ = ["Facts"]

# These do not excuse a lost request: the process is told of them, or hardly slowed.
GENTLE = ("stop", "hup", "change", "delay", "leave", "slow", "replace")


class Facts:
    """A history by subject."""

    def __init__(
        self, records: list[Record], now: float, is_over: bool = False
    ) -> None:
        """Index the records seen until now; ``is_over`` when none will follow."""
        self.is_over = is_over
        self.records = records
        self.now = now
        self.sent: dict[str, Sent] = {}
        self.began: defaultdict[str, list[Began]] = defaultdict(list)
        self.finished: dict[tuple[str, str], Finished] = {}
        self.answered: dict[str, Answered] = {}
        self.acted: list[Acted] = []
        self.started: list[Started] = []
        self.ended: list[Ended] = []
        self.accepted: list[Put] = []
        self.puts: list[Put] = []
        for record in records:
            self._take(record)

    def _take(self, record: Record) -> None:
        """Index a record."""
        match record:
            case Sent():
                self.sent[record.request] = record
            case Began():
                self.began[record.request].append(record)
            case Finished():
                self.finished[record.request, record.server] = record
            case Answered():
                self.answered[record.request] = record
            case Acted():
                self.acted.append(record)
            case Started():
                self.started.append(record)
            case Ended():
                self.ended.append(record)
            case Put():
                self.puts.append(record)
                if record.status == 200:
                    self.accepted.append(record)

    def is_struck(self, name: str, start: float, end: float) -> bool:
        """Return whether a kill, freeze, cut or reset on ``name`` itself touches a time.

        Only its own process and the way of its callers count.
        """
        return any(
            act.target == name
            and act.what.partition("<")[0] not in GENTLE
            and act.at <= end
            and start <= act.until + CONNECTIVITY_SECONDS
            for act in self.acted
        )

    def is_touched(self, prefix: str, start: float, end: float) -> bool:
        """Return whether anything at all was done around ``prefix`` near a time."""
        near = start - CONNECTIVITY_SECONDS
        return any(
            (act.target.startswith(prefix) or f"<{prefix}" in act.what)
            and act.at <= end
            and near <= act.until
            for act in self.acted
        ) or any(
            one.node.startswith(prefix) and near <= one.at <= end
            for one in self.started
        )

    def is_calm(self, node: str, start: float, end: float) -> bool:
        """Return whether a node was in touch and the control group stable."""
        return not (
            self.is_touched(node, start, end) or self.is_touched("control-", start, end)
        )

    def find_stop(self, node: str, at: float) -> float | None:
        """Return the time of the SIGTERM under which a node was at a time."""
        stops = [
            act.at
            for act in self.acted
            if act.target == node and act.what == "stop" and act.at <= at <= act.until
        ]
        return max(stops, default=None)
