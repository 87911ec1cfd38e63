"""Changes of evacuated availability zones."""

from __future__ import annotations

from ..errors import Reason, Refusal, Step
from ..models import EvacuationRow
from ..tables import ChangedRow
from . import commands as c
from .rows import Rows

__all__ = ["evacuate_zone"]


def evacuate_zone(rows: Rows, command: c.EvacuateZone) -> c.Result:
    """Evacuate a zone or take it back, unless the opposite order is newer.

    An order may be delayed between two nodes until after the operator has sent, and
    been acknowledged, the opposite one.
    """
    row = rows.evacuations.get(command.zone)
    was_evacuated = row is not None and row.evacuated
    if was_evacuated == command.evacuated:
        return c.Done(rows.revision)
    if row is not None and row.revision > command.seen_revision:
        detail = f"a newer order was applied at revision {row.revision}"
        return Refusal(Reason.VERSION_CONFLICT, Step.COMMIT, command.zone, detail)
    rows.evacuations[command.zone] = EvacuationRow(
        command.zone, command.evacuated, rows.revision
    )
    rows.record(ChangedRow("evacuations", command.zone))
    return c.Done(rows.revision)
