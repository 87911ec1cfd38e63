"""The messages between entry hosts that share out customers' limits."""

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
    """Ask limiters for portions, and be the limiter of some customers."""

    def __init__(
        self,
        host: str,
        gate: Gate,
        admission: Admission,
        send: Send,
        clock: Callable[[], float],
    ) -> None:
        """Find contracts and live hosts in the gate's tables."""
        self._host = host
        self._gate = gate
        self._admission = admission
        self._send = send
        self._clock = clock
        self._limiter = Limiter()
        self._standby = Limiter()
        self._hosts: tuple[str, ...] = ()

    def tick(self) -> None:
        """Send the wishes that are due."""
        hosts = self._gate.tables.hosts
        if hosts != self._hosts:
            self._hosts = hosts
            self._limiter.retain_customers(self._host, hosts)
            self._standby.clear()
        now = self._clock()
        for customer, wish, silent in self._admission.find_demands():
            limiter = find_limiter(customer, hosts)
            if limiter:
                self._send(limiter, RateDemand(customer, *wish, now, False))
            standby = find_standby(customer, hosts) if silent else ""
            if standby:
                self._send(standby, RateDemand(customer, *wish, now, True))

    def receive_demand(self, sender: str, demand: RateDemand) -> None:
        """Answer a host's wish, if this host is the customer's limiter or standby."""
        portion = self._divide(sender, demand)
        if portion is not None:
            grant = RateGrant(demand.customer, *portion, demand.sent_at, demand.standby)
            self._send(sender, grant)

    def _divide(self, sender: str, demand: RateDemand) -> LimitGrant | None:
        """Return a host's portion; None where another host has to answer."""
        tables = self._gate.tables
        row = tables.contracts.get(demand.customer)
        find = find_standby if demand.standby else find_limiter
        if row is None or find(demand.customer, tables.hosts) != self._host:
            return None
        wish = LimitRequest(demand.tokens, demand.permits, demand.permits_held)
        now = self._clock()
        if demand.standby:
            contract = halve_limits(row.contract)
            return self._standby.allocate(contract, sender, wish, now, now)
        since = tables.hosts_changed_at
        return self._limiter.allocate(row.contract, sender, wish, since, now)

    def receive_grant(self, grant: RateGrant) -> None:
        """Take a portion."""
        portion = LimitGrant(
            grant.tokens, grant.permits, grant.wait, grant.limited, grant.settling
        )
        self._admission.receive(
            grant.customer, portion, grant.sent_at, standby=grant.standby
        )
