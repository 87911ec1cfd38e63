"""Announcements of backend servers in the platform's words."""

from __future__ import annotations

import msgspec

from ..control.directed_models import ServerHeartbeat
from .documents import UnreadableError

__all__ = ["decode_beat", "make_goodbye"]


class _Beat(msgspec.Struct):
    """The body of a heartbeat; the path names the life of the server."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    sequence: int


_DECODER = msgspec.json.Decoder(_Beat)


def decode_beat(name: str, body: bytes) -> ServerHeartbeat:
    """Read a heartbeat; "draining" servers still finish their work."""
    try:
        beat = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableError(f"heartbeat of {name}: {error}") from error
    if beat.state not in ("ready", "draining"):
        raise UnreadableError(f"heartbeat of {name}: state {beat.state!r}")
    if not name or not beat.address.rpartition(":")[2].isdecimal():
        raise UnreadableError(f"heartbeat of {name!r}: address {beat.address!r}")
    return ServerHeartbeat(
        name,
        beat.service,
        beat.address,
        beat.zone,
        max(1, beat.slots),
        beat.sequence,
        beat.state == "draining",
    )


def make_goodbye(name: str) -> ServerHeartbeat:
    """Return the announcement that a server is about to end."""
    return ServerHeartbeat(name, "", "", "", 1, 0, leaving=True, ended=True)
