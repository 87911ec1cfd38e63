"""Registration of server instances by a leader: each once, and none that has left."""

from __future__ import annotations

from typing import Final, NamedTuple

from ..errors import Reason, Refusal, Step
from ..models import ServerRow
from . import commands as c
from .directed_models import NEVER, ProbeOrder, ServerHeartbeat, ServerLiveness
from .directed_tables import DirectedTables

__all__ = ["InstanceRegistry"]

MAX_ENDED_INSTANCES: Final = 10_000
MAX_UNNAMED_SERVERS: Final = 1_000
# An instance with a higher number in its first heartbeat here has sent others before.
FIRST_SEQUENCES: Final = 5
# Keys are divided at the latest so long after the first registration of a service,
# even if servers still register; those get parts of others' keys then.
DIVISION_TIMEOUT_SECONDS: Final = 4.0


class _Registrations(NamedTuple):
    """When servers of a service were registered, by the leader's clock."""

    first_at: float
    last_at: float


class InstanceRegistry:
    """What a leader knows of instances beyond the committed rows.

    A heartbeat may arrive after its sender has left. A leader that was elected since
    does not know of it, so it probes an instance that is not new before it registers
    it. A leader before which no server was registered knows all of them.
    """

    def __init__(self, tables: DirectedTables, now: float) -> None:
        """Start at the election, at ``now``."""
        self._tables = tables
        self._elected_at = now
        self._ended: dict[str, int] = {}
        self._dropped: dict[str, int] = {}
        self._knows_all = not tables.state.has_known_servers
        self._confirmed: set[str] = set()
        self._probed_at: dict[str, float] = {}
        self._registrations: dict[str, _Registrations] = {}

    def register(
        self, heartbeat: ServerHeartbeat, now: float
    ) -> c.Command | Refusal | None:
        """Handle the first announcement of a server instance."""
        if heartbeat.ended:
            return None
        if self._has_ended(heartbeat):
            return _refuse(heartbeat, "this instance of the server has ended")
        if self._has_no_room(heartbeat):
            detail = (
                f"{MAX_UNNAMED_SERVERS} servers of services that are not configured"
            )
            return Refusal(Reason.OVERLOADED, Step.ANNOUNCE, heartbeat.name, detail)
        refusal = self._check_address(heartbeat, now)
        if refusal is not None:
            return refusal
        row = _make_row(heartbeat)
        if not self._is_new(heartbeat):
            self._probe(row, now)
            detail = "the instance has announced itself before, and is probed first"
            return _refuse(heartbeat, detail)
        return self._accept(row, heartbeat, now)

    def register_next(
        self, heartbeat: ServerHeartbeat, row: ServerRow, now: float
    ) -> c.Command | Refusal | None:
        """Handle the first announcement of the life after that of a row.

        The life of the row has ended, also if the new one only announces its own end.
        """
        if heartbeat.ended:
            return None if row.stopping else c.StopServer(row.name)
        refusal = self._check_address(heartbeat, now)
        if refusal is not None:
            return refusal
        self._tables.report(
            "server-restarted",
            server=heartbeat.name,
            detail=f"born {heartbeat.born}, the former life {row.incarnation}",
        )
        return self._accept(_make_row(heartbeat), heartbeat, now)

    def _has_no_room(self, heartbeat: ServerHeartbeat) -> bool:
        """Return whether too many servers are of services that nobody configured.

        A few may be there before their service is.
        """
        state = self._tables.state
        if len(state.servers) < MAX_UNNAMED_SERVERS:
            return False
        named = {service.name for service in state.route_store.document.services}
        if heartbeat.service in named:
            return False
        unnamed = sum(row.service not in named for row in state.servers.values())
        return unnamed >= MAX_UNNAMED_SERVERS

    def _has_ended(self, heartbeat: ServerHeartbeat) -> bool:
        """Return whether the life that announces itself is known to have ended."""
        name, born = heartbeat.name, heartbeat.born
        if name in self._ended and (not born or born <= self._ended[name]):
            return True
        return bool(born) and born == self._tables.state.find_ended_life(name)

    def _check_address(self, heartbeat: ServerHeartbeat, now: float) -> Refusal | None:
        """Refuse an announcement from the address of another server that is alive."""
        for other in self._tables.state.servers.values():
            if other.address != heartbeat.address or other.name == heartbeat.name:
                continue
            if self._has_announced_itself(other.name, now):
                detail = f"{other.name} at {other.address} announced itself just now"
                return _refuse(heartbeat, detail)
            self._probe(other, now)
        return None

    def _accept(
        self, row: ServerRow, heartbeat: ServerHeartbeat, now: float
    ) -> c.Command:
        """Return the command that registers a life of a server."""
        self._confirmed.discard(row.name)
        self._probed_at.pop(row.name, None)
        first = self._registrations.get(row.service, _Registrations(now, now)).first_at
        self._registrations[row.service] = _Registrations(first, now)
        self._tables.liveness[row.name] = ServerLiveness(now, heartbeat.sequence)
        return c.RegisterServer(row)

    def _has_announced_itself(self, name: str, now: float) -> bool:
        """Return whether a server has announced itself just now."""
        liveness = self._tables.liveness.get(name)
        if liveness is None:
            return False
        return now - liveness.announced_at < self._tables.timing.settle_time

    def _is_new(self, heartbeat: ServerHeartbeat) -> bool:
        """Return whether a heartbeat cannot be a late one of a server that has left."""
        if heartbeat.born:
            left = max(
                self._dropped.get(heartbeat.name, 0),
                self._tables.state.find_ended_life(heartbeat.name),
            )
            if left:
                return heartbeat.born > left or heartbeat.name in self._confirmed
        if heartbeat.sequence <= FIRST_SEQUENCES or heartbeat.name in self._confirmed:
            return True
        return self._knows_all and heartbeat.name not in self._dropped

    def _probe(self, row: ServerRow, now: float) -> None:
        """Ask which instance runs at an address, unless it was asked just now."""
        probed_at = self._probed_at.get(row.name, NEVER)
        if now - probed_at < self._tables.timing.order_timeout:
            return
        if len(self._probed_at) >= MAX_ENDED_INSTANCES:
            self._probed_at.clear()
        self._probed_at[row.name] = now
        health_path = self._tables.find_health_path(row.service)
        self._tables.orders.append(ProbeOrder(row, health_path))

    def confirm(self, name: str) -> None:
        """Record that a probe found an instance that is not registered."""
        if name not in self._tables.state.servers:
            self._confirmed.add(name)

    def record_dropped(self, name: str) -> None:
        """Record an instance whose late heartbeats must not register it again."""
        row = self._tables.state.servers.get(name)
        self._dropped[name] = row.incarnation if row is not None else 0
        if len(self._dropped) > MAX_ENDED_INSTANCES:
            self._dropped.clear()
            self._knows_all = False

    def record_ended(self, name: str) -> None:
        """Record a life of a server that is not registered again in any case."""
        self.record_dropped(name)
        self._ended[name] = self._dropped[name]
        if len(self._ended) > MAX_ENDED_INSTANCES:
            del self._ended[next(iter(self._ended))]

    def find_division_time(self, service: str) -> float:
        """Return when the keys of a service may be divided.

        Its servers register at about the same time, and are waited for.
        """
        settle_time = self._tables.timing.settle_time
        registered = self._registrations.get(service)
        if registered is None:
            return self._elected_at + settle_time
        latest = registered.first_at + DIVISION_TIMEOUT_SECONDS
        return min(registered.last_at + settle_time, latest)


def _make_row(heartbeat: ServerHeartbeat) -> ServerRow:
    """Return the row of a server that announces itself."""
    return ServerRow(
        heartbeat.name,
        heartbeat.service,
        heartbeat.address,
        heartbeat.zone,
        heartbeat.born,
        heartbeat.slots,
        0,
        True,
        heartbeat.leaving,
    )


def _refuse(heartbeat: ServerHeartbeat, detail: str) -> Refusal:
    """Return the refusal of an announcement."""
    return Refusal(Reason.OLD_INCARNATION, Step.ANNOUNCE, heartbeat.name, detail)
