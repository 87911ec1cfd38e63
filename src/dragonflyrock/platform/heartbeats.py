"""Decoding of backend servers' heartbeats in the platform's format."""

from __future__ import annotations

import msgspec

from ..control.directed_models import ServerHeartbeat
from .documents import UnreadableError

__all__ = ["decode_heartbeat", "make_deregistration"]


class _HeartbeatBody(msgspec.Struct):
    """The body of a heartbeat; the request's path names the instance of the server."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    sequence: int


_DECODER = msgspec.json.Decoder(_HeartbeatBody)


def decode_heartbeat(name: str, body: bytes) -> ServerHeartbeat:
    """Decode the heartbeat of instance ``name``, or raise ``UnreadableError``.

    A "draining" server accepts no new requests but finishes those in progress.
    """
    try:
        heartbeat = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableError(f"heartbeat of {name}: {error}") from error
    if heartbeat.state not in ("ready", "draining"):
        raise UnreadableError(f"heartbeat of {name}: state {heartbeat.state!r}")
    if not name or not heartbeat.address.rpartition(":")[2].isdecimal():
        raise UnreadableError(f"heartbeat of {name!r}: address {heartbeat.address!r}")
    return ServerHeartbeat(
        name,
        heartbeat.service,
        heartbeat.address,
        heartbeat.zone,
        max(1, heartbeat.slots),
        heartbeat.sequence,
        heartbeat.state == "draining",
    )


def make_deregistration(name: str) -> ServerHeartbeat:
    """Return the announcement that instance ``name`` is about to end."""
    return ServerHeartbeat(name, "", "", "", 1, 0, leaving=True, ended=True)
