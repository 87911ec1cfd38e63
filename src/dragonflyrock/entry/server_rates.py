"""The messages by which entry hosts divide the limits that servers named."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from ..const import NEVER
from ..models import ServerRow
from ..systems.limits import find_limiter, find_standby
from ..systems.server_rates import (
    HostTokens,
    ServerLimiter,
    TokenClaim,
    TokenState,
)
from ..tables import NamedLimitRow, NamedLimitTable
from ..transport.messages import ServerRateDemand, ServerRateGrant
from .tables import EntryTables

__all__ = ["ServerRateAgent"]

Send = Callable[[str, ServerRateDemand | ServerRateGrant], object]

# A link to a host that is not a limiter any more is closed after this time.
IDLE_LINK_SECONDS: Final = 30.0
# A limit that a server goes on naming is reported again after this time.
REPORT_INTERVAL_SECONDS: Final = 5.0
CLEANUP_INTERVAL_SECONDS: Final = 1.0
# Numbers of demands fit in 63 bits, with room above the random first one.
FIRST_NUMBER_BITS: Final = 62
# The number of a demand without tokens, whose answer is not awaited.
ANNOUNCEMENT_NUMBER: Final = 0


class ServerRateAgent:
    """The limits that servers named to this host, and its tokens for them.

    The agent also answers the demands for the servers that this host limits. ``claim``
    is thread-safe; all other calls belong to the thread that sends.

    ``on_wanted`` is called when ``send_demands`` has something to send, ``on_change``
    when waiting requests may claim again, ``on_idle`` with a host to which no messages
    go any more, and ``on_silent`` with a limiter that does not answer.
    """

    def __init__(
        self,
        host: str,
        tables: EntryTables,
        clock: Callable[[], float],
        send: Send | None = None,
    ) -> None:
        """Use the hosts and servers in ``tables``.

        Without ``send`` this host reaches no limiter.
        """
        self._host = host
        self._tables = tables
        self._clock = clock
        self._send = send
        self._lock = threading.RLock()
        self._named = NamedLimitTable()
        self._tokens = HostTokens(
            first_number=1 + Random().getrandbits(FIRST_NUMBER_BITS)
        )
        self._limiter = ServerLimiter()
        self._standby = ServerLimiter()
        self._unannounced: set[str] = set()
        self._reported: dict[str, tuple[float | None, float]] = {}
        self._cleaned_up_at = NEVER
        self._used_links: dict[str, float] = {}
        self.on_wanted: Callable[[], None] = self.send_demands
        self.on_change: Callable[[], None] = lambda: None
        self.on_idle: Callable[[str], None] = lambda peer: None
        self.on_silent: Callable[[str], None] = lambda peer: None

    def find_limit(self, server: ServerRow) -> NamedLimitRow | None:
        """Return the limit of this incarnation of a server, or None."""
        with self._lock:
            return self._named.find(server)

    def record_limit(self, server: ServerRow, per_second: float) -> bool:
        """Record a limit that a server named; return whether it changed.

        A changed limit is announced to the limiters, which also opens the links.
        """
        with self._lock:
            changed = self._named.record(server, per_second, self._clock())
            if changed:
                self._unannounced.add(server.holder)
        if changed:
            self.on_wanted()
        return changed

    def lift_limit(self, server: ServerRow, sent_at: float) -> bool:
        """Remove a server's limit; see ``NamedLimitTable.lift``."""
        with self._lock:
            return self._named.lift(server, sent_at)

    def pop_due_reports(self, now: float) -> tuple[NamedLimitRow, ...]:
        """Return the limits that the control nodes must hear of, when they are due.

        A limit is reported when it changes, and again while the server names it.
        """
        with self._lock:
            due = [row for row in self._named.list_named() if self._is_due(row, now)]
            reported = {row.holder: (row.per_second, now) for row in due}
            self._reported.update(reported)
        return tuple(due)

    def _is_due(self, row: NamedLimitRow, now: float) -> bool:
        """Return whether a limit was not reported as it is, or not lately."""
        per_second, reported_at = self._reported.get(row.holder, (None, NEVER))
        if row.per_second != per_second:
            return True
        is_fresh = row.said_at > reported_at
        return is_fresh and now - reported_at >= REPORT_INTERVAL_SECONDS

    def count_limited(self) -> int:
        """Return the number of servers that named a limit."""
        with self._lock:
            return self._named.count_named()

    def set_cold(self, rows: Iterable[NamedLimitRow]) -> None:
        """Replace the limits of cold servers.

        They are not announced to their limiters: when a zone is taken back, every host
        would send to each limiter of its servers at once, and open a link to it.
        """
        by_name = {row.holder.rpartition("@")[0]: row for row in rows}
        with self._lock:
            self._named.set_cold(by_name)

    def get_denied_seconds(self, server: ServerRow, now: float) -> float:
        """Return the time for which a server's limit has no room, or 0."""
        # Asked for each server of a service at each choice; most have no limit.
        if self._named.is_empty:
            return 0.0
        with self._lock:
            if self._named.find(server) is None:
                return 0.0
            return self._tokens.get_denied_seconds(server.holder, now)

    def claim(self, server: ServerRow) -> TokenClaim:
        """Take a token for a request to a server, if its limit needs one."""
        claim = self._claim(server)
        if claim.state == TokenState.WAITING:
            self.on_wanted()
        return claim

    def _claim(self, server: ServerRow) -> TokenClaim:
        """Take a token, or count the request among those that wait."""
        with self._lock:
            limit = self._named.find(server)
            if limit is None:
                return TokenClaim(TokenState.GRANTED)
            return self._tokens.claim(
                limit.holder,
                limit.per_second,
                self._list_limiters(limit.holder),
                len(self._tables.hosts),
                self._clock(),
            )

    def send_demands(self) -> None:
        """Send the demands that are due."""
        now = self._clock()
        self._announce_limits()
        with self._lock:
            due = [
                self._tokens.find_due_demand(
                    row.holder,
                    row.per_second,
                    now - row.said_at,
                    self._list_limiters(row.holder),
                    now,
                )
                for row in self._named.list_rows()
                if self._tokens.is_waiting(row.holder)
            ]
        for item in due:
            if item is not None:
                self._send_to(item.peer, item.demand)

    def _announce_limits(self) -> None:
        """Tell the limiters of changed limits."""
        with self._lock:
            holders, self._unannounced = self._unannounced, set()
            rows = [row for row in self._named.list_rows() if row.holder in holders]
        for row in rows:
            demand = ServerRateDemand(
                row.holder, row.per_second, 0.0, 0, ANNOUNCEMENT_NUMBER
            )
            for peer in self._list_limiters(row.holder):
                self._send_to(peer, demand)

    def tick(self, now: float) -> None:
        """Send demands again, give up silent limiters, and close idle links."""
        with self._lock:
            silent = self._tokens.drop_silent(now)
        for peer in silent:
            self.on_silent(peer)
        if silent:
            self.on_change()
        self.send_demands()
        self._forget_absent(now)

    def receive_demand(self, sender: str, demand: ServerRateDemand) -> None:
        """Answer a host's demand if this host is the server's limiter or standby."""
        now = self._clock()
        limiters = self._list_limiters(demand.holder)
        if self._host not in limiters:
            return
        is_standby = self._host != limiters[0]
        limiter = self._standby if is_standby else self._limiter
        # Hosts with a newer list may ask another limiter than those with an older one.
        reduced = is_standby or now >= self._tables.lease_until
        since = now if is_standby else self._tables.hosts_changed_at
        with self._lock:
            grant = limiter.allocate(sender, demand, since, now, reduced=reduced)
        self._send_to(sender, grant)

    def receive_grant(self, sender: str, grant: ServerRateGrant) -> None:
        """Add a grant to this host's tokens."""
        with self._lock:
            added = self._tokens.add_grant(sender, grant, self._clock())
        if added:
            self.on_change()

    def _list_limiters(self, holder: str) -> tuple[str, ...]:
        """Return the hosts that grant tokens for a server, the standby last."""
        if self._send is None:
            return ()
        hosts = self._tables.hosts
        names = (find_limiter(holder, hosts), find_standby(holder, hosts))
        return tuple(name for name in names if name)

    def _send_to(self, peer: str, message: ServerRateDemand | ServerRateGrant) -> None:
        """Send a message, and remember when the link was used."""
        if self._send is None:
            return
        if peer != self._host:
            self._used_links[peer] = self._clock()
        self._send(peer, message)

    def _forget_absent(self, now: float) -> None:
        """Forget servers and hosts that are gone, and links that are not used."""
        if now - self._cleaned_up_at < CLEANUP_INTERVAL_SECONDS:
            return
        self._cleaned_up_at = now
        holders = self._tables.holders
        with self._lock:
            self._named.retain(self._tables.servers, now)
            self._tokens.retain(holders)
            for holder in self._reported.keys() - set(holders):
                del self._reported[holder]
            for limiter in (self._limiter, self._standby):
                limiter.retain(holders, self._tables.hosts)
        for peer, used_at in list(self._used_links.items()):
            if now - used_at > IDLE_LINK_SECONDS:
                del self._used_links[peer]
                self.on_idle(peer)
