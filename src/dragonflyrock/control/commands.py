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
    """Drop a server that has been gone for long and owns nothing."""

    holder: str


class RegisterHost(NamedTuple):
    """Add a run of an entry host before it gets its first lease."""

    host: HostRecord


class ForgetHost(NamedTuple):
    """Drop a run of an entry host of which nothing can be in flight any more."""

    holder: str


class Move(NamedTuple):
    """Give a range, still at ``epoch``, to another holder.

    ``lost`` tells that the owner's grant has run out.
    """

    service: str
    low: int
    epoch: int
    target: str
    lost: bool


class MoveRef(NamedTuple):
    """A move under way, named by the revision at which it began."""

    service: str
    low: int
    revision: int

    @property
    def ref(self) -> RangeRef:
        """Return the name of the range."""
        return RangeRef(self.service, self.low)


class BeginMoves(NamedTuple):
    """Stop dispatching ranges, in order to change their owners."""

    moves: tuple[Move, ...]


class FinishMoves(NamedTuple):
    """Give ranges to the targets of their moves, under a new epoch."""

    moves: tuple[MoveRef, ...]


class CancelMoves(NamedTuple):
    """Leave ranges with their owners, under the old epoch."""

    moves: tuple[MoveRef, ...]


class SplitRange(NamedTuple):
    """Split an active range so that a new one begins at ``middle``."""

    service: str
    low: int
    middle: int


class MergeRanges(NamedTuple):
    """Join an active range with its next neighbour of the same owner."""

    service: str
    low: int


class PutContract(NamedTuple):
    """Create or change a contract if its version is the expected one (0: none)."""

    change_id: str
    operator: str
    expected_version: int
    contract: Contract


class PlanStop(NamedTuple):
    """Move all ranges away from a server that is going to stop."""

    change_id: str
    operator: str
    server: str


class CancelStop(NamedTuple):
    """Let a server keep and get ranges again."""

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
    """Let a quarantined request run again."""

    change_id: str
    operator: str
    fingerprint: str


class PutRoutes(NamedTuple):
    """Replace the route document if its version is still ``base``.

    ``digest`` names the change, so that the same one sent again is recognised.
    """

    base: int
    digest: str
    document: RouteDocument


class ChangeRoutes(NamedTuple):
    """Change named items of the route document if its version is still ``base``."""

    base: int
    digest: str
    change: RouteChange


class StopServer(NamedTuple):
    """Note that a backend server leaves: no new work, and no new ranges."""

    name: str


class DropServer(NamedTuple):
    """Drop a backend server that has ended; its ranges stay until reassigned."""

    name: str


class RangePart(NamedTuple):
    """A part of a range that is still at ``epoch``, and its new owner."""

    low: int
    high: int
    epoch: int
    owner: str


class AssignRanges(NamedTuple):
    """Give parts of a service's key space to new owners, under a new epoch.

    The leader has made sure that the former owners hold them no more.
    """

    service: str
    parts: tuple[RangePart, ...]


class JoinRanges(NamedTuple):
    """Join a range with its following neighbours of the same owner."""

    service: str
    low: int
    high: int


class Done(NamedTuple):
    """A command that was carried out; ``version`` is a contract's, or 0."""

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
    ]
)

RESULTS: Final = Codec([Done, Refusal])
