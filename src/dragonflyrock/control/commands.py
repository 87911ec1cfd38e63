"""Commands of the control log and their results."""

from __future__ import annotations

from typing import Final, NamedTuple

from ..codec import Codec, outer_name
from ..errors import Refusal
from ..models import Contract, HostRecord, RangeRef, ServerRow
from ..routes.models import RouteChange, RouteDocument

__all__ = [
    "COMMANDS",
    "RESULTS",
    "AssignRanges",
    "BeginMoves",
    "CancelMoves",
    "CancelStop",
    "ChangeRoutes",
    "ClearSuspect",
    "Command",
    "DeclareService",
    "Done",
    "DropServer",
    "EvacuateZone",
    "FinishMoves",
    "ForgetHost",
    "ForgetServer",
    "JoinRanges",
    "LiftQuarantine",
    "MergeRanges",
    "Move",
    "MoveRef",
    "PlanStop",
    "PutContract",
    "PutRoutes",
    "RangePart",
    "RegisterHost",
    "RegisterServer",
    "ReportCrash",
    "Result",
    "SplitRange",
    "StopServer",
]


class DeclareService(NamedTuple):
    """Divide the key space of a service into equal ranges without an owner."""

    service: str
    range_count: int


class RegisterServer(NamedTuple):
    """Add a backend server, or a later incarnation or address of it."""

    server: ServerRow


class ForgetServer(NamedTuple):
    """Drop a server that no longer runs and owns no ranges.

    Nothing proposes it any more; logs of released versions may contain it.
    """

    holder: str


class RegisterHost(NamedTuple):
    """Add an incarnation of an entry host before it gets its first lease."""

    host: HostRecord


class ForgetHost(NamedTuple):
    """Drop an incarnation of an entry host that can have no requests in flight."""

    holder: str


class Move(NamedTuple):
    """A move of a range to another holder, valid while the range is at ``epoch``.

    ``lost`` is whether the owner's grant has expired.
    """

    service: str
    low: int
    epoch: int
    target: str
    lost: bool


class MoveRef(NamedTuple):
    """A reference to a move in progress, by the revision at which it began."""

    service: str
    low: int
    revision: int

    @property
    def ref(self) -> RangeRef:
        """Return the identity of the range."""
        return RangeRef(self.service, self.low)


class BeginMoves(NamedTuple):
    """Begin moves: entry hosts stop dispatching requests of the ranges."""

    moves: tuple[Move, ...]


class FinishMoves(NamedTuple):
    """Make the targets of moves the owners, under a new epoch."""

    moves: tuple[MoveRef, ...]


class CancelMoves(NamedTuple):
    """Cancel moves: the owners keep their ranges, under the old epoch."""

    moves: tuple[MoveRef, ...]


class SplitRange(NamedTuple):
    """Split an active range so that a new one begins at ``middle``.

    Nothing proposes it any more; logs of released versions may contain it.
    """

    service: str
    low: int
    middle: int


class MergeRanges(NamedTuple):
    """Merge an active range with the next range of the same owner.

    Nothing proposes it any more; logs of released versions may contain it.
    """

    service: str
    low: int


class PutContract(NamedTuple):
    """Create or change a contract if its version is the expected one (0 for none)."""

    change_id: str
    operator: str
    expected_version: int
    contract: Contract


class PlanStop(NamedTuple):
    """Mark a server as stopping, so that all its ranges move away."""

    change_id: str
    operator: str
    server: str


class CancelStop(NamedTuple):
    """Cancel a planned stop, so that the server may own ranges again."""

    change_id: str
    operator: str
    server: str


@outer_name("StrikeRequest")
class ReportCrash(NamedTuple):
    """Record that a server was lost while a request was in flight to it."""

    fingerprint: str
    customer: str
    method: str
    target: str
    holder: str
    now_ms: int


@outer_name("AbsolveRequest")
class ClearSuspect(NamedTuple):
    """Drop a suspect request that has since run without the loss of a server."""

    fingerprint: str


class LiftQuarantine(NamedTuple):
    """Allow a quarantined request to run again."""

    change_id: str
    operator: str
    fingerprint: str


class PutRoutes(NamedTuple):
    """Replace the route document if its version is still ``base``.

    ``digest`` identifies the change, so that a repeated one is recognized.
    """

    base: int
    digest: str
    document: RouteDocument


class ChangeRoutes(NamedTuple):
    """Change parts of the route document if its version is still ``base``."""

    base: int
    digest: str
    change: RouteChange


class StopServer(NamedTuple):
    """Mark a backend server as stopping: it gets no new requests or ranges."""

    name: str


class DropServer(NamedTuple):
    """Drop a backend server that has ended; it owns its ranges until reassigned."""

    name: str


class RangePart(NamedTuple):
    """A part of a range and its new owner, valid while the range is at ``epoch``."""

    low: int
    high: int
    epoch: int
    owner: str


class AssignRanges(NamedTuple):
    """Assign parts of a service's key space to new owners, under a new epoch.

    The leader proposes this only when the previous owners no longer hold the parts.
    """

    service: str
    parts: tuple[RangePart, ...]


class JoinRanges(NamedTuple):
    """Join the adjacent ranges of one owner from ``low`` to ``high``."""

    service: str
    low: int
    high: int


class EvacuateZone(NamedTuple):
    """Evacuate an availability zone, or take it back.

    ``seen_revision`` is the revision of the control node that received the order. The
    order is refused if the opposite one was applied after it.
    """

    zone: str
    evacuated: bool
    seen_revision: int


class Done(NamedTuple):
    """The result of a command; ``version`` is that of a contract or document, or 0."""

    revision: int
    version: int = 0


Command = (
    DeclareService
    | RegisterServer
    | ForgetServer
    | RegisterHost
    | ForgetHost
    | BeginMoves
    | FinishMoves
    | CancelMoves
    | SplitRange
    | MergeRanges
    | PutContract
    | PlanStop
    | CancelStop
    | ReportCrash
    | ClearSuspect
    | LiftQuarantine
    | PutRoutes
    | ChangeRoutes
    | StopServer
    | DropServer
    | AssignRanges
    | JoinRanges
    | EvacuateZone
)

Result = Done | Refusal

COMMANDS: Final = Codec(
    [
        DeclareService,
        RegisterServer,
        ForgetServer,
        RegisterHost,
        ForgetHost,
        BeginMoves,
        FinishMoves,
        CancelMoves,
        SplitRange,
        MergeRanges,
        PutContract,
        PlanStop,
        CancelStop,
        ReportCrash,
        ClearSuspect,
        LiftQuarantine,
        PutRoutes,
        ChangeRoutes,
        StopServer,
        DropServer,
        AssignRanges,
        JoinRanges,
        EvacuateZone,
    ]
)

RESULTS: Final = Codec([Done, Refusal])
