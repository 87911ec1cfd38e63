"""Cold servers that a control node has heard of, and what it tells others of them."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final, NamedTuple

from ..tables import ColdNotice, ColdTable
from ..transport.messages import ColdServer
from .directed_models import ServerHeartbeat

__all__ = ["ColdServers", "ColdNews"]

# A host or node to which nothing was sent for this time is told everything again.
PEER_TIMEOUT_SECONDS: Final = 3.0
# More in one message than any zone has servers.
MAX_COLD_SERVERS: Final = 1_000
# Heartbeats of further servers are not recorded: they may come from anyone.
MAX_KNOWN_SERVERS: Final = 10_000


class ColdNews(NamedTuple):
    """What to send now: to hosts, and to the other control nodes."""

    hosts: tuple[tuple[str, tuple[ColdServer, ...]], ...]
    nodes: tuple[ColdServer, ...]


class ColdServers:
    """The cold servers, by heartbeats received here and at other control nodes.

    Hosts that get their rows here are told of each notice, new ones of all servers.
    """

    def __init__(self) -> None:
        """Start without cold servers and hosts."""
        self.table = ColdTable()
        self._hosts: dict[str, float] = {}
        self._new_hosts: set[str] = set()
        self._for_hosts: dict[str, None] = {}
        self._for_nodes: dict[str, None] = {}

    def add_host(self, name: str, now: float) -> None:
        """Record that a host gets its rows here."""
        if now - self._hosts.get(name, -PEER_TIMEOUT_SECONDS) >= PEER_TIMEOUT_SECONDS:
            self._new_hosts.add(name)
        self._hosts[name] = now

    def receive_heartbeat(self, heartbeat: ServerHeartbeat, now: float) -> bool:
        """Record a heartbeat; return whether the server became cold, or warm.

        Servers that were never cold say nothing new.
        """
        name = heartbeat.name
        if heartbeat.ended or not (heartbeat.cold_ms or self.table.is_known(name)):
            return False
        if len(self.table) >= MAX_KNOWN_SERVERS and not self.table.is_known(name):
            return False
        notice = ColdNotice(name, heartbeat.sequence, heartbeat.cold_ms / 1000)
        changed = self.table.record(notice, now)
        if changed or heartbeat.cold_ms > 0:
            self._for_hosts[name] = self._for_nodes[name] = None
        return changed

    def receive_news(self, cold: tuple[ColdServer, ...], now: float) -> None:
        """Record what another control node has heard."""
        for name, sequence, cold_ms in cold[:MAX_COLD_SERVERS]:
            self.table.record(ColdNotice(name, sequence, cold_ms / 1000), now)
            self._for_hosts[name] = None

    def pop_news(self, now: float) -> ColdNews | None:
        """Return what to tell since the last call, or None."""
        if not (self._for_hosts or self._for_nodes or self._new_hosts):
            return None
        since = now - PEER_TIMEOUT_SECONDS
        self._hosts = {name: at for name, at in self._hosts.items() if at > since}
        changed = _encode(self.table.list_notices(now, self._for_hosts))
        every = _encode(self.table.list_notices(now)) if self._new_hosts else ()
        hosts = (
            (name, every if name in self._new_hosts else changed)
            for name in self._hosts
        )
        news = ColdNews(
            tuple((name, told) for name, told in hosts if told),
            _encode(self.table.list_notices(now, self._for_nodes)),
        )
        self._for_hosts, self._for_nodes = {}, {}
        self._new_hosts.clear()
        return news

    def retain(self, names: Collection[str], now: float) -> None:
        """Forget the warm servers that are not among ``names``."""
        self.table.retain(names, now)


def _encode(notices: tuple[ColdNotice, ...]) -> tuple[ColdServer, ...]:
    """Return notices as they are sent."""
    return tuple(
        ColdServer(name, sequence, round(seconds * 1000))
        for name, sequence, seconds in notices[:MAX_COLD_SERVERS]
    )
