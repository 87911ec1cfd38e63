"""Messages between daemons.

A field may only be added at the end of a message, with a default: an earlier version
ignores it, and its own messages lack it. See ``docs/design/evolution.md``.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ..codec import Codec, Newer
from ..models import Delta, HostRecord, RangeRef
from ..observe.stamps import Stamp

__all__ = [
    "MESSAGES",
    "CallAnswer",
    "CallRequest",
    "ConsensusMessage",
    "Envelope",
    "HostRenew",
    "HostUpdate",
    "HostsNear",
    "LinkMessage",
    "NearRenew",
    "PackedUpdate",
    "RangeLoad",
    "RateDemand",
    "RateGrant",
    "ServeNear",
    "ServerSpeed",
    "ServersHeard",
]


class Envelope(NamedTuple):
    """What travels in one frame: the sender's name, its clock and a message."""

    sender: str
    stamp: Stamp
    body: bytes


class ConsensusMessage(NamedTuple):
    """A message of a replicated group, for a member's data folder."""

    group: str
    sender_identity: str
    target_identity: str
    body: bytes


class RangeLoad(NamedTuple):
    """Requests of a range that a host dispatched since its last report."""

    service: str
    low: int
    requests: int
    busy_ms: float


class ServerSpeed(NamedTuple):
    """Requests that a server ran, and how long they were at work."""

    name: str
    requests: int
    busy_ms: float


class HostRenew(NamedTuple):
    """Ask the control leader to renew an entry host's lease.

    ``sent_at`` is the host's clock in seconds; the lease counts from it.
    ``answered_at`` is the ``sent_at`` of its latest renewal that was answered.
    ``draining`` are ranges that are moving while requests of them are still in
    flight here or may still run. ``ended`` are servers at whose addresses
    another life has answered.
    """

    host: HostRecord
    sent_at: float
    revision: int
    draining: tuple[RangeRef, ...]
    loads: tuple[RangeLoad, ...]
    hosts_version: int = 0
    answered_at: float = 0.0
    leaving: bool = False
    speeds: tuple[ServerSpeed, ...] = ()
    ended: tuple[str, ...] = ()


class HostUpdate(NamedTuple):
    """Rows for an entry host, and its lease when it answers a renewal.

    ``sent_at`` echoes the renewal's clock and is 0 in an unasked update.
    ``hosts`` are the entry hosts whose leases are live; None where the receiver
    has the list of this version.
    """

    term: int
    leader: str
    sent_at: float
    lease_ms: int
    delta: Delta
    hosts_version: int
    hosts: tuple[str, ...] | None


class PackedUpdate(NamedTuple):
    """A ``HostUpdate`` whose delta is encoded and compressed; see ``packing``."""

    term: int
    leader: str
    sent_at: float
    lease_ms: int
    delta: bytes
    hosts_version: int
    hosts: tuple[str, ...] | None


class CallRequest(NamedTuple):
    """A call to the leader of a group; the answer carries the same id."""

    call_id: int
    group: str
    body: bytes


class CallAnswer(NamedTuple):
    """The answer to a call; ``leader`` is a hint where it was ``moved``."""

    call_id: int
    moved: bool
    leader: str
    body: bytes


class RateDemand(NamedTuple):
    """What an entry host wants of a customer's limits; see ``LimitRequest``.

    ``sent_at`` is the asking host's clock in seconds. ``standby`` asks the host
    that stands in for a silent limiter.
    """

    customer: str
    tokens: int
    permits: int
    permits_held: int
    sent_at: float
    standby: bool


class RateGrant(NamedTuple):
    """A portion of a customer's limits; see ``LimitGrant``.

    ``sent_at`` echoes the demand's clock, and the leases count from it;
    ``standby`` echoes whom it was asked of.
    """

    customer: str
    tokens: int
    permits: int
    wait: float
    limited: bool
    settling: bool
    sent_at: float
    standby: bool


class ServersHeard(NamedTuple):
    """Directed servers that a follower has heard, with their last sequences."""

    heard: tuple[tuple[str, int], ...]


class ServeNear(NamedTuple):
    """Tell an entry host which control node gives it rows; empty for none."""

    node: str


class NearRenew(NamedTuple):
    """A renewal to the control node that gives the host its rows."""

    renew: HostRenew


class HostsNear(NamedTuple):
    """What a control node tells the leader of the hosts that get rows from it.

    ``joined`` are hosts that are not committed yet, ``alive`` the holders heard
    since the last report with their revisions, and ``left`` those that stopped.
    ``loads`` are requests by service and key.
    """

    zone: str
    joined: tuple[HostRecord, ...] = ()
    alive: tuple[tuple[str, int], ...] = ()
    left: tuple[str, ...] = ()
    loads: dict[str, dict[int, int]] = {}  # noqa: RUF012 (never changed)
    speeds: tuple[ServerSpeed, ...] = ()
    ended: tuple[str, ...] = ()


LinkMessage = (
    ConsensusMessage
    | HostRenew
    | HostUpdate
    | PackedUpdate
    | CallRequest
    | CallAnswer
    | RateDemand
    | RateGrant
    | ServersHeard
    | ServeNear
    | NearRenew
    | HostsNear
)

MESSAGES: Final = Codec(
    [
        Envelope,
        ConsensusMessage,
        HostRenew,
        HostUpdate,
        PackedUpdate,
        CallRequest,
        CallAnswer,
        RateDemand,
        RateGrant,
        ServersHeard,
        ServeNear,
        NearRenew,
        HostsNear,
    ],
    Newer.IGNORED,
)
