"""Decoding of backend servers' heartbeats in the platform's format."""

from __future__ import annotations

from typing import Final, TypeVar

import msgspec

from ..addresses import is_address
from ..control.calls import HeartbeatAccepted
from ..control.directed_models import FreedPart, HeldPart, ServerHeartbeat
from .documents import UnreadableError
from .fields import Count, InstanceText, Integer, Text
from .names import KEY_SHIFT_BITS

__all__ = ["decode_deregistration", "decode_heartbeat", "encode_acknowledgement"]

MAX_KEY: Final = 65_535
# More rows, and longer tokens, than any server can have been told.
MAX_ROW_COUNT: Final = 1_000
MAX_TOKEN_LENGTH: Final = 32
MAX_LOGGED_LENGTH: Final = 60


class _HeartbeatBody(msgspec.Struct):
    """The body of a heartbeat; the request's path names the instance of the server."""

    service: Text
    address: Text
    zone: Text
    slots: Count
    state: Text
    sequence: Integer
    holds: tuple[tuple[int, int, Integer], ...] = ()
    freed: tuple[tuple[int, int, str], ...] = ()
    warmup_ms: float = msgspec.field(name="warmupRemainingMs", default=0.0)
    born: Integer = 0


class _DeregistrationBody(msgspec.Struct):
    """The body of a deregistration, which may be empty."""

    born: Integer = 0


_Row = TypeVar("_Row", tuple[int, int, int], tuple[int, int, str])

_DECODER: Final = msgspec.json.Decoder(_HeartbeatBody)
_DEREGISTRATION: Final = msgspec.json.Decoder(_DeregistrationBody)


def decode_heartbeat(name: str, body: bytes) -> ServerHeartbeat:
    """Decode the heartbeat of instance ``name``, or raise ``UnreadableError``.

    A "draining" server accepts no new requests but finishes those in progress. Nothing
    of a heartbeat counts of which a field cannot be read or is out of its range.
    """
    _check_name(name)
    try:
        heartbeat = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableError(f"heartbeat of {name}: {error}") from error
    if heartbeat.state not in ("ready", "draining"):
        raise UnreadableError(f"heartbeat of {name}: state {heartbeat.state!r}")
    if not is_address(heartbeat.address):
        raise UnreadableError(f"heartbeat of {name!r}: address {heartbeat.address!r}")
    return ServerHeartbeat(
        name,
        heartbeat.service,
        heartbeat.address,
        heartbeat.zone,
        max(1, heartbeat.slots),
        heartbeat.sequence,
        heartbeat.state == "draining",
        held=tuple(
            HeldPart(*_make_span(name, low, high), fence)
            for low, high, fence in _check_rows(name, heartbeat.holds)
        ),
        freed=tuple(
            FreedPart(*_make_span(name, low, high), token[:MAX_TOKEN_LENGTH])
            for low, high, token in _check_rows(name, heartbeat.freed)
        ),
        cold_ms=heartbeat.warmup_ms,
        born=heartbeat.born,
    )


def _check_name(name: str) -> None:
    """Raise ``UnreadableError`` unless a name can be that of an instance."""
    try:
        msgspec.convert(name, InstanceText)
    except msgspec.ValidationError as error:
        raise UnreadableError(
            f"instance {name[:MAX_LOGGED_LENGTH]!r}: {error}"
        ) from error


def _check_rows(name: str, rows: tuple[_Row, ...]) -> tuple[_Row, ...]:
    """Return the rows, or raise ``UnreadableError`` if there are too many.

    Rows may overlap: a server works on for a while under a former epoch, and may have
    freed the same keys twice since its last acknowledged heartbeat.
    """
    if len(rows) > MAX_ROW_COUNT:
        raise UnreadableError(f"heartbeat of {name}: {len(rows)} rows of keys")
    return rows


def _make_span(name: str, low: int, high: int) -> tuple[int, int]:
    """Return the hashes of a span of the platform's keys, both ends included."""
    if not 0 <= low <= high <= MAX_KEY:
        raise UnreadableError(f"heartbeat of {name}: keys {low} to {high}")
    return low << KEY_SHIFT_BITS, ((high + 1) << KEY_SHIFT_BITS) - 1


def encode_acknowledgement(accepted: HeartbeatAccepted, address: str) -> bytes:
    """Return the body that acknowledges a heartbeat.

    ``address`` is that for the server's next heartbeats, or empty.
    """
    body: dict[str, object] = {}
    if address:
        body["heartbeatAddress"] = address
    if accepted.held is not None:
        body["holds"] = [
            (row.low >> KEY_SHIFT_BITS, row.high >> KEY_SHIFT_BITS, *row[2:])
            for row in accepted.held
        ]
        body["holdMs"] = accepted.hold_ms
    return msgspec.json.encode(body)


def decode_deregistration(name: str, body: bytes) -> ServerHeartbeat:
    """Decode the announcement that instance ``name`` is about to end.

    Raise ``UnreadableError`` if no instance can have this name, or if there is a body
    that cannot be read.
    """
    _check_name(name)
    try:
        born = _DEREGISTRATION.decode(body).born if body.strip() else 0
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableError(f"deregistration of {name}: {error}") from error
    return ServerHeartbeat(name, "", "", "", 1, 0, leaving=True, ended=True, born=born)
