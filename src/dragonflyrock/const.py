"""Constants that several parts use."""

from __future__ import annotations

from typing import Final

__all__ = ["HOST_LIST_INTERVAL_SECONDS", "NEVER", "NOTICE_KEPT_SECONDS"]

# A time before any other.
NEVER: Final = float("-inf")
# Where the list of hosts is only used to divide shared limits, it changes at most once
# in this time. Otherwise, when many hosts start at once, each one would be sent a new
# list for every other one.
HOST_LIST_INTERVAL_SECONDS: Final = 0.5
# What a server said outlasts the loss of its row by this time, as the row of the same
# incarnation may come back.
NOTICE_KEPT_SECONDS: Final = 60.0
