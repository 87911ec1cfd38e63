"""The gate between callers' threads and the ownership table.

A request passes only while this host's lease lives and its range is not moving,
and is then counted as in flight until it leaves. Both happen under one lock, so
a range that is reported as drained has nothing in flight and gets nothing new.
"""

from __future__ import annotations

import threading
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from ..errors import Reason, Refusal, Step
from ..models import QuarantineRow, RangeRef, RangeState, ServerRow
from ..systems.leases import has_lapsed
from ..transport.messages import HostUpdate, RangeLoad, ServerSpeed
from .tables import EntryTables

__all__ = ["Gate", "InFlightRequest"]

LEASE_RETRY_MS: Final = 500
OWNER_RETRY_MS: Final = 1000
SLOT_RETRY_MS: Final = 200


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """One dispatch to a backend server; ``deadline`` is by this host's clock."""

    ref: RangeRef
    server: ServerRow
    epoch: int
    fingerprint: str
    started_at: float
    deadline: float
    cancelled: bool = False
    close: Callable[[], None] | None = None


@dataclass(slots=True)
class _Load:
    """Dispatches of a range since the last report."""

    requests: int = 0
    busy_ms: float = 0.0


@dataclass(slots=True)
class _Flights:
    """What is in flight, by range and by holder.

    ``suspects`` has the one suspect request that each holder may run at a time.
    ``lingering`` are requests that were given up while a server that does not
    check grants may still run them, until their deadlines.
    """

    by_ref: defaultdict[RangeRef, set[InFlightRequest]] = field(
        default_factory=lambda: defaultdict(set)
    )
    by_holder: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))
    suspects: dict[str, str] = field(default_factory=dict)
    lingering: list[tuple[RangeRef, float]] = field(default_factory=list)


class Gate:
    """The tables of an entry host and the requests that pass through it."""

    def __init__(
        self,
        clock: Callable[[], float],
        lease: float,
        max_waiting: int,
        drift: float = 0.02,
    ) -> None:
        """Start without a lease; ``lease`` is in seconds, ``drift`` a share."""
        self.tables = EntryTables()
        self._clock = clock
        self._lease = lease
        self._max_waiting = max_waiting
        self._drift = drift
        self._waiting = 0
        self._changed = threading.Condition()
        self._flights = _Flights()
        self._loads: defaultdict[RangeRef, _Load] = defaultdict(_Load)
        self.on_drained: Callable[[], None] = lambda: None

    # The runtime's side

    def apply(self, update: HostUpdate) -> bool:
        """Apply an update; cancel what is in flight to lost owners."""
        now = self._clock()
        with self._changed:
            changed = self.tables.apply(update, self._lease, now)
            self._changed.notify_all()
            doomed = self._find_doomed() if changed else []
        for in_flight in doomed:
            if in_flight.close is not None:
                in_flight.close()
        return changed

    def _find_doomed(self) -> list[InFlightRequest]:
        """Mark the flights of ranges whose owner was lost."""
        doomed = [
            in_flight
            for ref in self.tables.lost_refs()
            for in_flight in self._flights.by_ref.get(ref, ())
            if not in_flight.cancelled
        ]
        for in_flight in doomed:
            in_flight.cancelled = True
        return doomed

    def find_draining_ranges(self) -> tuple[RangeRef, ...]:
        """Return the moving ranges that still have requests with their owners."""
        now = self._clock()
        with self._changed:
            flights = self._flights
            flights.lingering = [item for item in flights.lingering if item[1] > now]
            busy = {ref for ref, _ in flights.lingering}
            moving = self.tables.ranges.moving()
            return tuple(
                row.ref
                for row in moving
                if row.ref in busy or flights.by_ref.get(row.ref)
            )

    def is_idle(self) -> bool:
        """Return whether no request is with a server, nor may still be run by one."""
        now = self._clock()
        with self._changed:
            flights = self._flights
            lingering = any(deadline > now for _, deadline in flights.lingering)
            return not lingering and not flights.by_holder

    def pop_speeds(self) -> tuple[ServerSpeed, ...]:
        """Return nothing: the loads here are times already."""
        return ()

    def pop_ended_servers(self) -> tuple[str, ...]:
        """Return nothing: servers here tell of their new lives themselves."""
        return ()

    def pop_loads(self) -> tuple[RangeLoad, ...]:
        """Return the loads since the last call."""
        with self._changed:
            loads, self._loads = self._loads, defaultdict(_Load)
        return tuple(
            RangeLoad(ref.service, ref.low, load.requests, load.busy_ms)
            for ref, load in loads.items()
        )

    def lease_left(self) -> float:
        """Return the time left of the lease in seconds, not below 0."""
        return max(0.0, self.tables.lease_until - self._clock())

    # The callers' side

    def find_quarantine(self, fingerprint: str) -> QuarantineRow | None:
        """Return the quarantine of a request."""
        with self._changed:
            return self.tables.quarantines.get(fingerprint)

    def has_service(self, service: str) -> bool:
        """Return whether a service is known."""
        with self._changed:
            return service in self.tables.ranges.services

    def begin_dispatch(
        self, service: str, key_hash: int, fingerprint: str, deadline: float
    ) -> InFlightRequest | Refusal:
        """Wait until the key's owner may be sent a request, and count it."""
        with self._changed:
            if self._waiting >= self._max_waiting:
                return _refuse(Reason.OVERLOADED, SLOT_RETRY_MS, "too many wait")
            self._waiting += 1
            try:
                return self._wait(service, key_hash, fingerprint, deadline)
            finally:
                self._waiting -= 1

    def _wait(
        self, service: str, key_hash: int, fingerprint: str, deadline: float
    ) -> InFlightRequest | Refusal:
        """Try until the request passes, cannot pass, or is late."""
        while True:
            found = self.try_begin_dispatch(service, key_hash, fingerprint, deadline)
            if found is not None:
                return found
            until = min(deadline, self.tables.lease_until)
            self._changed.wait(max(0.0, until - self._clock()))

    def try_begin_dispatch(
        self, service: str, key_hash: int, fingerprint: str, deadline: float
    ) -> InFlightRequest | Refusal | None:
        """Enter if the owner may be sent the request now; None to wait."""
        now = self._clock()
        with self._changed:
            if has_lapsed(self.tables.lease_until, now):
                return _refuse(Reason.LEASE_LAPSED, LEASE_RETRY_MS)
            if now >= deadline:
                return _refuse(Reason.DEADLINE, 0, "the key's range is moving")
            return self._pass(service, key_hash, fingerprint, deadline, now)

    def _pass(
        self,
        service: str,
        key_hash: int,
        fingerprint: str,
        deadline: float,
        now: float,
    ) -> InFlightRequest | Refusal | None:
        """Find the owner and count the request as in flight to it."""
        row = self.tables.ranges.find(service, key_hash)
        if row is None:
            return Refusal(Reason.UNKNOWN_SERVICE, Step.LOCATE, detail=service)
        if row.state != RangeState.ACTIVE:
            return None
        server = self.tables.holders.get(row.owner)
        if server is None:
            return _refuse(Reason.NO_OWNER, OWNER_RETRY_MS)
        if self._flights.by_holder[row.owner] >= self._connection_share(server):
            return None
        if fingerprint in self.tables.quarantines:
            # Two suspects on one server could not be told apart if it were lost.
            if row.owner in self._flights.suspects:
                return None
            self._flights.suspects[row.owner] = fingerprint
        in_flight = InFlightRequest(
            row.ref, server, row.epoch, fingerprint, now, deadline
        )
        self._flights.by_ref[row.ref].add(in_flight)
        self._flights.by_holder[row.owner] += 1
        return in_flight

    def await_change(
        self, service: str, key_hash: int, epoch: int, until: float
    ) -> None:
        """Wait until a key's owner is another than under ``epoch``, at most so long."""
        with self._changed:
            while True:
                row = self.tables.ranges.find(service, key_hash)
                now = self._clock()
                if row is None or row.epoch != epoch or now >= until:
                    return
                self._changed.wait(until - now)

    def _connection_share(self, server: ServerRow) -> int:
        """Return how many of a server's connections this host may use."""
        return max(1, server.connections // max(1, len(self.tables.hosts)))

    def end_dispatch(self, in_flight: InFlightRequest, *, may_still_run: bool) -> None:
        """End a flight; ``may_still_run`` tells that the server was not heard."""
        now = self._clock()
        with self._changed:
            flights = self._flights
            flights.by_ref[in_flight.ref].discard(in_flight)
            if not flights.by_ref[in_flight.ref]:
                del flights.by_ref[in_flight.ref]
            flights.by_holder[in_flight.server.holder] -= 1
            if not flights.by_holder[in_flight.server.holder]:
                del flights.by_holder[in_flight.server.holder]
            if flights.suspects.get(in_flight.server.holder) == in_flight.fingerprint:
                del flights.suspects[in_flight.server.holder]
            if may_still_run and not in_flight.server.checks_grants:
                # A server counts the deadline by a clock that may run slower.
                margin = (in_flight.deadline - in_flight.started_at) * self._drift
                flights.lingering.append((in_flight.ref, in_flight.deadline + margin))
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
