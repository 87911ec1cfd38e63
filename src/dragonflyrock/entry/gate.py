"""The gate that each request passes before it is sent to a backend server.

The gate admits a request only while this host holds its lease and the key's range
is not moving, and counts it as in flight until the dispatch ends. The check and the
count happen under one lock, so a range that is reported as drained has no request
in flight and gets no new one.
"""

from __future__ import annotations

import threading
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf
from typing import Final

from ..errors import Reason, Refusal, Step
from ..http.retry_after import RequestedPause
from ..models import QuarantineRow, RangeRef, RangeState, ServerRow
from ..systems.leases import has_lapsed
from ..systems.server_rates import TokenState
from ..tables import (
    LeavingRow,
    LeavingSource,
    LeavingTable,
    PauseTable,
)
from ..transport.messages import HostUpdate, RangeLoad, ServerNeed, ServerSpeed
from .server_rates import ServerRateAgent
from .tables import EntryTables

__all__ = ["Gate", "InFlightRequest"]

LEASE_RETRY_MS: Final = 500
OWNER_RETRY_MS: Final = 1000
SLOT_RETRY_MS: Final = 200
# The retry may go to any other host at once.
STOPPING_RETRY_MS: Final = 50
# The owner of a key gets its requests until the range moves, at most this long.
LEAVING_GRACE_SECONDS: Final = 0.9
# A server that is alive answers at the deadline, at least with an error.
OVERDUE_SECONDS: Final = 0.05
# A range moves in this time if it can; after that, its requests are refused at once.
MOVE_LIMIT_SECONDS: Final = 2.5


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is being dispatched to a backend server.

    ``started_at`` and ``deadline`` are in seconds of this host's clock. ``close``
    interrupts the exchange with the server.
    """

    ref: RangeRef
    server: ServerRow
    epoch: int
    fingerprint: str
    started_at: float
    deadline: float
    cancelled: bool = False
    close: Callable[[], None] | None = None


class _Waiting(StrEnum):
    """What a request waits for before it is sent."""

    MOVE = "the key's range is moving"
    LEAVING = "the owner leaves, and the key has not moved yet"
    TOKEN = "the limiter of the server has not answered yet"
    CONNECTION = "the server has no free connection for this host"
    SUSPECT = "the server may be running another suspect request"


@dataclass(slots=True)
class _Load:
    """The work dispatched to a range since the last report."""

    requests: int = 0
    busy_ms: float = 0.0


@dataclass(slots=True)
class _RequestsInFlight:
    """The requests in flight, by range and by holder (server name and incarnation).

    ``suspects`` maps each holder to the one suspect request that it may run at a
    time. ``unconfirmed`` lists requests that were given up while a server that does
    not check grants may still run them: their range, and the time until which.
    """

    by_ref: defaultdict[RangeRef, set[InFlightRequest]] = field(
        default_factory=lambda: defaultdict(set)
    )
    by_holder: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))
    suspects: dict[str, str] = field(default_factory=dict)
    unconfirmed: list[tuple[RangeRef, float]] = field(default_factory=list)


class Gate:
    """The tables of an entry host and its requests in flight.

    ``on_drained`` is called when a request to a moving range has ended, and
    ``on_leaving`` when this host learns that a server leaves. ``on_turned_away`` gets
    the service, and "leaving", "paused" or "limited", of each request refused for that.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        lease: float,
        max_waiting: int,
        drift: float = 0.02,
        host_fraction: float = 0.0,
    ) -> None:
        """Start without a lease.

        ``lease`` is in seconds, ``drift`` the largest difference in speed between
        two hosts' clocks, as a fraction. At most ``max_waiting`` requests wait.
        ``host_fraction`` differs by host; see ``PauseTable.record``.
        """
        self.tables = EntryTables()
        self._clock = clock
        self._lease = lease
        self._max_waiting = max_waiting
        self._drift = drift
        self._waiting = 0
        self._changed = threading.Condition()
        self._requests = _RequestsInFlight()
        self._loads: defaultdict[RangeRef, _Load] = defaultdict(_Load)
        self._leaving = LeavingTable()
        self._pauses = PauseTable()
        self.rates = ServerRateAgent("", self.tables, clock)
        self._host_fraction = host_fraction
        self._ends_at = inf
        self.on_leaving: Callable[[LeavingRow], None] = lambda row: None
        self.on_drained: Callable[[], None] = lambda: None
        self.on_turned_away: Callable[[str, str], None] = lambda service, why: None

    def apply(self, update: HostUpdate) -> bool:
        """Apply an update and cancel the requests in flight to lost owners.

        Return whether rows changed.
        """
        now = self._clock()
        with self._changed:
            changed = self.tables.apply(update, self._lease, now)
            leaving = self._apply_server_rows(now) if changed else []
            self._changed.notify_all()
            cancelled_requests = self._cancel_lost() if changed else []
        for in_flight in cancelled_requests:
            if in_flight.close is not None:
                in_flight.close()
        for row in leaving:
            self.on_leaving(row)
        return changed

    def _apply_server_rows(self, now: float) -> list[LeavingRow]:
        """Take over which servers leave; return those that were not known to."""
        servers = self.tables.servers
        self._leaving.retain(servers, now)
        self._pauses.pop_ended(now)
        rows = [self._leaving.apply_row(server, now) for server in servers.values()]
        return [row for row in rows if row is not None]

    def record_notices(
        self, server: ServerRow, *, leaves: bool, pause: RequestedPause | None
    ) -> None:
        """Record what a server has said in a response.

        A server that leaves gets no new work after the grace period, one that asks for
        a pause none until it is over.
        """
        now = self._clock()
        with self._changed:
            row = self._leaving.record_response(server, now) if leaves else None
            if pause is not None:
                self._pauses.record(server, pause.seconds, now, self._host_fraction)
        if row is not None:
            self.on_leaving(row)

    def share_limits(self, rates: ServerRateAgent) -> None:
        """Divide the limits of servers with other hosts."""
        self.rates = rates
        rates.on_change = self._notify

    def _notify(self) -> None:
        """Wake the requests that wait."""
        with self._changed:
            self._changed.notify_all()

    def _cancel_lost(self) -> list[InFlightRequest]:
        """Mark the requests in flight to lost owners as cancelled and return them."""
        cancelled_requests = [
            in_flight
            for ref in self.tables.find_lost_ranges()
            for in_flight in self._requests.by_ref.get(ref, ())
            if not in_flight.cancelled
        ]
        for in_flight in cancelled_requests:
            in_flight.cancelled = True
        return cancelled_requests

    def find_draining_ranges(self) -> tuple[RangeRef, ...]:
        """Return the moving ranges whose owners may still run this host's requests."""
        now = self._clock()
        with self._changed:
            requests = self._requests
            requests.unconfirmed = [
                item for item in requests.unconfirmed if item[1] > now
            ]
            unconfirmed_refs = {ref for ref, _ in requests.unconfirmed}
            moving = self.tables.ranges.moving()
            return tuple(
                row.ref
                for row in moving
                if row.ref in unconfirmed_refs or requests.by_ref.get(row.ref)
            )

    def is_idle(self) -> bool:
        """Return whether no server runs, or may still run, a request of this host."""
        now = self._clock()
        with self._changed:
            requests = self._requests
            unconfirmed = any(deadline > now for _, deadline in requests.unconfirmed)
            return not unconfirmed and not requests.by_holder

    def pop_speeds(self) -> tuple[ServerSpeed, ...]:
        """Return nothing: the loads of this host include the time spent."""
        return ()

    def pop_ended_servers(self) -> tuple[str, ...]:
        """Return nothing: these servers announce a restart themselves."""
        return ()

    def pop_server_needs(self) -> tuple[ServerNeed, ...]:
        """Return nothing: no leader moves ranges of this kind of server by load."""
        return ()

    def list_leaving_servers(self) -> tuple[str, ...]:
        """Return holders that said that they leave, which the rows do not show yet."""
        with self._changed:
            return self._leaving.list_unconfirmed(self.tables.servers)

    def count_leaving(self, source: LeavingSource) -> int:
        """Return the number of servers known to leave from one source."""
        with self._changed:
            return self._leaving.count(source)

    def count_paused(self) -> int:
        """Return the number of servers whose pauses are not over."""
        with self._changed:
            return self._pauses.count(self._clock())

    def pop_loads(self) -> tuple[RangeLoad, ...]:
        """Return the loads since the last call and reset them."""
        with self._changed:
            loads, self._loads = self._loads, defaultdict(_Load)
        return tuple(
            RangeLoad(ref.service, ref.low, load.requests, load.busy_ms)
            for ref, load in loads.items()
        )

    def set_end(self, ends_at: float) -> None:
        """Set when this host ends; requests that may run longer are refused."""
        self._ends_at = ends_at

    def check_deadline(self, deadline: float) -> Refusal | None:
        """Return the refusal of a request that may outlast this host, or None."""
        if deadline <= self._ends_at:
            return None
        return _refuse(Reason.STOPPING, STOPPING_RETRY_MS, "the host is stopping")

    def lease_left(self) -> float:
        """Return the remaining time of the lease in seconds, at least 0."""
        return max(0.0, self.tables.lease_until - self._clock())

    def find_quarantine(self, fingerprint: str) -> QuarantineRow | None:
        """Return the quarantine of a request, or None."""
        with self._changed:
            return self.tables.quarantines.get(fingerprint)

    def has_service(self, service: str) -> bool:
        """Return whether the tables contain a service."""
        with self._changed:
            return service in self.tables.ranges.services

    def begin_dispatch(
        self, service: str, key_hash: int, fingerprint: str, deadline: float
    ) -> InFlightRequest | Refusal:
        """Wait until a request may be sent to the key's owner and count it in flight.

        Return a refusal if too many requests wait, the lease lapses, the deadline
        passes, or the key has no owner.
        """
        with self._changed:
            if self._waiting >= self._max_waiting:
                return _refuse(
                    Reason.OVERLOADED, SLOT_RETRY_MS, "too many requests wait"
                )
            self._waiting += 1
            try:
                return self._wait_to_begin(service, key_hash, fingerprint, deadline)
            finally:
                self._waiting -= 1

    def _wait_to_begin(
        self, service: str, key_hash: int, fingerprint: str, deadline: float
    ) -> InFlightRequest | Refusal:
        """Retry at each change until the request is admitted or refused."""
        while True:
            result = self.try_begin_dispatch(service, key_hash, fingerprint, deadline)
            if result is not None:
                return result
            until = min(deadline, self.tables.lease_until)
            self._changed.wait(max(0.0, until - self._clock()))

    def try_begin_dispatch(
        self, service: str, key_hash: int, fingerprint: str, deadline: float
    ) -> InFlightRequest | Refusal | None:
        """Begin a dispatch without waiting; return None if it has to wait."""
        now = self._clock()
        with self._changed:
            if has_lapsed(self.tables.lease_until, now):
                return _refuse(Reason.LEASE_LAPSED, LEASE_RETRY_MS)
            result = self._begin(service, key_hash, fingerprint, deadline, now)
            if isinstance(result, _Waiting):
                return _refuse(Reason.DEADLINE, 0, result) if now >= deadline else None
            return result

    def _begin(
        self,
        service: str,
        key_hash: int,
        fingerprint: str,
        deadline: float,
        now: float,
    ) -> InFlightRequest | Refusal | _Waiting:
        """Find the owner and count the request in flight, or return what to wait for.

        The quarantine is read at each send, since a retry may have waited.
        """
        row = self.tables.ranges.find(service, key_hash)
        if row is None:
            return Refusal(Reason.UNKNOWN_SERVICE, Step.LOCATE, detail=service)
        quarantine = self.tables.quarantines.get(fingerprint)
        if quarantine is not None and quarantine.refused:
            return Refusal(
                Reason.QUARANTINED, Step.LOCATE, detail=f"fingerprint {fingerprint}"
            )
        if row.state != RangeState.ACTIVE:
            return _Waiting.MOVE
        server = self.tables.holders.get(row.owner)
        if server is None:
            return _refuse(Reason.NO_OWNER, OWNER_RETRY_MS)
        leaving = self._leaving.find(server)
        if leaving is not None and now - leaving.since > LEAVING_GRACE_SECONDS:
            if now - leaving.since > LEAVING_GRACE_SECONDS + MOVE_LIMIT_SECONDS:
                self.on_turned_away(service, "leaving")
                return _refuse(
                    Reason.NO_OWNER, OWNER_RETRY_MS, "the owner leaves; no other yet"
                )
            return _Waiting.LEAVING
        paused = self._find_pause(service, server, now)
        if paused is not None:
            return paused
        allowed = self._count_connections(server)
        ramp = self._pauses.get_ramp_limit(server, now)
        if ramp is not None:
            allowed = min(allowed, ramp)
        if self._requests.by_holder[row.owner] >= allowed:
            return _Waiting.CONNECTION
        # If a server crashed under two suspects, either could be the cause.
        if quarantine is not None and row.owner in self._requests.suspects:
            return _Waiting.SUSPECT
        if now >= deadline:
            return _refuse(Reason.DEADLINE, 0, "the deadline has passed")
        claim = self.rates.claim(server)
        if claim.state == TokenState.WAITING:
            return _Waiting.TOKEN
        if claim.state == TokenState.DENIED:
            self.on_turned_away(service, "limited")
            return _refuse(
                Reason.OVERLOADED,
                max(1, int(claim.wait * 1000)),
                "the server's limit has no room",
            )
        in_flight = InFlightRequest(
            row.ref, server, row.epoch, fingerprint, now, deadline
        )
        if quarantine is not None:
            self._requests.suspects[row.owner] = fingerprint
        self._requests.by_ref[row.ref].add(in_flight)
        self._requests.by_holder[row.owner] += 1
        return in_flight

    def recheck(self, in_flight: InFlightRequest) -> Refusal | None:
        """Return why a request must not be sent any more, after a wait."""
        now = self._clock()
        refusal = self.check_deadline(in_flight.deadline)
        if refusal is not None:
            return refusal
        with self._changed:
            server = in_flight.server
            quarantine = self.tables.quarantines.get(in_flight.fingerprint)
            if quarantine is not None and quarantine.refused:
                detail = f"fingerprint {in_flight.fingerprint}"
                return Refusal(Reason.QUARANTINED, Step.LOCATE, detail=detail)
            leaving = self._leaving.find(server)
            if leaving is not None and now - leaving.since > LEAVING_GRACE_SECONDS:
                return _refuse(Reason.OWNER_LOST, OWNER_RETRY_MS, _Waiting.LEAVING)
            return self._find_pause(in_flight.ref.service, server, now)

    def _find_pause(
        self, service: str, server: ServerRow, now: float
    ) -> Refusal | None:
        """Return the refusal of a request to a server that asked for a pause."""
        seconds = self._pauses.get_seconds_left(server, now)
        if not seconds:
            return None
        self.on_turned_away(service, "paused")
        return _refuse(
            Reason.OVERLOADED,
            max(1, int(seconds * 1000)),
            "the server asked for a pause",
        )

    def close_overdue(self) -> None:
        """Interrupt the exchanges that outlast their deadlines.

        A server that sends a byte now and then keeps a read from timing out.
        """
        now = self._clock()
        with self._changed:
            overdue = [
                in_flight
                for group in self._requests.by_ref.values()
                for in_flight in group
                if now >= in_flight.deadline + OVERDUE_SECONDS
            ]
        for in_flight in overdue:
            if in_flight.close is not None:
                in_flight.close()

    def wait_for_new_owner(
        self, service: str, key_hash: int, epoch: int, until: float
    ) -> None:
        """Wait until a key's epoch differs from ``epoch``, at most to ``until``."""
        with self._changed:
            while True:
                row = self.tables.ranges.find(service, key_hash)
                now = self._clock()
                if row is None or row.epoch != epoch or now >= until:
                    return
                self._changed.wait(until - now)

    def _count_connections(self, server: ServerRow) -> int:
        """Return this host's share of the connections that a server allows."""
        return max(1, server.connections // max(1, len(self.tables.hosts)))

    def end_dispatch(self, in_flight: InFlightRequest, *, may_still_run: bool) -> None:
        """Remove a request from those in flight and add its time to the range's load.

        ``may_still_run`` means that the server has not confirmed the request's end.
        """
        now = self._clock()
        with self._changed:
            requests = self._requests
            requests.by_ref[in_flight.ref].discard(in_flight)
            if not requests.by_ref[in_flight.ref]:
                del requests.by_ref[in_flight.ref]
            requests.by_holder[in_flight.server.holder] -= 1
            if not requests.by_holder[in_flight.server.holder]:
                del requests.by_holder[in_flight.server.holder]
            if requests.suspects.get(in_flight.server.holder) == in_flight.fingerprint:
                del requests.suspects[in_flight.server.holder]
            if may_still_run and not in_flight.server.checks_grants:
                # The server measures the deadline by a clock that may run slower.
                margin = (in_flight.deadline - in_flight.started_at) * self._drift
                requests.unconfirmed.append(
                    (in_flight.ref, in_flight.deadline + margin)
                )
            load = self._loads[in_flight.ref]
            load.requests += 1
            load.busy_ms += (now - in_flight.started_at) * 1000
            row = self.tables.ranges.get(in_flight.ref)
            drained = row is not None and row.state != RangeState.ACTIVE
            self._changed.notify_all()
        if drained:
            self.on_drained()


def _refuse(reason: Reason, retry_after_ms: int, detail: str = "") -> Refusal:
    """Return a refusal of a request that was not dispatched."""
    return Refusal(reason, Step.LOCATE, "", detail, retry_after_ms=retry_after_ms)
