"""Runs of suspect requests: one suspect at a time on a server, over all hosts.

If a server is lost while two suspects run on it, either could be the cause.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, NamedTuple

from ..models import QuarantineRow
from .calls import BeginSuspectRun

__all__ = ["MAX_SUSPECT_RUN_SECONDS", "SuspectRun", "begin_suspect_run"]

MAX_SUSPECT_RUN_SECONDS: Final = 60.0


class SuspectRun(NamedTuple):
    """A suspect that a host may be running on a server, until a time at most."""

    fingerprint: str
    until: float


def begin_suspect_run(
    runs: dict[str, SuspectRun],
    quarantines: Mapping[str, QuarantineRow],
    call: BeginSuspectRun,
    now: float,
) -> bool:
    """Return whether a suspect may be sent to a server now, and record its run.

    ``runs`` maps each holder to its present run.
    """
    for holder, run in list(runs.items()):
        if _has_ended(run, holder, quarantines, now):
            del runs[holder]
    present = runs.get(call.holder)
    if present is not None and present.fingerprint != call.fingerprint:
        return False
    seconds = min(max(0.0, call.limit_ms / 1000), MAX_SUSPECT_RUN_SECONDS)
    until = max(now + seconds, present.until if present else now)
    runs[call.holder] = SuspectRun(call.fingerprint, until)
    return True


def _has_ended(
    run: SuspectRun,
    holder: str,
    quarantines: Mapping[str, QuarantineRow],
    now: float,
) -> bool:
    """Return whether a run is over: answered, refused by now, or its server lost."""
    row = quarantines.get(run.fingerprint)
    return now >= run.until or row is None or row.refused or holder in row.holders
