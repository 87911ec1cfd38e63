"""Changes of suspect and quarantined requests.

A request that is in flight when a server is lost becomes a suspect. After the loss
of a second server it is quarantined: every entry host refuses it.
"""

from __future__ import annotations

from ..errors import Reason, Refusal, Step
from ..models import QuarantineRow
from ..tables import ChangedRow
from . import commands as c
from .const import (
    MAX_SUSPECTS,
    QUARANTINE_CRASH_COUNT,
    QUARANTINE_LIFETIME_MS,
    SUSPECT_LIFETIME_MS,
)
from .rows import Rows

__all__ = ["clear_suspect", "lift_quarantine", "report_crash"]


def report_crash(rows: Rows, command: c.ReportCrash) -> c.Result:
    """Record a lost server for a request in flight; quarantine it after the second."""
    _drop_expired(rows, command.now_ms)
    earlier = rows.quarantines.get(command.fingerprint)
    holders = earlier.holders if earlier else ()
    if command.holder not in holders:
        holders = (*holders, command.holder)
    refused = len(holders) >= QUARANTINE_CRASH_COUNT
    row = QuarantineRow(
        command.fingerprint,
        command.customer,
        command.method,
        command.target,
        holders,
        refused,
        command.now_ms + (QUARANTINE_LIFETIME_MS if refused else SUSPECT_LIFETIME_MS),
        rows.revision,
    )
    if earlier is None and len(rows.quarantines) >= MAX_SUSPECTS:
        detail = f"{MAX_SUSPECTS} requests are suspect or quarantined"
        return Refusal(Reason.OVERLOADED, Step.COMMIT, detail=detail)
    _put_quarantine(rows, row)
    if refused:
        _clear_co_suspects(rows, row)
    return c.Done(rows.revision)


def clear_suspect(rows: Rows, command: c.ClearSuspect) -> c.Result:
    """Drop a suspect that has since run without the loss of a server."""
    row = rows.quarantines.get(command.fingerprint)
    if row is not None and not row.refused:
        _drop_quarantine(rows, command.fingerprint)
    return c.Done(rows.revision)


def lift_quarantine(rows: Rows, command: c.LiftQuarantine) -> c.Result:
    """Drop a quarantine."""
    if command.fingerprint not in rows.quarantines:
        return Refusal(Reason.NOT_FOUND, Step.COMMIT, detail="not in quarantine")
    _drop_quarantine(rows, command.fingerprint)
    return c.Done(rows.revision)


def _clear_co_suspects(rows: Rows, quarantined: QuarantineRow) -> None:
    """Drop suspects whose lost servers are all explained by a quarantined request."""
    lost = set(quarantined.holders)
    for fingerprint, row in list(rows.quarantines.items()):
        if not row.refused and set(row.holders) <= lost:
            _drop_quarantine(rows, fingerprint)


def _put_quarantine(rows: Rows, row: QuarantineRow) -> None:
    """Store a suspect or a quarantined request at this revision."""
    rows.quarantines[row.fingerprint] = row._replace(revision=rows.revision)
    changed = ChangedRow("quarantines", row.fingerprint)
    rows.record(changed)


def _drop_quarantine(rows: Rows, fingerprint: str) -> None:
    """Drop a suspect or a quarantined request."""
    del rows.quarantines[fingerprint]
    rows.record(ChangedRow("quarantines", fingerprint))


def _drop_expired(rows: Rows, now_ms: int) -> None:
    """Drop expired suspects and quarantines."""
    for row in list(rows.quarantines.values()):
        if row.until_ms <= now_ms:
            _drop_quarantine(rows, row.fingerprint)
