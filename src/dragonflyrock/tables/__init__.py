"""In-memory tables of ranges, of changed rows and of servers, without I/O."""

from __future__ import annotations

from .cold import MAX_COLD_SECONDS, ColdNotice, ColdTable
from .journal import ChangedRow, ChangeJournal
from .leaving import LeavingRow, LeavingSource, LeavingTable
from .named_limits import NamedLimitRow, NamedLimitTable
from .pauses import PauseRow, PauseTable
from .ranges import RangeTable
from .spans import SpanIndex

__all__ = [
    "ChangeJournal",
    "ChangedRow",
    "ColdNotice",
    "ColdTable",
    "LeavingRow",
    "LeavingSource",
    "LeavingTable",
    "MAX_COLD_SECONDS",
    "NamedLimitRow",
    "NamedLimitTable",
    "PauseRow",
    "PauseTable",
    "RangeTable",
    "SpanIndex",
]
