"""What entry hosts report of keys and servers, as the leader keeps it."""

from __future__ import annotations

from typing import Final

from ..systems.spreading import KeyLoads, Owner
from ..transport.messages import RangeLoad, ServerSpeed

__all__ = ["ReportedLoads"]

WINDOW_SECONDS: Final = 1.0
# A new second's weight in the rate of a key.
LOAD_SMOOTHING: Final = 0.5
# Requests a second below which a key is forgotten.
LOAD_FLOOR: Final = 0.05
# What a rate is worth in requests when it is weighed against newer counts.
RATE_REQUESTS: Final = 4.0
# Share of a server's measured speed that is kept from one second to the next, and
# in a second without a measurement, as when requests always wait there.
SPEED_MEMORY: Final = 0.75
UNSEEN_SPEED_MEMORY: Final = 0.95
# Requests at the mean speed of the service that a server is taken to have run.
SPEED_PRIOR_REQUESTS: Final = 4.0


class ReportedLoads:
    """Requests a second by key, and the time that servers take for one."""

    def __init__(self, now: float) -> None:
        """Begin a window."""
        self._rates: dict[str, dict[int, float]] = {}
        self._window: dict[str, dict[int, float]] = {}
        self._speeds: dict[str, tuple[float, float]] = {}
        self._measured: set[str] = set()
        self._window_at = now

    def add_keys(self, loads: tuple[RangeLoad, ...]) -> None:
        """Add a report of single keys."""
        for load in loads:
            window = self._window.setdefault(load.service, {})
            window[load.low] = window.get(load.low, 0.0) + load.requests

    def add_speeds(self, speeds: tuple[ServerSpeed, ...]) -> None:
        """Add a report of how fast servers are."""
        for speed in speeds:
            self._measured.add(speed.name)
            requests, busy = self._speeds.get(speed.name, (0.0, 0.0))
            self._speeds[speed.name] = (
                requests + speed.requests,
                busy + speed.busy_ms / 1000,
            )

    def of_service(self, service: str) -> KeyLoads:
        """Return the rates of a service's keys."""
        return KeyLoads(self._rates.get(service, {}))

    def fold(self, now: float) -> None:
        """Fold the reports of the last second into smoothed rates."""
        elapsed = now - self._window_at
        if elapsed < WINDOW_SECONDS:
            return
        for service in self._window.keys() | self._rates.keys():
            self._rates[service] = self._smooth(service, elapsed)
        self._window.clear()
        for name, (requests, busy) in list(self._speeds.items()):
            kept = SPEED_MEMORY if name in self._measured else UNSEEN_SPEED_MEMORY
            self._speeds[name] = (requests * kept, busy * kept)
            if requests < LOAD_FLOOR:
                del self._speeds[name]
        self._measured.clear()
        self._window_at = now

    def _smooth(self, service: str, elapsed: float) -> dict[int, float]:
        """Return a service's rates with the present window."""
        window = self._window.get(service, {})
        rates = self._rates.get(service, {})
        fresh: dict[int, float] = {}
        for key in window.keys() | rates.keys():
            rate = rates.get(key, 0.0)
            count = window.get(key, 0.0)
            # Many requests, or the lack of many, tell a rate at once; few do not.
            seen = max(count, rate * elapsed)
            weight = max(LOAD_SMOOTHING, seen / (seen + RATE_REQUESTS))
            rate += weight * (count / elapsed - rate)
            if rate > LOAD_FLOOR:
                fresh[key] = rate
        return fresh

    def weigh(self, owners: list[Owner]) -> list[Owner]:
        """Return owners with their capacity in requests a second.

        What little is known of a server is mixed with the mean of its service.
        """
        known = [self._speeds.get(owner.name, (0.0, 0.0)) for owner in owners]
        requests = sum(count for count, _ in known)
        if requests < SPEED_PRIOR_REQUESTS:
            return owners
        mean = sum(busy for _, busy in known) / requests
        weighed = []
        for owner, (count, busy) in zip(owners, known, strict=True):
            unit = busy + SPEED_PRIOR_REQUESTS * mean
            unit /= count + SPEED_PRIOR_REQUESTS
            weighed.append(Owner(owner.name, owner.capacity / max(unit, 0.001)))
        return weighed
