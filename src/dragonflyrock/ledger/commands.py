"""The commands of the request ledger, their results, and its rows."""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple

from ..codec import Codec
from ..errors import Refusal

__all__ = [
    "LEDGER_COMMANDS",
    "LEDGER_RESULTS",
    "Complete",
    "LedgerRow",
    "LedgerState",
    "Recorded",
    "RecordedResponse",
    "Release",
    "Reserve",
    "Reserved",
]


class LedgerState(StrEnum):
    """The state of a request that reserved a key.

    ``UNKNOWN`` means that the request ended and may have run.
    """

    RESERVED = "reserved"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class RecordedResponse(NamedTuple):
    """A backend server's response.

    ``whole`` is false if the body was too large and is not recorded.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    whole: bool = True


class LedgerRow(NamedTuple):
    """A request that reserved a key.

    ``key`` combines the customer and the idempotency key. ``fingerprint`` identifies
    the content of the request. ``reserved_ms`` is wall-clock time in milliseconds.
    """

    key: str
    fingerprint: str
    request_id: str
    state: LedgerState
    reserved_ms: int
    response: RecordedResponse | None = None


class Reserve(NamedTuple):
    """Reserve a key for one request.

    ``now_ms`` is wall-clock time in milliseconds.
    """

    key: str
    fingerprint: str
    request_id: str
    now_ms: int


class Complete(NamedTuple):
    """Record the outcome of the request that reserved a key.

    ``response`` is None if it is unknown whether the request ran.
    """

    key: str
    request_id: str
    response: RecordedResponse | None


class Release(NamedTuple):
    """Release a key whose request did not run."""

    key: str
    request_id: str


class Reserved(NamedTuple):
    """The result of a reservation that was granted to ``request_id``."""

    request_id: str


class Recorded(NamedTuple):
    """The row of the key after a command; None if there is none."""

    row: LedgerRow | None


LEDGER_COMMANDS: Final = Codec([Reserve, Complete, Release])
LEDGER_RESULTS: Final = Codec([Reserved, Recorded, Refusal])
