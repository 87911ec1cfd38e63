"""Requests that are suspect of ending servers, and those in quarantine."""

from __future__ import annotations

from ..errors import Reason, Refusal, Step
from ..models import QuarantineRow
from ..tables import ChangedRow
from . import commands as c
from .const import MAX_SUSPECTS, QUARANTINE_MS, QUARANTINE_STRIKES, SUSPECT_MS
from .rows import Rows

__all__ = ["absolve", "lift", "strike"]


def strike(rows: Rows, command: c.StrikeRequest) -> c.Result:
    """Count a lost server against a request; the second one quarantines it."""
    _drop_expired(rows, command.now_ms)
    known = rows.quarantines.get(command.fingerprint)
    holders = known.holders if known else ()
    if command.holder not in holders:
        holders = (*holders, command.holder)
    refused = len(holders) >= QUARANTINE_STRIKES
    row = QuarantineRow(
        command.fingerprint,
        command.customer,
        command.method,
        command.target,
        holders,
        refused,
        command.now_ms + (QUARANTINE_MS if refused else SUSPECT_MS),
        rows.revision,
    )
    if known is None and len(rows.quarantines) >= MAX_SUSPECTS:
        detail = f"{MAX_SUSPECTS} requests are suspect or quarantined"
        return Refusal(Reason.OVERLOADED, Step.COMMIT, detail=detail)
    _put_quarantine(rows, row)
    if refused:
        _absolve_neighbours(rows, row)
    return c.Done(rows.revision)


def absolve(rows: Rows, command: c.AbsolveRequest) -> c.Result:
    """Drop a suspect that has since run without harm."""
    row = rows.quarantines.get(command.fingerprint)
    if row is not None and not row.refused:
        _drop_quarantine(rows, command.fingerprint)
    return c.Done(rows.revision)


def lift(rows: Rows, command: c.LiftQuarantine) -> c.Result:
    """Drop a quarantine."""
    if command.fingerprint not in rows.quarantines:
        return Refusal(Reason.NOT_FOUND, Step.COMMIT, detail="not in quarantine")
    _drop_quarantine(rows, command.fingerprint)
    return c.Done(rows.revision)


def _absolve_neighbours(rows: Rows, culprit: QuarantineRow) -> None:
    """Drop suspects that only shared a lost server with the culprit."""
    lost = set(culprit.holders)
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
    """Drop suspects and quarantines whose time is over."""
    for row in list(rows.quarantines.values()):
        if row.until_ms <= now_ms:
            _drop_quarantine(rows, row.fingerprint)
