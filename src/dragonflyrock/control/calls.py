"""Calls to a group's leader and their answers."""

from __future__ import annotations

from typing import Final, NamedTuple

from ..codec import Codec, UnknownFields
from ..errors import Refusal
from ..models import ContractRow, QuarantineRow, RangeRow
from ..routes.models import RouteDocument
from .directed_models import ServerBeat

__all__ = [
    "CALLS",
    "AddMember",
    "Announcement",
    "BeatAccepted",
    "ContractList",
    "GrantSet",
    "GrantedRange",
    "HandOverLeadership",
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
]


class Propose(NamedTuple):
    """Commit a command of the called group; answered by its encoded result."""

    command: bytes


class Announcement(NamedTuple):
    """What a backend server says of itself, a few times a second.

    ``sequence`` grows with each announcement of an incarnation, and
    ``grant_revision`` is that of the grants it holds. ``load`` is the share of
    its slots in use.
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
    """All that a holder owns, until ``lease_ms`` after the sending of ``sequence``.

    A set with a lower revision than the held one is to be ignored.
    """

    holder: str
    revision: int
    sequence: int
    lease_ms: int
    announce_ms: int
    ranges: tuple[GrantedRange, ...]


class BeatAccepted(NamedTuple):
    """A beat was taken, and what it binds is committed."""


class ReadRoutes(NamedTuple):
    """Ask for the newest route document, unless it is the one of version ``known``."""

    known: int = 0


class RoutesUnchanged(NamedTuple):
    """The newest route document is the one that the caller knows."""


class ReadStatus(NamedTuple):
    """Ask for the state of the whole system."""


class ListContracts(NamedTuple):
    """Ask for all contracts, or for one customer's."""

    customer: str = ""


class ListRanges(NamedTuple):
    """Ask for the ranges of a service."""

    service: str


class ListQuarantines(NamedTuple):
    """Ask for the quarantined requests."""


class ReadRevisions(NamedTuple):
    """Ask which revisions the live entry hosts have applied."""


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
    """Let another voter lead the group."""


class MemberChanged(NamedTuple):
    """A change of members that has begun, at a log index."""

    log_index: int


class HostStatus(NamedTuple):
    """An entry host as the leader sees it."""

    name: str
    zone: str
    link: str
    operators: str
    revision: int
    lease_left_ms: int


class ServerStatus(NamedTuple):
    """A backend server as the leader sees it."""

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
    """The state of the whole system as the leader sees it."""

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


class ContractList(NamedTuple):
    """Contracts, and the revision that each live host has applied."""

    contracts: tuple[ContractRow, ...]
    host_revisions: tuple[int, ...]


class RangeList(NamedTuple):
    """Ranges in the order of their hashes."""

    ranges: tuple[RangeRow, ...]


class QuarantineList(NamedTuple):
    """Quarantined requests."""

    quarantines: tuple[QuarantineRow, ...]


CALLS: Final = Codec(
    [
        Propose,
        Announcement,
        GrantSet,
        ReadStatus,
        ReadRevisions,
        RevisionList,
        ListContracts,
        ListRanges,
        ListQuarantines,
        AddMember,
        RemoveMember,
        HandOverLeadership,
        MemberChanged,
        Status,
        ServerBeat,
        BeatAccepted,
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
