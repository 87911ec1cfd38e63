"""The entry host's side of its lease: renewals, acknowledgements, loads."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from ..models import HostRecord, RangeRef
from ..transport.messages import (
    HostRenew,
    HostUpdate,
    NearRenew,
    RangeLoad,
    ServerSpeed,
)
from .tables import EntryTables

__all__ = ["AgentConfig", "EntryAgent", "EntryState"]

Send = Callable[[str, HostRenew | NearRenew], object]

NEVER: Final = float("-inf")
LEADER_SILENCE_RENEWALS: Final = 2
# Share of the time between renewals in which a node of the zone must answer one, and
# in which a host asks again that has lost it: a server that leaves must be known in
# every host within two seconds, also where a link went silent.
NEAR_ANSWER_RENEWALS: Final = 0.5
SEEK_RENEWALS: Final = 0.3
# How long a host does not go back to a node that left it without an answer.
LOST_RENEWALS: Final = 3
HURRIED_SECONDS: Final = 0.05
# A host without rows serves nothing; it asks again this often, in few bytes.
ASK_SECONDS: Final = 0.15


class AgentConfig(NamedTuple):
    """Settings of an entry agent; ``renew_interval`` is in seconds.

    With ``acknowledge_at_once`` the agent acknowledges new rows without waiting for
    the next renewal, because the leader's next step depends on it.
    """

    host: HostRecord
    voters: tuple[str, ...]
    renew_interval: float
    acknowledge_at_once: bool = True


class EntryState(Protocol):
    """What keeps the rows of an entry host and knows of its requests."""

    tables: EntryTables

    def apply(self, update: HostUpdate) -> bool:
        """Apply an update; return whether rows changed."""

    def find_draining_ranges(self) -> tuple[RangeRef, ...]:
        """Return the moving ranges of which requests are in flight."""

    def pop_loads(self) -> tuple[RangeLoad, ...]:
        """Return the loads since the last call."""

    def pop_speeds(self) -> tuple[ServerSpeed, ...]:
        """Return how fast servers were since the last call."""

    def pop_ended_servers(self) -> tuple[str, ...]:
        """Return the servers found to have ended since the last call."""


class EntryAgent:
    """Renew the lease and tell the leader what has drained."""

    def __init__(
        self,
        config: AgentConfig,
        gate: EntryState,
        send: Send,
        clock: Callable[[], float],
    ) -> None:
        """Renew at the first tick."""
        self._config = config
        self._gate = gate
        self._send = send
        self._clock = clock
        self._leader = ""
        self._leaders: dict[str, None] = {}
        self._heard_at = NEVER
        self._renewed_at = NEVER
        self._urgent = True
        self._was_draining = False
        self._without_lease = False
        self._answered_at = 0.0
        self._has_left = False
        self._near = ""
        self._near_heard_at = NEVER
        self._seeking = False
        self._lost = ""
        self._lost_until = NEVER

    def receive(self, update: HostUpdate, now: float, sender: str = "") -> None:
        """Apply an update; acknowledge new rows, or tell of missing ones, at once."""
        self._leader = update.leader
        self._leaders[update.leader] = None
        self._heard_at = now
        if update.sent_at:
            self._seeking = False
        if sender and sender == self._near:
            self._near_heard_at = now
        delta = update.delta
        missing = not delta.full and delta.base > self._gate.tables.revision
        if (self._gate.apply(update) and self._config.acknowledge_at_once) or missing:
            self._urgent = True
        self._without_lease = bool(update.sent_at) and not update.lease_ms
        self._answered_at = max(self._answered_at, update.sent_at)

    def set_near_node(self, node: str, now: float, sender: str) -> None:
        """Get rows from a control node of this zone from now on, or from none.

        Only the node itself can let this host go.
        """
        if node == self._near or (not node and sender != self._near):
            return
        if node and node == self._lost and now < self._lost_until:
            # The leader finds out later that it is gone.
            return
        self._near = node
        self._near_heard_at = now
        self._urgent = True
        if not node:
            self._heard_at = NEVER

    def request_renewal(self) -> None:
        """Renew at the next tick, since something has drained."""
        self._urgent = True

    def tick(self, now: float) -> None:
        """Renew when it is due, unless this host has left."""
        if self._has_left:
            return
        pause = self._config.renew_interval
        if not self._gate.tables.revision:
            pause = min(pause, ASK_SECONDS)
        if self._was_draining or self._without_lease:
            pause = min(pause, HURRIED_SECONDS)
        if self._seeking:
            pause = min(pause, SEEK_RENEWALS * self._config.renew_interval)
        if self._near and self._renewed_at > self._near_heard_at:
            pause = min(pause, NEAR_ANSWER_RENEWALS * self._config.renew_interval)
        if self._urgent or now - self._renewed_at >= pause:
            self.renew(now, leaving=False)

    def leave(self, now: float, *, idle: bool) -> None:
        """Give the lease back, or where requests may still run, let it lapse.

        Either way no renewal follows: it would make the leader expect this host.
        """
        self._has_left = True
        if idle:
            self.renew(now, leaving=True)

    def _is_unanswered(self, now: float) -> bool:
        """Return whether the node of this zone has left a renewal without answer."""
        if self._renewed_at <= self._near_heard_at:
            return False
        waited = now - self._renewed_at
        return waited >= NEAR_ANSWER_RENEWALS * self._config.renew_interval

    def renew(self, now: float, *, leaving: bool) -> None:
        """Send a renewal to the control node of this zone, or to the leader.

        When neither has been heard it goes to all voters.
        """
        self._urgent = False
        unanswered = self._is_unanswered(now)
        self._renewed_at = now
        draining = self._gate.find_draining_ranges()
        self._was_draining = bool(draining)
        config = self._config
        message = HostRenew(
            config.host,
            now,
            self._gate.tables.revision,
            draining,
            self._gate.pop_loads(),
            self._gate.tables.hosts_version,
            self._answered_at,
            leaving,
            self._gate.pop_speeds(),
            self._gate.pop_ended_servers(),
        )
        if self._near:
            if not unanswered:
                self._send(self._near, NearRenew(message))
                return
            self._lost = self._near
            self._lost_until = now + LOST_RENEWALS * config.renew_interval
            self._near = ""
            self._heard_at = NEVER
            self._seeking = True
        silence = LEADER_SILENCE_RENEWALS * config.renew_interval
        if self._leader and now - self._heard_at < silence:
            self._send(self._leader, message)
            return
        for voter in dict.fromkeys((*config.voters, *self._leaders)):
            self._send(voter, message)
