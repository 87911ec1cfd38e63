"""Tables that only the leader has; they are not replicated to a new leader."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final, NamedTuple

from ..const import NEVER
from ..models import HostRecord, RangeRef, ServerRow
from .calls import GrantedRange
from .suspect_runs import SuspectRun

__all__ = [
    "NEVER",
    "GrantRow",
    "HostRow",
    "LeaderTables",
    "LeaderTiming",
    "LoadRow",
]

VERSIONS_PER_TERM: Final = 1 << 32


class LeaderTiming(NamedTuple):
    """Leases and timeouts in seconds; ``drift`` is a share of a lease."""

    entry_lease: float = 1.5
    grant: float = 1.5
    announce: float = 0.4
    drift: float = 0.02
    drain_limit: float = 0.25
    longest_deadline: float = 30.0
    cancelled_pause: float = 2.0
    answer_timeout: float = 0.8

    def with_drift(self, lease: float) -> float:
        """Return how long the grantor of a lease must wait until it has expired."""
        return lease * (1 + self.drift)


class HostRow(NamedTuple):
    """An incarnation of an entry host.

    ``lease_until`` is by the leader's clock, with the drift; ``sent_at`` is the
    host's own clock in its latest renewal.
    """

    record: HostRecord
    lease_until: float
    sent_at: float
    revision: int
    draining: frozenset[RangeRef]
    hosts_version: int


class GrantRow(NamedTuple):
    """The set of grants of a holder; it is acknowledged by its revision."""

    server: ServerRow
    lease_until: float
    sequence: int
    ready: bool
    revision: int
    acked_revision: int
    ranges: tuple[GrantedRange, ...]


class LoadRow(NamedTuple):
    """The load of a range: busy milliseconds a second, smoothed."""

    busy_ms: float
    moved_at: float


@dataclass(slots=True)
class LeaderTables:
    """The state of a leader besides the replicated state.

    ``revoking`` has the revision of each moving range that its owner's grants leave
    out, and ``move_started`` the revision and time at which a move began.
    ``paused_until`` is until when a range may not move after a cancelled move, and
    ``suspect_runs`` the suspect request that each holder may be running.
    """

    hosts: dict[str, HostRow] = field(default_factory=dict)
    grants: dict[str, GrantRow] = field(default_factory=dict)
    loads: dict[RangeRef, LoadRow] = field(default_factory=dict)
    load_window: dict[RangeRef, float] = field(default_factory=dict)
    window_started_at: float = NEVER
    revoking: dict[RangeRef, int] = field(default_factory=dict)
    move_started: dict[RangeRef, tuple[int, float]] = field(default_factory=dict)
    paused_until: dict[RangeRef, float] = field(default_factory=dict)
    suspect_runs: dict[str, SuspectRun] = field(default_factory=dict)
