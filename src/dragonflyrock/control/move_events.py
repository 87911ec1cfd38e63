"""Events and metrics of the moves that a leader proposes."""

from __future__ import annotations

from ..observe import EventRing
from ..observe.metrics import Metrics
from . import commands as c

__all__ = ["report_moves"]


def report_moves(events: EventRing, metrics: Metrics, command: c.Command) -> None:
    """Add the moves of a command to the events and metrics."""
    match command:
        case c.BeginMoves(moves):
            for move in moves:
                cause = "lost" if move.lost else "planned"
                metrics.moves.labels(move.service, cause).inc()
                events.add(
                    "move-begun",
                    service=move.service,
                    range_low=move.low,
                    server=move.target,
                    detail=cause,
                )
        case c.FinishMoves(moves) | c.CancelMoves(moves):
            finished = isinstance(command, c.FinishMoves)
            kind = "move-finished" if finished else "move-cancelled"
            for ref in moves:
                events.add(kind, service=ref.service, range_low=ref.low)
