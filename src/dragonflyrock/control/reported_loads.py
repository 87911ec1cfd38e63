"""Request rates of keys and processing times of servers, from entry hosts."""

from __future__ import annotations

from typing import Final

from ..systems.spreading import KeyLoads, Owner, estimate_slowness
from ..transport.messages import RangeLoad, ServerSpeed

__all__ = ["ReportedLoads"]

LOAD_WINDOW_SECONDS: Final = 1.0
# The least weight of a new window in the smoothed rate of a key.
LOAD_SMOOTHING: Final = 0.5
# A key below this rate a second, or a server with fewer requests, is dropped.
NEGLIGIBLE_REQUESTS: Final = 0.05
# A rate from the past counts as much as this number of new requests.
RATE_WEIGHT_REQUESTS: Final = 4.0
# Share of a server's measurements that is retained from one window to the next. More
# is retained in a window without a measurement: a server at which requests always wait
# yields none.
SPEED_RETENTION: Final = 0.75
UNMEASURED_SPEED_RETENTION: Final = 0.95
# Number of requests at the mean of the service that is added to a server's own.
SPEED_PRIOR_REQUESTS: Final = 4.0


class ReportedLoads:
    """Requests a second by key, and the processing time of each server."""

    def __init__(self, now: float) -> None:
        """Start the first window."""
        self._rates: dict[str, dict[int, float]] = {}
        self._window: dict[str, dict[int, float]] = {}
        self._speeds: dict[str, tuple[float, float]] = {}
        self._measured: set[str] = set()
        self._window_at = now

    def add_keys(self, loads: tuple[RangeLoad, ...]) -> None:
        """Add a host's counts of requests by key to the window."""
        for load in loads:
            window = self._window.setdefault(load.service, {})
            window[load.low] = window.get(load.low, 0.0) + load.requests

    def add_speeds(self, speeds: tuple[ServerSpeed, ...]) -> None:
        """Add a host's measurements of servers' processing times."""
        for speed in speeds:
            self._measured.add(speed.name)
            requests, busy = self._speeds.get(speed.name, (0.0, 0.0))
            self._speeds[speed.name] = (
                requests + speed.requests,
                busy + speed.busy_ms / 1000,
            )

    def get_loads(self, service: str) -> KeyLoads:
        """Return the request rates of a service's keys."""
        return KeyLoads(self._rates.get(service, {}))

    def update_rates(self, now: float) -> None:
        """Smooth the counts of a full window into the rates, and start the next one."""
        elapsed = now - self._window_at
        if elapsed < LOAD_WINDOW_SECONDS:
            return
        for service in self._window.keys() | self._rates.keys():
            self._rates[service] = self._smooth(service, elapsed)
        self._window.clear()
        for name, (requests, busy) in list(self._speeds.items()):
            retained = (
                SPEED_RETENTION
                if name in self._measured
                else UNMEASURED_SPEED_RETENTION
            )
            self._speeds[name] = (requests * retained, busy * retained)
            if requests < NEGLIGIBLE_REQUESTS:
                del self._speeds[name]
        self._measured.clear()
        self._window_at = now

    def _smooth(self, service: str, elapsed: float) -> dict[int, float]:
        """Return a service's rates after the current window."""
        window = self._window.get(service, {})
        rates = self._rates.get(service, {})
        updated: dict[int, float] = {}
        for key in window.keys() | rates.keys():
            rate = rates.get(key, 0.0)
            count = window.get(key, 0.0)
            # Many requests, or the lack of many expected ones, change the rate at once.
            observed = max(count, rate * elapsed)
            weight = max(LOAD_SMOOTHING, observed / (observed + RATE_WEIGHT_REQUESTS))
            rate += weight * (count / elapsed - rate)
            if rate > NEGLIGIBLE_REQUESTS:
                updated[key] = rate
        return updated

    def add_capacities(self, owners: list[Owner], target: float) -> list[Owner]:
        """Return owners with their capacity in requests a second, and slowness.

        A server with few measurements gets a value near the mean of its service.
        ``target`` is the target latency in seconds, or 0 if it is not known.
        """
        measurements = [self._speeds.get(owner.name, (0.0, 0.0)) for owner in owners]
        requests = sum(count for count, _ in measurements)
        if requests < SPEED_PRIOR_REQUESTS:
            return owners
        mean = sum(busy for _, busy in measurements) / requests
        result = []
        for owner, (count, busy) in zip(owners, measurements, strict=True):
            processing_time = busy + SPEED_PRIOR_REQUESTS * mean
            processing_time /= count + SPEED_PRIOR_REQUESTS
            capacity = owner.capacity / max(processing_time, 0.001)
            slowness = estimate_slowness(processing_time, target)
            result.append(Owner(owner.name, capacity, slowness))
        return result
