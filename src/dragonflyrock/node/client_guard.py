"""What the clients of a node may use of its machine, and reports of what they lost."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from ..clock import read_clock
from ..http import BufferedBodies, ClientMemory, HttpServer, WireLimits
from ..observe.lines import LineLog
from ..observe.metrics import Metrics
from .settings import NodeSettings

__all__ = [
    "MONITOR_CONNECTIONS",
    "MONITOR_LIMITS",
    "ClientGuard",
    "make_client_guard",
    "make_server_bodies",
]

# Share of the machine's memory for bytes of clients. A process takes 30 MB itself, and
# the responses of servers have a share too. A machine of 160 MB has room for a body of
# 64 MiB, the largest that the pages allow by default.
ENTRY_MEMORY_SHARE: Final = 0.43
# Share of the machine's memory for responses that are being read from servers; one of
# them may have 32 MiB.
SERVER_MEMORY_SHARE: Final = 0.2
MAX_SERVER_BYTES: Final = 48 * 1024 * 1024
# Share of the machine's memory for both together.
JOINT_MEMORY_SHARE: Final = 0.47
# A control node holds several copies of a document while it changes it.
CONTROL_MEMORY_SHARE: Final = 0.25
# Share of the descriptors for clients. The rest is for servers, other nodes and files.
CONNECTION_SHARE: Final = 0.5
# Health checks and metrics have no bodies, and few clients ask for them.
MONITOR_LIMITS: Final = WireLimits(body_bytes=64 * 1024)
MONITOR_CONNECTIONS: Final = 16


class ClientGuard:
    """The account and the bound that the HTTP servers of a node share."""

    def __init__(
        self, memory_bytes: int, max_connections: int, joint_bytes: int
    ) -> None:
        """Start an account, where 0 stands for no bound.

        ``joint_bytes`` also counts what servers send.
        """
        self.memory = ClientMemory(memory_bytes, read_clock, joint_bytes)
        self.max_connections = max_connections
        self.servers: Sequence[HttpServer] = ()
        self._reported = (0, 0)

    def report(self, lines: LineLog, metrics: Metrics) -> None:
        """Update the metrics, and log what clients lost since the last call.

        One line tells of any number of them, so the log does not grow with a crowd.
        """
        turned_away = sum(server.turned_away for server in self.servers)
        counts = (self.memory.given_up, turned_away)
        metrics.client_bytes.set(self.memory.total)
        if counts == self._reported:
            return
        given_up = counts[0] - self._reported[0]
        closed = counts[1] - self._reported[1]
        self._reported = counts
        metrics.clients_refused.labels("memory").inc(given_up)
        metrics.clients_refused.labels("connections").inc(closed)
        lines.add(
            "clients-refused",
            for_memory=given_up,
            for_connections=closed,
            bytes=self.memory.total,
            limit=self.memory.limit,
            connections=sum(len(server.connections) for server in self.servers),
        )


def make_client_guard(settings: NodeSettings) -> ClientGuard:
    """Return the guard for the size of a node's machine."""
    is_control = settings.node.role == "control"
    share = CONTROL_MEMORY_SHARE if is_control else ENTRY_MEMORY_SHARE
    joint_share = CONTROL_MEMORY_SHARE if is_control else JOINT_MEMORY_SHARE
    machine = settings.machine
    return ClientGuard(
        int(machine.memory_mb * 1_000_000 * share),
        int(machine.max_fds * CONNECTION_SHARE),
        int(machine.memory_mb * 1_000_000 * joint_share),
    )


def make_server_bodies(settings: NodeSettings, guard: ClientGuard) -> BufferedBodies:
    """Return the bound on the responses that a node reads from servers."""
    share = int(settings.machine.memory_mb * 1_000_000 * SERVER_MEMORY_SHARE)
    limit = min(share, MAX_SERVER_BYTES) or MAX_SERVER_BYTES
    return BufferedBodies(limit, guard.memory)
