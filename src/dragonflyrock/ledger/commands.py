"""Commands of the request ledger and their results."""

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
    "RecordedAnswer",
    "Release",
    "Reserve",
    "Reserved",
]


class LedgerState(StrEnum):
    """What is known of a request that was reserved."""

    RESERVED = "reserved"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class RecordedAnswer(NamedTuple):
    """A backend server's answer; ``whole`` is false where it was too large to keep."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    whole: bool = True


class LedgerRow(NamedTuple):
    """A reserved request. ``key`` is unique to a customer's idempotency key."""

    key: str
    fingerprint: str
    request_id: str
    state: LedgerState
    reserved_ms: int
    answer: RecordedAnswer | None = None


class Reserve(NamedTuple):
    """Reserve a key for one dispatch; ``now_ms`` is wall time."""

    key: str
    fingerprint: str
    request_id: str
    now_ms: int


class Complete(NamedTuple):
    """Record how a reserved request ended; no answer means that it is unknown."""

    key: str
    request_id: str
    answer: RecordedAnswer | None


class Release(NamedTuple):
    """Free a key whose request was not run."""

    key: str
    request_id: str


class Reserved(NamedTuple):
    """The key is reserved for the request that asked."""

    request_id: str


class Recorded(NamedTuple):
    """The row as it stands after a command."""

    row: LedgerRow | None


LEDGER_COMMANDS: Final = Codec([Reserve, Complete, Release])
LEDGER_RESULTS: Final = Codec([Reserved, Recorded, Refusal])
