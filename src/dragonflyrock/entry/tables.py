"""The tables of an entry host: its copy of the control state, and its lease."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from ..const import NEVER
from ..models import (
    ContractRow,
    Delta,
    QuarantineRow,
    RangeRef,
    RangeState,
    ServerRow,
    ServiceWarmup,
)
from ..routes import ClientLimits, RoutedService, RouteIndex
from ..systems.leases import extend_held
from ..tables import RangeTable
from ..transport.messages import HostUpdate

__all__ = ["ROWS_DELAY_SECONDS", "EntryTables"]

# A change of rows reaches a host within this time, unless something is wrong.
ROWS_DELAY_SECONDS: Final = 0.6


@dataclass(slots=True)
class EntryTables:
    """An entry host's copy of the control state, whose revision never decreases.

    Times are in seconds of this host's clock. ``holders`` has the servers by holder
    (name and incarnation), and ``customers_by_token`` has the customers' names by
    the hashes of their tokens. ``confirmed_at`` is when this host sent the latest
    renewal that was answered: its rows are not older. ``changed_at`` is when the latest
    change of rows came, or should have come if it is late. ``evacuated_zones`` has this
    time of each evacuated zone. ``warmups`` has what cold servers of a service stand,
    where that is limited.
    """

    revision: int = 0
    lease_until: float = NEVER
    confirmed_at: float = NEVER
    changed_at: float = NEVER
    leader: str = ""
    term: int = 0
    hosts: tuple[str, ...] = ()
    hosts_version: int = 0
    hosts_changed_at: float = NEVER
    ranges: RangeTable = field(default_factory=RangeTable)
    servers: dict[str, ServerRow] = field(default_factory=dict)
    holders: dict[str, ServerRow] = field(default_factory=dict)
    contracts: dict[str, ContractRow] = field(default_factory=dict)
    customers_by_token: dict[str, str] = field(default_factory=dict)
    quarantines: dict[str, QuarantineRow] = field(default_factory=dict)
    routes: RouteIndex = field(default_factory=RouteIndex)
    routed_services: dict[str, RoutedService] = field(default_factory=dict)
    document_version: int = 0
    client_limits: ClientLimits = field(default_factory=ClientLimits)
    evacuated_zones: dict[str, float] = field(default_factory=dict)
    warmups: dict[str, ServiceWarmup] = field(default_factory=dict)

    def apply(self, update: HostUpdate, lease: float, now: float) -> bool:
        """Apply an update and return whether rows changed.

        ``lease`` is in seconds. An update that starts after this host's revision is
        ignored together with its lease, because a host must not hold a lease with
        rows that are older than the lease.
        """
        delta = update.delta
        if not delta.full and delta.base > self.revision:
            return False
        changed = delta.revision > self.revision
        if changed:
            self.changed_at = self._estimate_change(now)
            self._apply_rows(delta)
            self._apply_zones(delta)
        if update.sent_at:
            self.confirmed_at = max(self.confirmed_at, update.sent_at)
        if update.lease_ms:
            self.lease_until = extend_held(self.lease_until, update.sent_at, lease)
        if update.hosts is not None:
            self.hosts_version = update.hosts_version
            if update.hosts != self.hosts:
                self.hosts = update.hosts
                self.hosts_changed_at = now
        if update.term >= self.term:
            self.term = update.term
            self.leader = update.leader
        return changed

    def find_lost_ranges(self) -> set[RangeRef]:
        """Return the ranges whose owner was lost."""
        moving = self.ranges.moving()
        return {row.ref for row in moving if row.state == RangeState.LOST}

    def find_contract(self, token_sha256: str) -> ContractRow | None:
        """Return the contract of the customer with this token, or None."""
        customer = self.customers_by_token.get(token_sha256)
        return self.contracts.get(customer) if customer is not None else None

    def _apply_rows(self, delta: Delta) -> None:
        """Replace or update the rows by those of a delta."""
        if delta.full:
            self.ranges.clear()
            self.servers.clear()
            self.contracts.clear()
            self.quarantines.clear()
        for row in delta.ranges:
            self.ranges.put(row)
        for server in delta.servers:
            self.servers[server.name] = server
        for name in delta.removed_servers:
            self.servers.pop(name, None)
        for contract in delta.contracts:
            self.contracts[contract.contract.customer] = contract
        for quarantine in delta.quarantines:
            self.quarantines[quarantine.fingerprint] = quarantine
        for fingerprint in delta.removed_quarantines:
            self.quarantines.pop(fingerprint, None)
        if delta.full or delta.servers or delta.removed_servers:
            self.holders = {row.holder: row for row in self.servers.values()}
        if delta.full or delta.contracts:
            self.customers_by_token = {
                token: customer
                for customer, row in self.contracts.items()
                for token in row.contract.token_sha256
            }
        self._apply_document(delta)
        self.revision = delta.revision

    def _estimate_change(self, now: float) -> float:
        """Return when a change of rows that has come now should have come.

        It was made after the rows were confirmed for the last time. The first rows of
        a host may say what has long been so, and nothing tells since when.
        """
        if self.confirmed_at == NEVER:
            return now
        return min(now, self.confirmed_at + ROWS_DELAY_SECONDS)

    def _apply_zones(self, delta: Delta) -> None:
        """Apply which zones are evacuated.

        A full delta of an earlier version, which names none, leaves them as they are.
        """
        if delta.evacuated_zones is None:
            return
        known = self.evacuated_zones
        self.evacuated_zones = {
            zone: known.get(zone, self.changed_at) for zone in delta.evacuated_zones
        }

    def _apply_document(self, delta: Delta) -> None:
        """Apply the changes to the route document."""
        if delta.document is None:
            return
        if delta.full:
            self.routes.clear()
            self.routed_services.clear()
            self.warmups.clear()
        for name in delta.removed_routes:
            self.routes.remove(name)
        for route in delta.routes:
            self.routes.put(route)
        for name in delta.removed_services:
            self.routed_services.pop(name, None)
            self.warmups.pop(name, None)
        for service in delta.services:
            self.routed_services[service.name] = service
            self.warmups.pop(service.name, None)
        for warmup in delta.warmups:
            self.warmups[warmup.service] = warmup
        self.document_version = delta.document.version
        self.client_limits = delta.document.limits
