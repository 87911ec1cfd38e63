"""What clients may use of a process's machine, and the report of what they lost."""

from __future__ import annotations

import os
import resource
from collections.abc import Sequence
from typing import Final, NamedTuple

from .clock import read_clock
from .http import BufferedBodies, ClientMemory, HttpServer, WireLimits
from .observe.metrics import Metrics

__all__ = [
    "CONTROL_SHARES",
    "DAEMON_SHARES",
    "ENTRY_SHARES",
    "MONITOR_CONNECTIONS",
    "MONITOR_LIMITS",
    "ClientGuard",
    "MachineSize",
    "RefusedClients",
    "make_client_guard",
    "make_server_bodies",
    "measure_machine",
]

# What a process takes at most of a machine whose size no settings name, as others may
# run there.
UNKNOWN_MACHINE_MB: Final = 512
MAX_SERVER_BYTES: Final = 48 * 1024 * 1024
# Share of the descriptors for clients. The rest is for servers, other nodes and files.
CONNECTION_SHARE: Final = 0.5
# What a connection takes of the memory for clients, besides what it holds.
CONNECTION_BYTES: Final = 32 * 1024
# Health checks and metrics have no bodies, and few clients ask for them.
MONITOR_LIMITS: Final = WireLimits(body_bytes=64 * 1024)
MONITOR_CONNECTIONS: Final = 16


class MachineSize(NamedTuple):
    """The memory and the descriptors that a process may use."""

    memory_bytes: int
    max_fds: int


class MemoryShares(NamedTuple):
    """Shares of a machine's memory.

    ``clients`` is for what is held for clients, ``servers`` for responses being read
    from servers, and ``joint`` for both together.
    """

    clients: float
    servers: float
    joint: float


# A machine of 160 MB has room for a body of 64 MiB.
ENTRY_SHARES: Final = MemoryShares(0.43, 0.2, 0.47)
# A control node holds several copies of a document while it changes it.
CONTROL_SHARES: Final = MemoryShares(0.25, 0.0, 0.25)
# The product's daemon has threads and tables beside its clients.
DAEMON_SHARES: Final = MemoryShares(0.35, 0.2, 0.55)


def measure_machine(memory_mb: int, max_fds: int) -> MachineSize:
    """Return the size of the machine by its settings, of which 0 says nothing.

    Without settings it is what the system tells, but no more memory than is taken of
    a machine of unknown size.
    """
    memory_bytes = memory_mb * 1_000_000
    if not memory_bytes:
        physical = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
        memory_bytes = min(UNKNOWN_MACHINE_MB * 1_000_000, physical)
    if not max_fds:
        max_fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_fds == resource.RLIM_INFINITY:
        max_fds = memory_bytes // CONNECTION_BYTES
    return MachineSize(memory_bytes, max_fds)


class RefusedClients(NamedTuple):
    """How many clients lost a request or connection, and what is held at that time."""

    for_memory: int
    for_connections: int
    bytes: int
    limit: int
    connections: int


class ClientGuard:
    """The account and the bound that the HTTP servers of a process share."""

    def __init__(
        self, memory_bytes: int, max_connections: int, joint_bytes: int
    ) -> None:
        """Start an account; ``joint_bytes`` also counts what servers send."""
        self.memory = ClientMemory(memory_bytes, read_clock, joint_bytes)
        self.max_connections = max_connections
        self.servers: Sequence[HttpServer] = ()
        self._reported = (0, 0)

    def describe(self) -> dict[str, int]:
        """Return the bounds for the line of a start."""
        return {
            "client_bytes": self.memory.limit,
            "client_connections": self.max_connections,
        }

    def report(self, metrics: Metrics) -> RefusedClients | None:
        """Update the metrics; return what clients lost since the last call, if any.

        One line tells of any number of them, so the log does not grow with a crowd.
        """
        turned_away = sum(server.turned_away for server in self.servers)
        counts = (self.memory.given_up, turned_away)
        metrics.client_bytes.set(self.memory.total)
        if counts == self._reported:
            return None
        given_up = counts[0] - self._reported[0]
        closed = counts[1] - self._reported[1]
        self._reported = counts
        metrics.clients_refused.labels("memory").inc(given_up)
        metrics.clients_refused.labels("connections").inc(closed)
        return RefusedClients(
            given_up,
            closed,
            self.memory.total,
            self.memory.limit,
            sum(len(server.connections) for server in self.servers),
        )


def make_client_guard(machine: MachineSize, shares: MemoryShares) -> ClientGuard:
    """Return the guard for the size of a machine."""
    client_bytes = int(machine.memory_bytes * shares.clients)
    by_memory = client_bytes // CONNECTION_BYTES
    return ClientGuard(
        client_bytes,
        max(1, min(int(machine.max_fds * CONNECTION_SHARE), by_memory)),
        int(machine.memory_bytes * shares.joint),
    )


def make_server_bodies(
    machine: MachineSize, shares: MemoryShares, guard: ClientGuard
) -> BufferedBodies:
    """Return the bound on the responses that a process reads from servers."""
    share = int(machine.memory_bytes * shares.servers)
    return BufferedBodies(min(share, MAX_SERVER_BYTES), guard.memory)
