"""Events and metrics of the moves that a leader has committed."""

from __future__ import annotations

from ..observe import EventRing
from ..observe.metrics import Metrics
from . import commands as c

__all__ = ["note_moves"]


def note_moves(events: EventRing, metrics: Metrics, command: c.Command) -> None:
    """Show moves in the time line and the metrics."""
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
