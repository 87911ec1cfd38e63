"""The replicated request ledger: each key is run at most once."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

import msgspec

from ..codec import CodecError
from ..errors import Reason, Refusal, Step
from .commands import (
    LEDGER_COMMANDS,
    Complete,
    LedgerRow,
    LedgerState,
    Recorded,
    Release,
    Reserve,
    Reserved,
)

__all__ = ["Ledger"]


class Image(NamedTuple):
    """The whole ledger in a snapshot."""

    latest_ms: int = 0
    rows: tuple[LedgerRow, ...] = ()


_IMAGE_DECODER = msgspec.msgpack.Decoder(Image)


class Ledger:
    """The state machine of one ledger group.

    >>> ledger = Ledger(capacity=10, retention_ms=1000)
    >>> first = Reserve("key", "body", "request-1", 5)
    >>> ledger.apply(1, LEDGER_COMMANDS.encode(first))
    Reserved(request_id='request-1')
    >>> again = first._replace(request_id="request-2")
    >>> ledger.apply(2, LEDGER_COMMANDS.encode(again)).row.request_id
    'request-1'
    """

    def __init__(self, capacity: int, retention_ms: int) -> None:
        """Keep up to ``capacity`` rows, each for the retention."""
        self._capacity = capacity
        self._retention_ms = retention_ms
        self._latest_ms = 0
        self._rows: OrderedDict[str, LedgerRow] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def apply(self, index: int, payload: bytes) -> Reserved | Recorded | Refusal:
        """Carry out a command."""
        match LEDGER_COMMANDS.decode(payload):
            case Reserve() as command:
                return self._reserve(command)
            case Complete() as command:
                return self._complete(command)
            case Release() as command:
                return self._release(command)
        raise AssertionError("the codec has no other commands")

    def dump(self) -> bytes:
        """Return an image of the ledger."""
        return msgspec.msgpack.encode(
            Image(self._latest_ms, tuple(self._rows.values()))
        )

    def load(self, payload: bytes) -> None:
        """Replace the ledger by an image."""
        try:
            image = _IMAGE_DECODER.decode(payload) if payload else Image()
        except msgspec.MsgspecError as error:
            raise CodecError(f"image of the ledger: {error}") from error
        self._latest_ms = image.latest_ms
        self._rows = OrderedDict((row.key, row) for row in image.rows)

    def _reserve(self, command: Reserve) -> Reserved | Recorded | Refusal:
        """Reserve a free key, or tell what is known of it."""
        self._drop_expired(command.now_ms)
        row = self._rows.get(command.key)
        if row is None:
            return self._add(command)
        if row.fingerprint != command.fingerprint:
            detail = "the key was used for another request"
            return Refusal(Reason.IDEMPOTENCY_KEY_REUSED, Step.RESERVE, detail=detail)
        if row.request_id == command.request_id and row.state == LedgerState.RESERVED:
            return Reserved(row.request_id)
        return Recorded(row)

    def _add(self, command: Reserve) -> Reserved | Refusal:
        """Add a row unless the ledger is full of rows that must be kept."""
        if len(self._rows) >= self._capacity:
            oldest = next(iter(self._rows.values()))
            wait = oldest.reserved_ms + self._retention_ms - self._latest_ms
            detail = f"{self._capacity} keys are kept"
            return Refusal(
                Reason.LEDGER_FULL, Step.RESERVE, "", detail, retry_after_ms=wait
            )
        self._rows[command.key] = LedgerRow(
            command.key,
            command.fingerprint,
            command.request_id,
            LedgerState.RESERVED,
            self._latest_ms,
        )
        return Reserved(command.request_id)

    def _drop_expired(self, now_ms: int) -> None:
        """Drop the rows whose retention is over; they are in the order of time."""
        self._latest_ms = max(self._latest_ms, now_ms)
        while self._rows:
            oldest = next(iter(self._rows.values()))
            if oldest.reserved_ms + self._retention_ms > self._latest_ms:
                return
            del self._rows[oldest.key]

    def _complete(self, command: Complete) -> Recorded:
        """Record an end, for the request that holds the reservation."""
        row = self._rows.get(command.key)
        if row is None or row.request_id != command.request_id:
            return Recorded(row)
        if row.state == LedgerState.RESERVED:
            state = LedgerState.COMPLETED if command.answer else LedgerState.UNKNOWN
            row = row._replace(state=state, answer=command.answer)
            self._rows[command.key] = row
        return Recorded(row)

    def _release(self, command: Release) -> Recorded:
        """Free a key for the request that holds the reservation."""
        row = self._rows.get(command.key)
        if row is None or row.request_id != command.request_id:
            return Recorded(row)
        if row.state == LedgerState.RESERVED:
            del self._rows[command.key]
        return Recorded(None)
