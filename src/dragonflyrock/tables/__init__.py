"""In-memory tables of ranges, of changed rows and of servers, without I/O."""

from __future__ import annotations

from .journal import ChangedRow, ChangeJournal
from .leaving import LeavingRow, LeavingSource, LeavingTable
from .named_limits import NamedLimitRow, NamedLimitTable
from .pauses import PauseRow, PauseTable
from .ranges import RangeTable
from .spans import SpanIndex

__all__ = [
    "ChangeJournal",
    "ChangedRow",
    "LeavingRow",
    "LeavingSource",
    "LeavingTable",
    "NamedLimitRow",
    "NamedLimitTable",
    "PauseRow",
    "PauseTable",
    "RangeTable",
    "SpanIndex",
]
