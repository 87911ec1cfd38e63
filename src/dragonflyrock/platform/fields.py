"""Types of fields in JSON bodies, with the ranges that the product can hold.

A value outside of them is refused with the name of its field.
"""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import Meta

__all__ = [
    "MAX_INTEGER",
    "Count",
    "InstanceText",
    "Integer",
    "Milliseconds",
    "Path",
    "Seconds",
    "Text",
    "Weight",
]

# The largest integer of the links, the log and the wire.
MAX_INTEGER: Final = 2**63 - 1
MAX_COUNT: Final = 2**40
MAX_TEXT_LENGTH: Final = 256
MAX_PATH_LENGTH: Final = 4096
MAX_SECONDS: Final = 366 * 24 * 3600
MAX_WEIGHT: Final = 1e12

Integer = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Milliseconds = Annotated[float, Meta(ge=0, le=MAX_SECONDS * 1000)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_SECONDS)]
Weight = Annotated[float, Meta(ge=-MAX_WEIGHT, le=MAX_WEIGHT)]
Text = Annotated[str, Meta(max_length=MAX_TEXT_LENGTH)]
# Sent in a request line, and in headers.
Path = Annotated[str, Meta(max_length=MAX_PATH_LENGTH, pattern=r"\A/[!-~]*\Z")]
InstanceText = Annotated[
    str, Meta(min_length=1, max_length=MAX_TEXT_LENGTH, pattern=r"\A[!-~]+\Z")
]
