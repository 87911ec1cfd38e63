"""Rows of the leader for servers that are granted ranges by a call each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final, NamedTuple

from ..hashing import KEY_SPACE
from ..models import ServerRow

__all__ = [
    "NEVER",
    "DirectedTiming",
    "GrantOrder",
    "HeldRange",
    "MoveStage",
    "Order",
    "OrderOutcome",
    "OrderResult",
    "ProbeOrder",
    "RangeMove",
    "ReleaseOrder",
    "ServerBeat",
    "ServerLife",
]

NEVER: Final = float("-inf")


class DirectedTiming(NamedTuple):
    """Holds and waits in seconds; ``key_step`` is the width of one key.

    ``hold`` is what a server is told, and ``drift`` how much slower its clock
    may run. A server is silent after ``silence`` without an announcement.
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

    @property
    def hold_with_drift(self) -> float:
        """Return how long a hold may last from its arrival."""
        return self.hold * (1 + self.drift)


class ServerBeat(NamedTuple):
    """What a backend server says of itself; ``sequence`` grows in one life.

    ``leaving`` tells that it takes no new work, ``ended`` that it says goodbye.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    sequence: int
    leaving: bool = False
    ended: bool = False


class GrantOrder(NamedTuple):
    """Let a server own a range for ``hold_ms`` from the arrival of the order."""

    server: ServerRow
    service: str
    low: int
    high: int
    epoch: int
    hold_ms: int
    handover: str


class ReleaseOrder(NamedTuple):
    """Have a server give a range up; it answers when its work there has ended."""

    server: ServerRow
    service: str
    low: int
    high: int
    epoch: int


class ProbeOrder(NamedTuple):
    """Find out which life of a server is at an address; it changes nothing."""

    server: ServerRow
    path: str


Order = GrantOrder | ReleaseOrder | ProbeOrder


class OrderOutcome(StrEnum):
    """What is known of an order."""

    DONE = "done"
    NEWER_EPOCH = "newer-epoch"
    OTHER_INSTANCE = "other-life"
    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"


class OrderResult(NamedTuple):
    """The end of an order; ``handover`` comes with a release that was done."""

    order: Order
    outcome: OrderOutcome
    handover: str = ""
    detail: str = ""


@dataclass(slots=True)
class ServerLife:
    """When a server was last heard, by the leader's clock."""

    heard_at: float
    sequence: int = 0
    failures: int = 0
    failed_at: float = NEVER
    probed_at: float = NEVER


@dataclass(slots=True)
class HeldRange:
    """A range that its owner may hold; times by the leader's clock.

    ``confirmed_until`` follows from an answered grant, and ``possible_until``
    from one without an answer, which may still be carried out later: neither a
    later answer nor a release takes that back.
    """

    service: str
    low: int
    high: int
    owner: ServerRow
    epoch: int
    confirmed_until: float = NEVER
    possible_until: float = NEVER
    renew_at: float = NEVER
    handover: str = ""

    @property
    def until(self) -> float:
        """Return until when the owner may act on the range."""
        return max(self.confirmed_until, self.possible_until)


class MoveStage(StrEnum):
    """How far a move is."""

    PENDING = "pending"
    RELEASING = "releasing"
    WAITING = "waiting"
    FREE = "free"
    COMMITTING = "committing"


@dataclass(slots=True)
class RangeMove:
    """A part of a range on its way to another owner; ``source`` may be empty."""

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
    started_at: float = 0.0
