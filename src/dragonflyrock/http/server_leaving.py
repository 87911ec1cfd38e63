"""Reading of the header by which a backend server says that it leaves."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

__all__ = ["LeavingNotice", "read_leaving"]


class LeavingNotice(StrEnum):
    """What a response says; ``UNREADABLE`` neither starts nor ends anything."""

    STAYS = "stays"
    LEAVES = "leaves"
    UNREADABLE = "unreadable"


def read_leaving(values: Iterable[str]) -> LeavingNotice:
    """Return what a response says by its values of the header.

    Of several headers one that says that the server leaves is enough.

    >>> str(read_leaving(["1"])), str(read_leaving(["0"])), str(read_leaving(["soon"]))
    ('leaves', 'stays', 'unreadable')
    """
    stripped = {value.strip() for value in values}
    if "1" in stripped:
        return LeavingNotice.LEAVES
    return LeavingNotice.UNREADABLE if stripped - {"0"} else LeavingNotice.STAYS
