"""Reading of the limit that a backend server names in its responses."""

from __future__ import annotations

import re
from collections.abc import Iterable
from enum import StrEnum
from typing import Final, NamedTuple

__all__ = ["MAX_LIMIT_PER_SECOND", "LimitProblem", "NamedLimit", "read_named_limit"]

# A higher limit than any server can need counts as this one.
MAX_LIMIT_PER_SECOND: Final = 1_000_000.0
DECIMAL_NUMBER: Final = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


class LimitProblem(StrEnum):
    """What is wrong with a named limit; ``NONE`` if it is valid."""

    NONE = ""
    NOT_A_NUMBER = "not a decimal number"
    TOO_HIGH = "higher than any server can need"
    SEVERAL = "several headers"


class NamedLimit(NamedTuple):
    """Requests a second that a server takes from all hosts together.

    ``per_second`` is None if no value can be read.
    """

    per_second: float | None
    problem: LimitProblem = LimitProblem.NONE


def read_named_limit(values: Iterable[str]) -> NamedLimit | None:
    """Return the limit that a response names; None without such a header.

    Of several headers the lowest limit counts.

    >>> read_named_limit(["2.5"]), read_named_limit([])
    (NamedLimit(per_second=2.5, problem=<LimitProblem.NONE: ''>), None)
    >>> read_named_limit(["-1"]).per_second, read_named_limit(["3", "nan"]).per_second
    (None, 3.0)
    """
    limits = [_read_value(value.strip()) for value in values]
    if not limits:
        return None
    readable = [limit for limit in limits if limit.per_second is not None]
    if not readable:
        return limits[0]
    lowest = min(readable)
    if len(limits) > 1 and not lowest.problem:
        return lowest._replace(problem=LimitProblem.SEVERAL)
    return lowest


def _read_value(value: str) -> NamedLimit:
    """Return the limit that one header value names."""
    if not DECIMAL_NUMBER.fullmatch(value):
        return NamedLimit(None, LimitProblem.NOT_A_NUMBER)
    per_second = float(value)
    if per_second > MAX_LIMIT_PER_SECOND:
        return NamedLimit(MAX_LIMIT_PER_SECOND, LimitProblem.TOO_HIGH)
    return NamedLimit(per_second)
