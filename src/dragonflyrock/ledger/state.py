"""The replicated state machine of the request ledger.

A request runs at most once for each key.
"""

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


class LedgerSnapshot(NamedTuple):
    """The contents of a snapshot.

    ``latest_ms`` is the latest wall-clock time of the commands, in milliseconds.
    """

    latest_ms: int = 0
    rows: tuple[LedgerRow, ...] = ()


_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(LedgerSnapshot)


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
        """Set up an empty ledger.

        It stores at most ``capacity`` rows, each for ``retention_ms`` milliseconds.
        """
        self._capacity = capacity
        self._retention_ms = retention_ms
        self._latest_ms = 0
        self._rows: OrderedDict[str, LedgerRow] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def apply(self, index: int, payload: bytes) -> Reserved | Recorded | Refusal:
        """Apply a committed command and return its result."""
        match LEDGER_COMMANDS.decode(payload):
            case Reserve() as command:
                return self._reserve(command)
            case Complete() as command:
                return self._complete(command)
            case Release() as command:
                return self._release(command)
        raise AssertionError("the codec has no other commands")

    def dump(self) -> bytes:
        """Return an encoded snapshot of the ledger."""
        return msgspec.msgpack.encode(
            LedgerSnapshot(self._latest_ms, tuple(self._rows.values()))
        )

    def load(self, payload: bytes) -> None:
        """Replace the ledger by a snapshot; an empty payload clears it.

        Raise CodecError if the payload cannot be decoded.
        """
        try:
            snapshot = (
                _SNAPSHOT_DECODER.decode(payload) if payload else LedgerSnapshot()
            )
        except msgspec.MsgspecError as error:
            raise CodecError(
                f"cannot decode a snapshot of the ledger: {error}"
            ) from error
        self._latest_ms = snapshot.latest_ms
        self._rows = OrderedDict((row.key, row) for row in snapshot.rows)

    def _reserve(self, command: Reserve) -> Reserved | Recorded | Refusal:
        """Reserve a free key, or return the row of a key in use."""
        self._drop_expired(command.now_ms)
        row = self._rows.get(command.key)
        if row is None:
            return self._add(command)
        if row.fingerprint != command.fingerprint:
            detail = "the idempotency key was used for another request"
            return Refusal(Reason.IDEMPOTENCY_KEY_REUSED, Step.RESERVE, detail=detail)
        if row.request_id == command.request_id and row.state == LedgerState.RESERVED:
            return Reserved(row.request_id)
        return Recorded(row)

    def _add(self, command: Reserve) -> Reserved | Refusal:
        """Add a row, or return a refusal if the ledger is full of unexpired rows."""
        if len(self._rows) >= self._capacity:
            oldest = next(iter(self._rows.values()))
            retry_after_ms = oldest.reserved_ms + self._retention_ms - self._latest_ms
            detail = f"the ledger is full with {self._capacity} keys"
            return Refusal(
                Reason.LEDGER_FULL,
                Step.RESERVE,
                "",
                detail,
                retry_after_ms=retry_after_ms,
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
        """Remove the expired rows, which come first as rows are in order of time."""
        self._latest_ms = max(self._latest_ms, now_ms)
        while self._rows:
            oldest = next(iter(self._rows.values()))
            if oldest.reserved_ms + self._retention_ms > self._latest_ms:
                return
            del self._rows[oldest.key]

    def _complete(self, command: Complete) -> Recorded:
        """Record the outcome of the request that holds the reservation."""
        row = self._rows.get(command.key)
        if row is None or row.request_id != command.request_id:
            return Recorded(row)
        if row.state == LedgerState.RESERVED:
            state = LedgerState.COMPLETED if command.response else LedgerState.UNKNOWN
            row = row._replace(state=state, response=command.response)
            self._rows[command.key] = row
        return Recorded(row)

    def _release(self, command: Release) -> Recorded:
        """Release the key of the request that holds the reservation."""
        row = self._rows.get(command.key)
        if row is None or row.request_id != command.request_id:
            return Recorded(row)
        if row.state == LedgerState.RESERVED:
            del self._rows[command.key]
        return Recorded(None)
