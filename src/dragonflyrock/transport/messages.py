"""Messages between nodes.

A new field may only be added at the end of a message, with a default, because earlier
versions ignore it and send messages without it. See ``docs/design/evolution.md``.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from ..codec import Codec, UnknownFields
from ..models import Delta, HostRecord, RangeRef
from ..observe.stamps import Stamp

__all__ = [
    "MESSAGES",
    "CallAnswer",
    "CallRequest",
    "ColdServer",
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
    "ServerLoad",
    "ServerLoads",
    "ServerNeed",
    "ServerNeeds",
    "ServerRateDemand",
    "ServerRateGrant",
    "ServerSpeed",
    "ServersHeard",
]


class Envelope(NamedTuple):
    """The content of one frame: the sender's name and clock, and an encoded message."""

    sender: str
    stamp: Stamp
    body: bytes


class ConsensusMessage(NamedTuple):
    """A consensus message between two members of a replicated group.

    The identities are those of the members' data folders. ``body`` is encoded by
    ``transport.consensus.CONSENSUS``.
    """

    group: str
    sender_identity: str
    target_identity: str
    body: bytes


class RangeLoad(NamedTuple):
    """Requests for a range that a host dispatched since its last report.

    ``low`` is the low end of the range, or the hash of a single key. ``busy_ms`` is
    their total processing time.
    """

    service: str
    low: int
    requests: int
    busy_ms: float


class ServerSpeed(NamedTuple):
    """The number of requests that a server ran, and their total processing time."""

    name: str
    requests: int
    busy_ms: float


class HostRenew(NamedTuple):
    """Ask the control leader to renew an entry host's lease.

    ``sent_at`` is the host's clock in seconds; the lease starts at this time.
    ``revision`` is that of the rows that the host has applied. ``answered_at`` is
    the ``sent_at`` of its latest renewal that was answered. ``draining`` lists
    moving ranges for which requests are still in flight on this host or may still
    run. ``ended_servers`` lists servers at whose addresses another instance has
    answered. ``has_narrow_link`` tells that messages may wait for the host's own link.
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
    ended_servers: tuple[str, ...] = ()
    has_narrow_link: bool = False


class HostUpdate(NamedTuple):
    """Changed rows for an entry host, and its lease if this answers a renewal.

    ``sent_at`` repeats that of the renewal and is 0 in an unsolicited update.
    ``hosts`` lists the entry hosts with a valid lease; it is None if the receiver
    already has the list of ``hosts_version``.
    """

    term: int
    leader: str
    sent_at: float
    lease_ms: int
    delta: Delta
    hosts_version: int
    hosts: tuple[str, ...] | None


class PackedUpdate(NamedTuple):
    """A ``HostUpdate`` with an encoded and compressed delta; see ``packing``."""

    term: int
    leader: str
    sent_at: float
    lease_ms: int
    delta: bytes
    hosts_version: int
    hosts: tuple[str, ...] | None


class CallRequest(NamedTuple):
    """A call to the leader of a group; the answer has the same ``call_id``."""

    call_id: int
    group: str
    body: bytes


class CallAnswer(NamedTuple):
    """The answer to a call.

    With ``is_redirect`` the sender could not answer as the leader; ``leader`` then
    names the leader that is known to the sender, if any.
    """

    call_id: int
    is_redirect: bool
    leader: str
    body: bytes


class RateDemand(NamedTuple):
    """A request of an entry host for a share of a customer's limits.

    See ``systems.limits.LimitRequest`` for the counts. ``sent_at`` is the entry host's
    clock in seconds. ``standby`` is set if the receiver replaces a limiter that does
    not respond.
    """

    customer: str
    tokens: int
    permits: int
    permits_held: int
    sent_at: float
    standby: bool


class RateGrant(NamedTuple):
    """A share of a customer's limits, granted to an entry host.

    See ``systems.limits.LimitGrant`` for ``tokens`` to ``settling``. ``sent_at`` and
    ``standby`` repeat those of the demand; the leases start at ``sent_at``.
    """

    customer: str
    tokens: int
    permits: int
    wait: float
    limited: bool
    settling: bool
    sent_at: float
    standby: bool


class ColdServer(NamedTuple):
    """What a server said in its heartbeat ``sequence``: how long it stays cold."""

    name: str
    sequence: int
    cold_ms: int


class ServersHeard(NamedTuple):
    """Servers whose heartbeats a control node received, with their latest sequences.

    The leader learns from ``sequences`` that they live, and every control node from
    ``cold`` which of them are cold, or no longer. ``lives`` has when each server of
    ``sequences`` started, see ``ServerHeartbeat.born``; a former build sends none.
    """

    sequences: tuple[tuple[str, int], ...]
    cold: tuple[ColdServer, ...] = ()
    lives: tuple[int, ...] = ()


class ServeNear(NamedTuple):
    """Assign an entry host to the control node that sends it rows; empty for none.

    The leader sends it to that control node too, as the answer to a ``HostsNear``;
    ``reported_at`` repeats its ``sent_at``, and is 0 in all others.
    """

    node: str
    reported_at: float = 0.0


class ControlMembers(NamedTuple):
    """Tell an entry host the names of the control group's present voters."""

    voters: tuple[str, ...]


class LeavingServers(NamedTuple):
    """Holders that said in a response to an entry host that they leave.

    A control node that does not lead passes it on to the leader once, as ``forwarded``.
    """

    holders: tuple[str, ...]
    forwarded: bool = False


class ServerNeed(NamedTuple):
    """What a server said to an entry host, ``age`` seconds before the report.

    ``per_second`` is the limit that it named, None without one; ``paused_seconds`` is
    the pause that it asked for, 0 without one.
    """

    holder: str
    per_second: float | None
    paused_seconds: float
    age: float


class ServerNeeds(NamedTuple):
    """An entry host's report of servers that named a limit or asked for a pause.

    A control node that does not lead passes it on to the leader once, as ``forwarded``.
    """

    needs: tuple[ServerNeed, ...]
    forwarded: bool = False


class ServerRateDemand(NamedTuple):
    """A request of an entry host for tokens of a server that named a limit.

    ``per_second`` is the limit, and ``age`` the time in seconds since the server named
    it to the host. A demand that is sent again has the same ``number``.
    """

    holder: str
    per_second: float
    age: float
    tokens: int
    number: int


class ServerRateGrant(NamedTuple):
    """The answer to the demand with this number.

    ``wait`` is the time in seconds until another token is available.
    """

    holder: str
    tokens: int
    wait: float
    number: int


class ServerLoad(NamedTuple):
    """The requests at a server, running and queued, ``age_ms`` before the message.

    ``work_percent`` is how long work took there then: 100 is as usual, 0 not known.
    """

    name: str
    backlog: int
    age_ms: int
    work_percent: int = 0


class ServerLoads(NamedTuple):
    """What an entry host has heard of servers since its last message.

    The control node that sends the host its rows passes it on to its other hosts. A
    host sends it only to a node that has sent it one, which may be empty. ``cold`` are
    servers that became cold or warm, or say so again.
    """

    loads: tuple[ServerLoad, ...] = ()
    cold: tuple[ColdServer, ...] = ()


class NearRenew(NamedTuple):
    """A renewal for the control node that sends the entry host its rows.

    ``takes_loads`` is set by a host that understands ``ServerLoads``.
    """

    renew: HostRenew
    takes_loads: bool = False


class HostsNear(NamedTuple):
    """A control node's report to the leader about the hosts to which it sends rows.

    ``new_hosts`` are not committed yet. ``live_hosts`` have the holder and revision of
    each host that renewed since the last report, ``stopped_hosts`` the holders of
    hosts that stopped. ``loads`` counts requests by service and key hash. ``sent_at``
    is the control node's clock in seconds, which the answer repeats.
    """

    zone: str
    new_hosts: tuple[HostRecord, ...] = ()
    live_hosts: tuple[tuple[str, int], ...] = ()
    stopped_hosts: tuple[str, ...] = ()
    loads: dict[str, dict[int, int]] = {}  # noqa: RUF012 (never changed)
    speeds: tuple[ServerSpeed, ...] = ()
    ended_servers: tuple[str, ...] = ()
    sent_at: float = 0.0


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
    | ControlMembers
    | LeavingServers
    | ServerNeeds
    | ServerRateDemand
    | ServerRateGrant
    | ServerLoads
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
        ControlMembers,
        LeavingServers,
        ServerNeeds,
        ServerRateDemand,
        ServerRateGrant,
        ServerLoads,
    ],
    UnknownFields.IGNORE,
)
