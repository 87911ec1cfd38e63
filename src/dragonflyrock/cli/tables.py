"""Output of commands as tables or as JSON."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

__all__ = ["print_json", "print_table", "render_table"]


def render_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a text table of rows, headed by the names of the columns.

    >>> print(render_table(["name", "load"], [["f1", 0.5]]))
    NAME  LOAD
    f1    0.5
    """
    cells = [[column.upper() for column in columns]]
    cells += [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    lines = []
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)


def print_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table."""
    print(render_table(columns, rows))


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2))
