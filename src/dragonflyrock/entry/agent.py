"""Renewal of an entry host's lease, which also reports its loads and drained ranges."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from ..const import NEVER
from ..models import HostRecord, RangeRef
from ..transport.messages import (
    HostRenew,
    HostUpdate,
    LeavingServers,
    NearRenew,
    RangeLoad,
    ServerNeed,
    ServerNeeds,
    ServerSpeed,
)
from .tables import EntryTables

__all__ = ["AgentConfig", "EntryAgent", "EntryState"]

Send = Callable[[str, HostRenew | NearRenew | LeavingServers | ServerNeeds], object]

LEADER_SILENCE_INTERVALS: Final = 2
# Fractions of the renewal interval: the time that the near member has to answer a
# renewal, and the interval between renewals after it did not. Every host must learn
# within two seconds that a server leaves, even if a link has failed silently.
NEAR_ANSWER_INTERVALS: Final = 0.5
FAILOVER_INTERVALS: Final = 0.3
# What the answer may take longer while this host's link is busy. An answer of another
# node would be as late.
BUSY_LINK_SECONDS: Final = 0.9
# A near member that did not answer is not used again for this many renewal intervals.
FAILED_MEMBER_INTERVALS: Final = 3
# While ranges drain or the leader refuses a lease, the host renews at this interval.
FAST_RENEW_SECONDS: Final = 0.05
# A host without rows cannot serve requests, so it renews more often until it has some.
# The messages are small at that time.
EMPTY_RENEW_SECONDS: Final = 0.15


class AgentConfig(NamedTuple):
    """Settings of an entry agent; ``renew_interval`` is in seconds.

    With ``acknowledge_at_once`` the agent acknowledges new rows without waiting for
    the next renewal, because the leader's next step depends on it. With ``takes_loads``
    the host shares the backlogs of servers with others. With ``has_narrow_link``
    messages may wait for the host's own link.
    """

    host: HostRecord
    voters: tuple[str, ...]
    renew_interval: float
    acknowledge_at_once: bool = True
    takes_loads: bool = False
    has_narrow_link: bool = False


class EntryState(Protocol):
    """The state of an entry host: its rows, requests in flight and loads."""

    tables: EntryTables

    def apply(self, update: HostUpdate) -> bool:
        """Apply an update; return whether rows changed."""

    def find_draining_ranges(self) -> tuple[RangeRef, ...]:
        """Return the moving ranges whose owners may still run this host's requests."""

    def pop_loads(self) -> tuple[RangeLoad, ...]:
        """Return the loads since the last call and reset them."""

    def pop_speeds(self) -> tuple[ServerSpeed, ...]:
        """Return the speeds of servers since the last call and reset them."""

    def pop_ended_servers(self) -> tuple[str, ...]:
        """Return the servers that were found to have ended since the last call."""

    def pop_server_needs(self) -> tuple[ServerNeed, ...]:
        """Return the limits and pauses of servers that are due to be reported."""

    def list_leaving_servers(self) -> tuple[str, ...]:
        """Return holders that said that they leave, which the rows do not show yet."""


class EntryAgent:
    """Renew the lease of an entry host and report its state to the leader.

    Renewals go to the near member, which is a member of the control group in this
    host's availability zone, or else to the control leader. The answers bring new rows.
    ``on_near_member`` is called with the next near member, the one before, and why it
    changes: it was named by a leader, has released this host, or is silent.
    ``is_link_busy`` tells whether messages wait for this host's link.
    """

    def __init__(
        self,
        config: AgentConfig,
        state: EntryState,
        send: Send,
        clock: Callable[[], float],
    ) -> None:
        """Set up an agent that renews at the first tick.

        ``clock`` returns the time in seconds.
        """
        self._config = config
        self._state = state
        self._send = send
        self._clock = clock
        self._started_at = clock()
        self._leader = ""
        self._term = 0
        self._leaders: dict[str, None] = {}
        self._voters: tuple[str, ...] = ()
        self._updated_at = NEVER
        self._renewed_at = NEVER
        self._renewal_requested = True
        self._was_draining = False
        self._lease_refused = False
        self._answered_at = 0.0
        self._is_leaving = False
        self._near_member = ""
        self._near_asked_at: float | None = None
        self._near_member_failed = False
        self._failed_member = ""
        self._failed_member_until = NEVER
        self.on_near_member: Callable[[str, str, str], None] = _ignore_near_member
        self.is_link_busy: Callable[[], bool] = lambda: False

    def receive(self, update: HostUpdate, now: float, sender: str = "") -> None:
        """Apply an update.

        The next tick renews, if new rows have to be acknowledged at once or rows
        between the update and the present revision are missing. Of an answer to a
        renewal of a former process only the rows count.
        """
        if update.sent_at and not self._started_at <= update.sent_at <= now:
            update = update._replace(sent_at=0.0, lease_ms=0)
        if update.term >= self._term:
            self._term = update.term
            self._leader = update.leader
            self._leaders[update.leader] = None
        self._updated_at = now
        if update.sent_at:
            self._near_member_failed = False
        if sender and sender == self._near_member:
            self._near_asked_at = None
        delta = update.delta
        has_gap = not delta.full and delta.base > self._state.tables.revision
        if (self._state.apply(update) and self._config.acknowledge_at_once) or has_gap:
            self._renewal_requested = True
        self._lease_refused = bool(update.sent_at) and not update.lease_ms
        self._answered_at = max(self._answered_at, update.sent_at)

    def set_near_member(self, node: str, now: float, sender: str) -> None:
        """Set the near member; an empty ``node`` unsets it.

        Only the near member itself can unset it.
        """
        if node == self._near_member or (not node and sender != self._near_member):
            return
        if node and node == self._failed_member and now < self._failed_member_until:
            # The leader has not detected yet that this node does not answer.
            return
        reason = "named" if node else "released"
        self.on_near_member(node, self._near_member, reason)
        self._near_member = node
        self._near_asked_at = None
        self._renewal_requested = True
        if not node:
            self._updated_at = NEVER

    @property
    def near_member(self) -> str:
        """Return the control node of this zone that sends rows; empty for none."""
        return self._near_member

    def set_voters(self, names: tuple[str, ...]) -> bool:
        """Set the present voters, to ask when no leader answers.

        Return whether they are others than before.
        """
        changed = names != self._voters
        self._voters = names
        self._leaders.clear()
        return changed

    def request_renewal(self) -> None:
        """Renew at the next tick, because a range may have drained."""
        self._renewal_requested = True

    def tick(self, now: float) -> None:
        """Renew when it is due, unless this host is leaving."""
        if self._is_leaving:
            return
        interval = self._config.renew_interval
        if not self._state.tables.revision:
            interval = min(interval, EMPTY_RENEW_SECONDS)
        if self._was_draining or self._lease_refused:
            interval = min(interval, FAST_RENEW_SECONDS)
        if self._near_member_failed:
            interval = min(interval, FAILOVER_INTERVALS * self._config.renew_interval)
        if self._near_asked_at is not None:
            interval = min(
                interval, NEAR_ANSWER_INTERVALS * self._config.renew_interval
            )
        if self._renewal_requested or now - self._renewed_at >= interval:
            self.renew(now, leaving=False)

    def leave(self, now: float, *, idle: bool) -> None:
        """Return the lease if ``idle``, else let it lapse.

        A lease lapses if a server may still run requests of this host. No renewal
        follows in either case, as the leader would then expect this host to go on.
        """
        self._is_leaving = True
        if idle:
            self.renew(now, leaving=True)

    def _is_near_member_silent(self, now: float) -> bool:
        """Return whether the near member has not answered a renewal in time.

        It is the first one without an answer that counts: further ones may follow it
        faster than the near member has to answer.
        """
        if self._near_asked_at is None:
            return False
        allowed = NEAR_ANSWER_INTERVALS * self._config.renew_interval
        if self.is_link_busy():
            allowed += BUSY_LINK_SECONDS
        return now - self._near_asked_at >= allowed

    def renew(self, now: float, *, leaving: bool) -> None:
        """Send a renewal to the near member or to the leader.

        If neither has sent an update recently, it goes to all voters.
        """
        self._renewal_requested = False
        near_member_silent = self._is_near_member_silent(now)
        self._renewed_at = now
        draining = self._state.find_draining_ranges()
        self._was_draining = bool(draining)
        config = self._config
        message = HostRenew(
            config.host,
            now,
            self._state.tables.revision,
            draining,
            self._state.pop_loads(),
            self._state.tables.hosts_version,
            self._answered_at,
            leaving,
            self._state.pop_speeds(),
            self._state.pop_ended_servers(),
            config.has_narrow_link,
        )
        if self._near_member:
            if not near_member_silent:
                if self._near_asked_at is None:
                    self._near_asked_at = now
                renewal = NearRenew(message, takes_loads=config.takes_loads)
                self._send(self._near_member, renewal)
                self._report_servers(self._near_member)
                return
            self.on_near_member("", self._near_member, "silent")
            self._failed_member = self._near_member
            self._failed_member_until = (
                now + FAILED_MEMBER_INTERVALS * config.renew_interval
            )
            self._near_member = ""
            self._near_asked_at = None
            self._updated_at = NEVER
            self._near_member_failed = True
        silence = LEADER_SILENCE_INTERVALS * config.renew_interval
        if self._leader and now - self._updated_at < silence:
            self._send(self._leader, message)
            self._report_servers(self._leader)
            return
        # The voters of the settings are asked too: they may have been changed later
        # than this host was last told of others.
        names = (*self._voters, *config.voters, *self._leaders)
        for voter in dict.fromkeys(names):
            self._send(voter, message)

    def _report_servers(self, node: str) -> None:
        """Report to a control node what servers said in their responses."""
        leaving = self._state.list_leaving_servers()
        if leaving:
            self._send(node, LeavingServers(leaving))
        needs = self._state.pop_server_needs()
        if needs:
            self._send(node, ServerNeeds(needs))


def _ignore_near_member(node: str, before: str, reason: str) -> None:
    """Ignore a change of the near member."""
