"""The limit that a server named, as a total over all entry hosts.

One host, the limiter of a server, has the server's token bucket, and grants tokens to
the hosts that have requests for it. If the limiter is silent, a standby grants at most
half of the rate; a host that reaches neither of them has a small rate of its own.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, NamedTuple

from ..const import NEVER
from ..transport.messages import ServerRateDemand, ServerRateGrant
from .limits import TokenBucket

__all__ = [
    "DueDemand",
    "HostTokens",
    "ServerLimiter",
    "TokenClaim",
    "TokenState",
]

# The bucket of a limiter holds the tokens of this time.
BURST_SECONDS: Final = 0.5
# A server that takes nothing still gets this rate, which shows when its limit ends.
MIN_PER_SECOND: Final = 0.25
# Share of the rate that a standby, or a limiter without a lease, grants. With the
# limiter's own rate this is the largest excess over the limit.
REDUCED_SHARE: Final = 0.5
# Share of the rate that all hosts have together which reach no limiter.
ISOLATED_SHARE: Final = 0.25
TOKEN_LIFETIME_SECONDS: Final = 0.1
# A demand is repeated after this time, and its limiter is silent after the other one.
REPEAT_SECONDS: Final = 0.05
SILENCE_SECONDS: Final = 0.25
# A host that was denied a token does not ask again within this time.
MIN_WAIT_SECONDS: Final = 0.01
# A silent limiter is not asked for this time.
AVOID_SECONDS: Final = 1.0


@dataclass(slots=True)
class _LimiterRow:
    """The bucket of a server, its limit, and the last grant of each host."""

    per_second: float
    named_at: float
    bucket: TokenBucket
    granted: dict[str, ServerRateGrant] = field(default_factory=dict)


class ServerLimiter:
    """The buckets of the servers that this host limits.

    A bucket starts empty, as another host may have granted tokens until then.
    """

    def __init__(self) -> None:
        """Start without servers."""
        self._rows: dict[str, _LimiterRow] = {}

    def allocate(
        self,
        host: str,
        demand: ServerRateDemand,
        since: float,
        now: float,
        *,
        reduced: bool,
    ) -> ServerRateGrant:
        """Return the grant for a host's demand.

        The limit that was named last counts. ``since`` is when this host became the
        limiter. With ``reduced`` the rate is that of a standby.
        """
        named_at = now - demand.age
        row = self._rows.get(demand.holder)
        if row is None:
            bucket = TokenBucket(min(now, max(since, named_at)))
            row = _LimiterRow(demand.per_second, named_at, bucket)
            self._rows[demand.holder] = row
        elif named_at > row.named_at:
            row.per_second, row.named_at = demand.per_second, named_at
        known = row.granted.get(host)
        if known is not None and known.number == demand.number:
            return known
        rate = max(row.per_second, MIN_PER_SECOND) * (REDUCED_SHARE if reduced else 1)
        burst = max(1.0, rate * BURST_SECONDS)
        tokens = row.bucket.take_up_to(demand.tokens, rate, burst, now)
        wait = row.bucket.time_to_token(rate)
        grant = ServerRateGrant(demand.holder, tokens, wait, demand.number)
        row.granted[host] = grant
        return grant

    def retain(self, holders: Collection[str], hosts: Collection[str]) -> None:
        """Forget the servers and hosts that are not listed."""
        for holder in self._rows.keys() - set(holders):
            del self._rows[holder]
        for row in self._rows.values():
            for host in row.granted.keys() - set(hosts):
                del row.granted[host]


class TokenState(StrEnum):
    """Whether a request may be sent, or has to wait for the limiter's answer."""

    GRANTED = "granted"
    DENIED = "denied"
    WAITING = "waiting"


class TokenClaim(NamedTuple):
    """The answer to a request for a token.

    ``wait`` is the time in seconds until a token may be available, if it is denied.
    """

    state: TokenState
    wait: float = 0.0


@dataclass(slots=True)
class _TokenRow:
    """The tokens of this host for one server; times are in seconds.

    ``wanted`` counts the requests that wait and are in no demand yet. ``demand`` is
    the one that waits for an answer of ``peer``. ``floor`` is this host's own bucket
    while it reaches no limiter.
    """

    tokens: int = 0
    tokens_until: float = NEVER
    denied_until: float = NEVER
    wanted: int = 0
    demand: ServerRateDemand | None = None
    peer: str = ""
    asked_at: float = NEVER
    repeated_at: float = NEVER
    silent: dict[str, float] = field(default_factory=dict)
    floor: TokenBucket | None = None


class DueDemand(NamedTuple):
    """A demand that has to be sent to a limiter."""

    peer: str
    demand: ServerRateDemand


class HostTokens:
    """The tokens of this host for servers that named a limit, by holder.

    Demands are numbered from ``first_number``. No number of a former process of this
    host may come again: a limiter takes the last number again for a repeat.
    """

    def __init__(self, first_number: int = 1) -> None:
        """Start without tokens."""
        self._rows: dict[str, _TokenRow] = {}
        self._number = first_number - 1

    def claim(
        self,
        holder: str,
        per_second: float,
        limiters: tuple[str, ...],
        host_count: int,
        now: float,
    ) -> TokenClaim:
        """Take a token for a request, if there is one.

        ``limiters`` has the names of the server's limiter and its standby. A request
        that has to wait claims again after each change.
        """
        row = self._rows.setdefault(holder, _TokenRow())
        if row.tokens and now <= row.tokens_until:
            row.tokens -= 1
            return TokenClaim(TokenState.GRANTED)
        if now < row.denied_until:
            return TokenClaim(TokenState.DENIED, row.denied_until - now)
        if row.demand is None and not _choose_limiter(row, limiters, now):
            return _claim_isolated(row, per_second, host_count, now)
        row.wanted += 1
        return TokenClaim(TokenState.WAITING)

    def is_waiting(self, holder: str) -> bool:
        """Return whether requests wait for tokens of a server."""
        row = self._rows.get(holder)
        return row is not None and (row.demand is not None or row.wanted > 0)

    def get_denied_seconds(self, holder: str, now: float) -> float:
        """Return the time for which requests to a server are denied, or 0."""
        row = self._rows.get(holder)
        return max(0.0, row.denied_until - now) if row is not None else 0.0

    def find_due_demand(
        self,
        holder: str,
        per_second: float,
        age: float,
        limiters: tuple[str, ...],
        now: float,
    ) -> DueDemand | None:
        """Return the demand for a server that has to be sent now, or None."""
        row = self._rows.get(holder)
        if row is None:
            return None
        if row.demand is not None:
            if now - row.repeated_at < REPEAT_SECONDS:
                return None
            row.repeated_at = now
            return DueDemand(row.peer, row.demand)
        peer = _choose_limiter(row, limiters, now)
        if not row.wanted or not peer:
            return None
        self._number += 1
        row.demand = ServerRateDemand(holder, per_second, age, row.wanted, self._number)
        row.peer, row.asked_at, row.repeated_at = peer, now, now
        row.wanted = 0
        return DueDemand(peer, row.demand)

    def add_grant(self, sender: str, grant: ServerRateGrant, now: float) -> bool:
        """Add the tokens of a grant; return whether requests may go on.

        An answer that is not to the last demand comes too late, and does not count.
        """
        row = self._rows.get(grant.holder)
        if row is None or row.demand is None or row.demand.number != grant.number:
            return False
        if grant.tokens < row.demand.tokens:
            row.denied_until = now + max(grant.wait, MIN_WAIT_SECONDS)
        row.tokens, row.tokens_until = grant.tokens, now + TOKEN_LIFETIME_SECONDS
        row.demand, row.wanted, row.floor = None, 0, None
        row.silent.pop(sender, None)
        return True

    def drop_silent(self, now: float) -> list[str]:
        """Give up demands without an answer; return the limiters that are silent."""
        silent: list[str] = []
        for row in self._rows.values():
            if row.demand is not None and now - row.asked_at >= SILENCE_SECONDS:
                row.silent[row.peer] = now + AVOID_SECONDS
                row.demand, row.wanted = None, 0
                silent.append(row.peer)
        return silent

    def retain(self, holders: Collection[str]) -> None:
        """Forget the servers that are not among ``holders``."""
        for holder in self._rows.keys() - set(holders):
            del self._rows[holder]


def _choose_limiter(row: _TokenRow, limiters: tuple[str, ...], now: float) -> str:
    """Return the first limiter that is not silent, or an empty string."""
    for peer in limiters:
        if row.silent.get(peer, NEVER) <= now:
            return peer
    return ""


def _claim_isolated(
    row: _TokenRow, per_second: float, host_count: int, now: float
) -> TokenClaim:
    """Take a token of this host's own rate, since it reaches no limiter."""
    rate = max(per_second, MIN_PER_SECOND) * ISOLATED_SHARE / max(1, host_count)
    if row.floor is None:
        row.floor = TokenBucket(now)
    if row.floor.take_up_to(1, rate, 1.0, now):
        return TokenClaim(TokenState.GRANTED)
    # The limiter may answer again before this host has another token.
    asks_again_at = min(row.silent.values(), default=now + AVOID_SECONDS)
    wait = min(row.floor.time_to_token(rate), asks_again_at - now)
    row.denied_until = now + max(wait, MIN_WAIT_SECONDS)
    return TokenClaim(TokenState.DENIED, row.denied_until - now)
