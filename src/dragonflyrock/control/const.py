"""Limits of the control state."""

from __future__ import annotations

from typing import Final

CONTROL_GROUP: Final = "control"
MAX_CHANGE_RECORDS: Final = 10_000
MAX_SUSPECTS: Final = 1_000
SUSPECT_LIFETIME_MS: Final = 60_000
QUARANTINE_CRASH_COUNT: Final = 2
QUARANTINE_LIFETIME_MS: Final = 3_600_000
