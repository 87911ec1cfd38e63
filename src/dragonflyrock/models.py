"""Records used by several roles: servers, ranges, contracts and quarantines."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from .routes.models import ClientLimits, Route, RoutedService

__all__ = [
    "GrantedBy",
    "Contract",
    "ContractRow",
    "Delta",
    "DocumentHead",
    "EvacuationRow",
    "HostRecord",
    "QuarantineRow",
    "RangeRef",
    "RangeRow",
    "RangeState",
    "ServerRow",
    "ServiceWarmup",
]


class GrantedBy(StrEnum):
    """How a server is told what it holds: by orders, or in answers to heartbeats."""

    CALL = "call"
    HEARTBEAT = "heartbeat"


class RangeState(StrEnum):
    """The state of a range: served, being moved, or without its owner."""

    ACTIVE = "active"
    MOVING = "moving"
    LOST = "lost"


class RangeRef(NamedTuple):
    """The identity of a range: its service and its lowest hash."""

    service: str
    low: int


class RangeRow(NamedTuple):
    """A range of hashes, both ends included, and its owner.

    ``owner`` and ``target`` are holders (see ``ServerRow.holder``), or empty.
    ``epoch`` is the log index at which the owner was assigned the range.
    """

    service: str
    low: int
    high: int
    owner: str
    epoch: int
    state: RangeState
    target: str
    revision: int

    @property
    def ref(self) -> RangeRef:
        """Return the identity of the range."""
        return RangeRef(self.service, self.low)


class ServerRow(NamedTuple):
    """A backend server, as it announced itself, and whether it is stopping."""

    name: str
    service: str
    address: str
    zone: str
    incarnation: int
    slots: int
    connections: int
    checks_grants: bool
    stopping: bool = False
    revision: int = 0

    @property
    def holder(self) -> str:
        """Return the name of this incarnation, to which grants are made."""
        return f"{self.name}@{self.incarnation}"

    @property
    def life(self) -> str:
        """Return the holder if the server says when it started, else its name."""
        return self.holder if self.incarnation else self.name


class HostRecord(NamedTuple):
    """An incarnation of an entry host that may hold a lease.

    Addresses are ``ip:port``.
    """

    name: str
    incarnation: int
    zone: str
    link: str
    operators: str

    @property
    def holder(self) -> str:
        """Return the name of this incarnation, to which leases are granted."""
        return f"{self.name}@{self.incarnation}"


class Contract(NamedTuple):
    """The limits of a customer, as totals over all entry hosts.

    ``retry_percent`` limits retries to a share of the customer's requests.
    """

    customer: str
    token_sha256: tuple[str, ...]
    services: tuple[str, ...]
    requests_per_second: float
    burst_requests: int
    concurrent_requests: int
    body_bytes: int
    deadline_ms: int
    retry_percent: float = 10.0


class ContractRow(NamedTuple):
    """A contract with its version, which grows by one with each change."""

    contract: Contract
    version: int
    operator: str
    revision: int


class QuarantineRow(NamedTuple):
    """A request that was in flight to servers when they were lost.

    It is a suspect after the first lost server; after the second one every entry host
    refuses it. ``until_ms`` is when the row expires, by wall clock.
    """

    fingerprint: str
    customer: str
    method: str
    target: str
    holders: tuple[str, ...]
    refused: bool
    until_ms: int
    revision: int


class EvacuationRow(NamedTuple):
    """Whether an availability zone is evacuated, and the revision of the last order."""

    zone: str
    evacuated: bool
    revision: int


class ServiceWarmup(NamedTuple):
    """What cold servers of a service stand: requests a second, for some seconds."""

    service: str
    per_second: float
    seconds: float


class DocumentHead(NamedTuple):
    """The parts of the route document besides its routes and services."""

    version: int
    limits: ClientLimits


class Delta(NamedTuple):
    """Rows that changed after the revision ``base``; a full delta replaces all rows.

    A receiver at a revision before ``base`` must not apply a partial delta.
    ``evacuated_zones`` are all evacuated zones, or None if they have not changed.
    ``warmups`` belong to some of the services in ``services``.
    """

    base: int
    revision: int
    full: bool
    ranges: tuple[RangeRow, ...] = ()
    servers: tuple[ServerRow, ...] = ()
    removed_servers: tuple[str, ...] = ()
    contracts: tuple[ContractRow, ...] = ()
    quarantines: tuple[QuarantineRow, ...] = ()
    removed_quarantines: tuple[str, ...] = ()
    routes: tuple[Route, ...] = ()
    removed_routes: tuple[str, ...] = ()
    services: tuple[RoutedService, ...] = ()
    removed_services: tuple[str, ...] = ()
    document: DocumentHead | None = None
    evacuated_zones: tuple[str, ...] | None = None
    warmups: tuple[ServiceWarmup, ...] = ()
