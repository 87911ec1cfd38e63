"""Calls to the leader of a group, and their answers."""

from __future__ import annotations

from typing import Final, NamedTuple

from ..codec import Codec, UnknownFields, outer_name
from ..errors import Refusal
from ..models import ContractRow, QuarantineRow, RangeRow
from ..routes.models import RouteDocument
from .directed_models import HeldRow, ServerHeartbeat

__all__ = [
    "CALLS",
    "AddMember",
    "Announcement",
    "BeginSuspectRun",
    "ContractList",
    "GrantSet",
    "GrantedRange",
    "HandOverLeadership",
    "HeartbeatAccepted",
    "HostStatus",
    "ListContracts",
    "ListQuarantines",
    "ListRanges",
    "MemberChanged",
    "MemberStatus",
    "Propose",
    "QuarantineList",
    "RangeList",
    "ReadRevisions",
    "ReadRoutes",
    "ReadStatus",
    "RemoveMember",
    "RevisionList",
    "RoutesUnchanged",
    "ServerStatus",
    "Status",
    "SuspectRunAnswer",
]


class Propose(NamedTuple):
    """Propose a command to the called group; the answer is its encoded result."""

    command: bytes


class Announcement(NamedTuple):
    """An announcement of a backend server, sent a few times a second.

    ``sequence`` grows with each announcement of an incarnation, and
    ``grant_revision`` is the revision of the grants that it holds. ``load`` is the
    share of its slots in use.
    """

    name: str
    service: str
    address: str
    zone: str
    incarnation: int
    sequence: int
    slots: int
    connections: int
    load: float = 0.0
    ready: bool = True
    checks_grants: bool = False
    grant_revision: int = 0


class GrantedRange(NamedTuple):
    """A range of hashes that a backend server owns, both ends included."""

    low: int
    high: int
    epoch: int


class GrantSet(NamedTuple):
    """All ranges that a holder owns, on a lease.

    The lease lasts for ``lease_ms`` from the time at which the server sent the
    announcement ``sequence``. A set with a lower revision than that of the held set
    must be ignored.
    """

    holder: str
    revision: int
    sequence: int
    lease_ms: int
    announce_ms: int
    ranges: tuple[GrantedRange, ...]


@outer_name("BeatAccepted")
class HeartbeatAccepted(NamedTuple):
    """A heartbeat was accepted, and the command that it required is committed.

    ``held`` is all that a server granted by heartbeat is to hold, for ``hold_ms`` from
    when it sent the heartbeat; None renews nothing.
    """

    held: tuple[HeldRow, ...] | None = None
    hold_ms: int = 0


class ReadRoutes(NamedTuple):
    """Read the newest route document, unless its version is ``known_version``."""

    known_version: int = 0


class RoutesUnchanged(NamedTuple):
    """The newest route document has the version that the caller named."""


class ReadStatus(NamedTuple):
    """Read the state of the whole system."""


class ListContracts(NamedTuple):
    """Read all contracts, or the one of a customer."""

    customer: str = ""


class ListRanges(NamedTuple):
    """Read the ranges of a service."""

    service: str


class ListQuarantines(NamedTuple):
    """Read the suspect and quarantined requests."""


class BeginSuspectRun(NamedTuple):
    """Ask whether a suspect request may be sent to a backend server now.

    ``holder`` is the server's name and incarnation. The run counts as ended after
    ``limit_ms`` in any case.
    """

    fingerprint: str
    holder: str
    limit_ms: int


class SuspectRunAnswer(NamedTuple):
    """Whether no other suspect request may be running on the server."""

    allowed: bool


class ReadRevisions(NamedTuple):
    """Read the revisions that the live entry hosts have applied."""


class RevisionList(NamedTuple):
    """The revision of each live entry host."""

    revisions: tuple[int, ...]


class AddMember(NamedTuple):
    """Add a waiting member to the group."""

    name: str


class RemoveMember(NamedTuple):
    """Remove a member from the group."""

    name: str


class HandOverLeadership(NamedTuple):
    """Hand over the leadership of the group to another voter."""


class MemberChanged(NamedTuple):
    """A change of members has begun, at a log index."""

    log_index: int


class HostStatus(NamedTuple):
    """The state of an entry host, as known to the leader."""

    name: str
    zone: str
    link: str
    operators: str
    revision: int
    lease_left_ms: int


class ServerStatus(NamedTuple):
    """The state of a backend server, as known to the leader."""

    name: str
    service: str
    address: str
    zone: str
    incarnation: int
    checks_grants: bool
    state: str
    grant_left_ms: int
    ranges: int
    load_share: float


class MemberStatus(NamedTuple):
    """A member of a group."""

    name: str
    identity: str
    role: str
    match_index: int


class Status(NamedTuple):
    """The state of the whole system, as known to the leader."""

    leader: str
    term: int
    revision: int
    moves_held: bool
    hosts: tuple[HostStatus, ...]
    servers: tuple[ServerStatus, ...]
    members: tuple[MemberStatus, ...]
    ranges: int
    moving: int
    unowned: int
    evacuated_zones: tuple[str, ...] = ()


class ContractList(NamedTuple):
    """Contracts, and the revision that each live entry host has applied."""

    contracts: tuple[ContractRow, ...]
    host_revisions: tuple[int, ...]


class RangeList(NamedTuple):
    """Ranges in the order of their hashes."""

    ranges: tuple[RangeRow, ...]


class QuarantineList(NamedTuple):
    """Suspect and quarantined requests."""

    quarantines: tuple[QuarantineRow, ...]


CALLS: Final = Codec(
    [
        Propose,
        Announcement,
        GrantSet,
        ReadStatus,
        ReadRevisions,
        RevisionList,
        BeginSuspectRun,
        SuspectRunAnswer,
        ListContracts,
        ListRanges,
        ListQuarantines,
        AddMember,
        RemoveMember,
        HandOverLeadership,
        MemberChanged,
        Status,
        ServerHeartbeat,
        HeartbeatAccepted,
        ReadRoutes,
        RoutesUnchanged,
        RouteDocument,
        ContractList,
        RangeList,
        QuarantineList,
        Refusal,
    ],
    UnknownFields.IGNORE_TOP_LEVEL,
)
