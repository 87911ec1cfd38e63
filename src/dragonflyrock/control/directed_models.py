"""Records of servers that are granted their ranges by orders, one range a call."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from ..codec import outer_name
from ..const import NEVER
from ..hashing import KEY_SPACE
from ..models import GrantedBy, ServerRow
from .commands import AssignRanges

__all__ = [
    "NEVER",
    "DirectedTiming",
    "FreedPart",
    "GrantOrder",
    "HeldPart",
    "HeldRange",
    "HeldRow",
    "MoveStage",
    "Order",
    "OrderOutcome",
    "OrderResult",
    "ProbeOrder",
    "RangeMove",
    "ReleaseOrder",
    "ServerHeartbeat",
    "ServerLiveness",
]


class DirectedTiming(NamedTuple):
    """Holds and timeouts in seconds; ``key_step`` is the width of one key.

    A server is granted a range for ``hold`` by its own clock, which may run slower
    than the leader's by the share ``drift``. It counts as silent when it has not
    announced itself for ``silence_timeout``, and is dropped after
    ``removal_timeout``. Servers are waited for during ``settle_time`` before keys
    are divided or balanced.
    """

    hold: float = 6.0
    renew_interval: float = 2.0
    drift: float = 0.02
    order_timeout: float = 1.0
    release_timeout: float = 2.5
    retry_interval: float = 0.25
    settle_time: float = 1.2
    silence_timeout: float = 4.0
    removal_timeout: float = 20.0
    balance_interval: float = 1.0
    key_step: int = KEY_SPACE >> 16
    granted_by: GrantedBy = GrantedBy.CALL

    @property
    def hold_with_drift(self) -> float:
        """Return the longest time by the leader's clock that a hold may last."""
        return self.hold * (1 + self.drift)


class HeldPart(NamedTuple):
    """A part that a server says it holds, or still works on, both ends included."""

    low: int
    high: int
    epoch: int


class FreedPart(NamedTuple):
    """A part that a server has released since its last acknowledged heartbeat."""

    low: int
    high: int
    handover: str


class HeldRow(NamedTuple):
    """A part that a server is to hold, with the token of its last holder's release."""

    low: int
    high: int
    epoch: int
    handover: str


@outer_name("ServerBeat")
class ServerHeartbeat(NamedTuple):
    """An announcement of a backend server.

    ``sequence`` grows while one instance of the server runs. ``leaving`` means that
    the server accepts no new work, ``ended`` that it announces its end. Servers that
    are granted their ranges by heartbeat say what they hold and have freed. ``cold_ms``
    is how long the server stays cold. ``born`` is the Unix time in milliseconds at
    which the server started; it tells this life from others under its name, and is 0
    if the server does not say it.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    sequence: int
    leaving: bool = False
    ended: bool = False
    held: tuple[HeldPart, ...] = ()
    freed: tuple[FreedPart, ...] = ()
    cold_ms: float = 0.0
    born: int = 0


class GrantOrder(NamedTuple):
    """Grant a server a range for ``hold_ms`` from the arrival of the order.

    If ``connection`` is set, the order is sent on that connection only: another life of
    the server must not get an epoch that this one may have.
    """

    server: ServerRow
    service: str
    low: int
    high: int
    epoch: int
    hold_ms: int
    handover: str
    connection: int = 0


class ReleaseOrder(NamedTuple):
    """Make a server release a range; it answers once its requests there are done."""

    server: ServerRow
    service: str
    low: int
    high: int
    epoch: int


class ProbeOrder(NamedTuple):
    """Ask which instance of a server runs at an address, without any change."""

    server: ServerRow
    path: str


Order = GrantOrder | ReleaseOrder | ProbeOrder


class OrderOutcome(StrEnum):
    """How an order ended; ``UNKNOWN`` may still be carried out.

    ``NO_CONNECTION`` means that the connection that an order needs is closed.
    """

    DONE = "done"
    NEWER_EPOCH = "newer-epoch"
    OTHER_INSTANCE = "other-life"
    NOT_SENT = "not-sent"
    NO_CONNECTION = "no-connection"
    UNKNOWN = "unknown"


class OrderResult(NamedTuple):
    """The result of an order; ``handover`` is the token of a completed release.

    ``connection`` is the number of the connection that carried a grant.
    """

    order: Order
    outcome: OrderOutcome
    handover: str = ""
    detail: str = ""
    connection: int = 0


@dataclass(slots=True)
class ServerLiveness:
    """Announcements, failed orders and probes of a server, by the leader's clock."""

    announced_at: float
    sequence: int = 0
    sequence_at: float = NEVER
    failures: int = 0
    failed_at: float = NEVER
    probed_at: float = NEVER


@dataclass(slots=True)
class HeldRange:
    """A range that its owner may hold; times by the leader's clock.

    ``confirmed_until`` follows from an answered grant, and ``possible_until``
    from a grant without an answer, of ``possible_epoch`` at most. Such a grant may
    still be carried out later, so neither a release nor an answer to a grant of the
    same epoch shortens ``possible_until``. ``told_epoch`` is the one in
    the latest answer to a heartbeat of the owner. ``granted_epoch`` is the highest one
    that the owner may have by an order, and ``granted_on`` the connection of that
    order; 0 if it is not known. With ``needs_epoch`` the owner is granted the range
    again only under a newer epoch.
    """

    service: str
    low: int
    high: int
    owner: ServerRow
    epoch: int
    confirmed_until: float = NEVER
    possible_until: float = NEVER
    possible_epoch: int = 0
    renew_at: float = NEVER
    handover: str = ""
    told_epoch: int = 0
    granted_epoch: int = 0
    granted_on: int = 0
    needs_epoch: bool = False

    @property
    def held_until(self) -> float:
        """Return until when the owner may run requests of the range."""
        return max(self.confirmed_until, self.possible_until)


class MoveStage(StrEnum):
    """The stages of a move.

    ``PENDING`` waits for grants to end, ``RELEASING`` for the source to release the
    part, and ``WAITING`` for its hold to expire. A ``FREE`` part has no holder; a
    ``COMMITTING`` one has its new owner proposed. A ``FENCING`` part has a newer epoch
    proposed for its source; a ``FENCED`` one has it, and the source is not granted it
    yet.
    """

    PENDING = "pending"
    FENCING = "fencing"
    FENCED = "fenced"
    RELEASING = "releasing"
    WAITING = "waiting"
    FREE = "free"
    COMMITTING = "committing"


@dataclass(slots=True)
class RangeMove:
    """The move of a part of a range to another owner; ``source`` may be empty.

    A heartbeat after ``left_out_after`` shows whether its source still holds the part.
    """

    service: str
    low: int
    high: int
    epoch: int
    source: str
    target: str
    stage: MoveStage
    cause: str
    free_at: float = NEVER
    possible_until: float = NEVER
    handover: str = ""
    was_fenced: bool = False
    left_out_after: int = -1
    release: ReleaseOrder | None = None
    command: AssignRanges | None = None
