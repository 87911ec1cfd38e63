"""The messages by which entry hosts divide customers' limits among them."""

from __future__ import annotations

from collections.abc import Callable

from ..systems.limits import (
    Limiter,
    LimitGrant,
    LimitRequest,
    find_limiter,
    find_standby,
    halve_limits,
)
from ..transport.messages import RateDemand, RateGrant
from .admission import Admission
from .gate import Gate

__all__ = ["LimitAgent"]

Send = Callable[[str, RateDemand | RateGrant], object]


class LimitAgent:
    """Exchange demands and grants of tokens and permits with other entry hosts.

    Each host is the limiter of some customers: it answers the demands for these.
    """

    def __init__(
        self,
        host: str,
        gate: Gate,
        admission: Admission,
        send: Send,
        clock: Callable[[], float],
    ) -> None:
        """Use the contracts and live hosts in the gate's tables."""
        self._host = host
        self._gate = gate
        self._admission = admission
        self._send = send
        self._clock = clock
        self._started_at = clock()
        self._limiter = Limiter()
        self._standby = Limiter()
        self._hosts: tuple[str, ...] = ()

    def tick(self) -> None:
        """Send the demands that are due."""
        hosts = self._gate.tables.hosts
        if hosts != self._hosts:
            self._hosts = hosts
            self._limiter.retain_customers(self._host, hosts)
            self._standby.clear()
        now = self._clock()
        for customer, limit_request, silent in self._admission.find_demands():
            limiter = find_limiter(customer, hosts)
            if limiter:
                self._send(limiter, RateDemand(customer, *limit_request, now, False))
            standby = find_standby(customer, hosts) if silent else ""
            if standby:
                self._send(standby, RateDemand(customer, *limit_request, now, True))

    def receive_demand(self, sender: str, demand: RateDemand) -> None:
        """Answer a host's demand if this host is the customer's limiter or standby."""
        limit_grant = self._allocate(sender, demand)
        if limit_grant is not None:
            grant = RateGrant(
                demand.customer, *limit_grant, demand.sent_at, demand.standby
            )
            self._send(sender, grant)

    def _allocate(self, sender: str, demand: RateDemand) -> LimitGrant | None:
        """Return the grant for a host, or None if another host has to answer."""
        tables = self._gate.tables
        row = tables.contracts.get(demand.customer)
        find_host = find_standby if demand.standby else find_limiter
        if row is None or find_host(demand.customer, tables.hosts) != self._host:
            return None
        limit_request = LimitRequest(demand.tokens, demand.permits, demand.permits_held)
        now = self._clock()
        if demand.standby:
            contract = halve_limits(row.contract)
            return self._standby.allocate(contract, sender, limit_request, now, now)
        since = tables.hosts_changed_at
        return self._limiter.allocate(row.contract, sender, limit_request, since, now)

    def receive_grant(self, grant: RateGrant) -> None:
        """Add a grant to this host's share, unless a former process demanded it."""
        if not self._started_at <= grant.sent_at <= self._clock():
            return
        limit_grant = LimitGrant(
            grant.tokens, grant.permits, grant.wait, grant.limited, grant.settling
        )
        self._admission.add_grant(
            grant.customer, limit_grant, grant.sent_at, standby=grant.standby
        )
