"""Room on this host's narrow link for large responses of servers."""

from __future__ import annotations

import asyncio
from typing import Final, NamedTuple

__all__ = ["LinkRoom", "NoLinkRoom"]

# A response is large if it takes the link longer than this.
LARGE_SECONDS: Final = 0.05
# Large responses that may be on their way at the same time, as time of the link. At
# least one always may.
IN_FLIGHT_SECONDS: Final = 0.35
# Weight of a new size in the mean of a route, and empty responses with which it starts,
# so that one large response does not stand for all.
SMOOTHING: Final = 0.1
ASSUMED_RESPONSES: Final = 2
MAX_ROUTES: Final = 1024
# Of the requests that wait, one in this number is the one that waits longest.
OLDEST_INTERVAL: Final = 4


class NoLinkRoom(NamedTuple):
    """A large response that would not arrive in time, and the seconds until it may."""

    retry_after: float


class _MeanSize(NamedTuple):
    """The mean size of a route's responses, and how many they are."""

    size: float = 0.0
    responses: int = ASSUMED_RESPONSES


class _Waiting(NamedTuple):
    """A request that waits for room; ``size`` is the expected size of its response."""

    size: float
    priority: int
    admitted: asyncio.Future[None]


class LinkRoom:
    """Have only a few large responses on their way to this host at a time.

    A server sends a response as a whole. What the link does not take yet waits at its
    other end, in the order of arrival, so a small response is behind all large ones.

    Sizes are known by the mean of a route's responses. More urgent requests are
    admitted first, and at times the one that waits longest.
    """

    def __init__(self, bytes_per_second: float) -> None:
        """Start without responses on their way; a rate of 0 stands for a wide link."""
        self._rate = bytes_per_second
        self._mean_sizes: dict[str, _MeanSize] = {}
        self._in_flight_bytes = 0.0
        self._in_flight_count = 0
        self._waiting: list[_Waiting] = []
        self._admitted_count = 0

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    def get_mean_size(self, route: str) -> float:
        """Return the mean size of a route's responses; 0 if it is not known."""
        return self._mean_sizes.get(route, _MeanSize()).size

    def record_size(self, route: str, size: int) -> None:
        """Learn from the size of a response."""
        if not self._rate:
            return
        mean = self._mean_sizes.pop(route, _MeanSize())
        responses = mean.responses + 1
        change = (size - mean.size) * max(1 / responses, SMOOTHING)
        self._mean_sizes[route] = _MeanSize(mean.size + change, responses)
        if len(self._mean_sizes) > MAX_ROUTES:
            del self._mean_sizes[next(iter(self._mean_sizes))]

    async def enter(
        self, route: str, priority: int, limit: float
    ) -> float | NoLinkRoom:
        """Wait until a response may be asked for, and return its expected size.

        Pass this size to ``leave`` later. The wait and the transfer together last at
        most ``limit`` seconds, as far as is known; else there is no room. The response
        of a route that has no large ones does not wait, and has no size here.
        """
        size = self.get_mean_size(route)
        if size <= self._rate * LARGE_SECONDS:
            return 0.0
        if not self._waiting and self._has_room(size):
            self._add(size)
            return size
        expected = self._estimate(size)
        if expected > limit:
            return NoLinkRoom(expected - limit)
        return await self._wait(size, priority, limit)

    def leave(self, size: float) -> None:
        """Free the room of a response that has arrived, or that will not arrive."""
        if not size:
            return
        self._in_flight_count -= 1
        self._in_flight_bytes -= size
        while self._waiting:
            waiting = self._choose()
            if not self._has_room(waiting.size):
                return
            self._admitted_count += 1
            self._waiting.remove(waiting)
            self._add(waiting.size)
            waiting.admitted.set_result(None)

    def _add(self, size: float) -> None:
        """Count a response that is on its way."""
        self._in_flight_count += 1
        self._in_flight_bytes += size

    async def _wait(
        self, size: float, priority: int, limit: float
    ) -> float | NoLinkRoom:
        """Wait for room at most ``limit`` seconds."""
        admitted = asyncio.get_running_loop().create_future()
        waiting = _Waiting(size, priority, admitted)
        self._waiting.append(waiting)
        try:
            await asyncio.wait((admitted,), timeout=limit)
        except asyncio.CancelledError:
            self._give_up(waiting)
            raise
        if admitted.done():
            return size
        self._give_up(waiting)
        return NoLinkRoom(self._estimate(size))

    def _give_up(self, waiting: _Waiting) -> None:
        """Have a request wait no longer; free its room if it has some."""
        if waiting.admitted.done():
            self.leave(waiting.size)
        else:
            self._waiting.remove(waiting)

    def _choose(self) -> _Waiting:
        """Return the request that is admitted next."""
        if self._admitted_count % OLDEST_INTERVAL == 0:
            return self._waiting[0]
        return min(self._waiting, key=lambda waiting: waiting.priority)

    def _has_room(self, size: float) -> bool:
        """Return whether another response may be on its way."""
        if not self._in_flight_count:
            return True
        return self._in_flight_bytes + size <= self._rate * IN_FLIGHT_SECONDS

    def _estimate(self, size: float) -> float:
        """Return the seconds until a response that waits behind all has arrived."""
        ahead = self._in_flight_bytes + sum(waiting.size for waiting in self._waiting)
        return (ahead + size) / self._rate
