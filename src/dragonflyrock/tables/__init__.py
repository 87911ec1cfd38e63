"""In-memory tables of ranges and of changed rows, without I/O."""

from __future__ import annotations

from .journal import ChangedRow, ChangeJournal
from .ranges import RangeTable

__all__ = ["ChangeJournal", "ChangedRow", "RangeTable"]
