"""Whether this host reaches backend servers at all, on new connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import Final, NamedTuple

from ..http import ConnectionPool, ExchangeFault, FaultKind, Response
from ..observe.lines import LineLog

__all__ = ["CONNECT_TIMEOUT_SECONDS", "ProbeTarget", "ServerReach"]

CONNECT_TIMEOUT_SECONDS: Final = 0.3
# Time that a packet may wait for this host's link while it is busy.
BUSY_LINK_SECONDS: Final = 0.9
# Without an answer of a server for this long, a busy link does not explain failures.
ANSWER_SECONDS: Final = 0.5
# A failure counts for this long. A request that hangs fails at its deadline.
FAILURE_WINDOW_SECONDS: Final = 1.5
# Servers that failed within the window before others are probed. One is enough if no
# server has answered for the time of silence since.
MIN_FAILED_SERVERS: Final = 2
SILENCE_SECONDS: Final = 0.2
PROBE_COUNT: Final = 3
# Probes that must succeed before a host counts as reaching servers again.
MIN_REACHED_SERVERS: Final = 2
PROBE_TIMEOUT_SECONDS: Final = 0.4
PROBE_INTERVAL_SECONDS: Final = 0.4
# While servers were reached by the last probe.
LONG_PROBE_INTERVAL_SECONDS: Final = 1.0


class ProbeTarget(NamedTuple):
    """A server's ``ip:port``, and the path at which it reports its health."""

    address: str
    path: str


class ServerReach:
    """Record failures to reach servers, and probe servers when several have failed.

    A host is cut off from the servers once no probed one answers on a new connection,
    until most do. Connections that live on while new ones fail do not count.
    ``on_health`` is called with each response to a probe.
    """

    def __init__(
        self,
        list_targets: Callable[[], Sequence[ProbeTarget]],
        connections: ConnectionPool,
        lines: LineLog,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Start in reach; ``list_targets`` returns the servers to probe."""
        self.is_cut_off = False
        self.on_health: Callable[[Response], None] = lambda response: None
        self._list_targets = list_targets
        self._connections = connections
        self._lines = lines
        self._clock = clock
        self._random = random
        self._failed_at: dict[str, float] = {}
        # When a server failed first since the last answer.
        self._first_failed_at = float("inf")
        self._answered_at = float("-inf")
        self._probed_at = float("-inf")
        self._is_reached = False
        self._probe: asyncio.Task[None] | None = None

    @property
    def is_link_busy(self) -> bool:
        """Return whether servers may seem silent because this host's link is busy.

        It brings answers of servers, so they are reached, but late.
        """
        is_answered = self._clock() - self._answered_at < ANSWER_SECONDS
        return is_answered and self._connections.link.received.is_busy

    @property
    def connect_timeout(self) -> float:
        """Return the seconds within which a server accepts a connection."""
        return CONNECT_TIMEOUT_SECONDS + self._delay

    @property
    def _delay(self) -> float:
        """Return the seconds that a packet may wait for this host's link."""
        return BUSY_LINK_SECONDS if self.is_link_busy else 0.0

    @property
    def is_doubtful(self) -> bool:
        """Return whether several servers failed within the window."""
        since = self._clock() - FAILURE_WINDOW_SECONDS
        failed = sum(at > since for at in self._failed_at.values())
        return self.is_cut_off or failed >= MIN_FAILED_SERVERS

    def record_failure(self, address: str) -> None:
        """Record a server that could not be reached, or did not answer."""
        now = self._clock()
        since = now - FAILURE_WINDOW_SECONDS
        self._failed_at[address] = now
        self._first_failed_at = min(self._first_failed_at, now)
        self._failed_at = {a: at for a, at in self._failed_at.items() if at > since}
        if len(self._failed_at) >= MIN_FAILED_SERVERS or self._is_silent(now):
            self._start_probe()

    def _is_silent(self, now: float) -> bool:
        """Return whether no server has answered since one failed a while ago."""
        return now - self._first_failed_at >= SILENCE_SECONDS

    def record_answer(self) -> None:
        """Record that a server has answered a request."""
        self._first_failed_at = float("inf")
        self._answered_at = self._clock()

    async def check(self, address: str) -> bool:
        """Return whether the host reaches servers, by probes of the last moments.

        Without a server at another address than ``address`` there is no sign that it
        does not.
        """
        if {target.address for target in self._list_targets()} <= {address}:
            return True
        if not self.is_cut_off:
            self._start_probe()
        if self._probe is not None:
            await asyncio.shield(self._probe)
        return self._is_reached and not self.is_cut_off

    def tick(self) -> None:
        """Probe servers at an interval while the host is cut off from them."""
        if self.is_cut_off:
            self._start_probe()

    def close(self) -> None:
        """Cancel a probe in progress."""
        if self._probe is not None:
            self._probe.cancel()

    def _start_probe(self) -> None:
        """Start a probe, unless one is in progress or was made just now."""
        now = self._clock()
        interval = LONG_PROBE_INTERVAL_SECONDS
        if self.is_cut_off or not self._is_reached:
            interval = PROBE_INTERVAL_SECONDS
        if self._probe is not None or now - self._probed_at < interval:
            return
        self._probed_at = now
        self._probe = asyncio.create_task(self._run_probe())

    async def _run_probe(self) -> None:
        """Probe some servers, and decide by their answers."""
        try:
            targets = self._choose_targets()
            timeout = PROBE_TIMEOUT_SECONDS + self._delay
            probes = [self._connections.probe(*target, timeout) for target in targets]
            responses = await asyncio.gather(*probes)
        finally:
            self._probe = None
        answered = [each for each in responses if isinstance(each, Response)]
        for response in answered:
            self.on_health(response)
        if not answered and self.is_link_busy and _has_timeout(responses):
            return
        self._update(len(targets), len(answered))

    def _choose_targets(self) -> list[ProbeTarget]:
        """Return random servers to probe, first those that have not failed lately."""
        targets = sorted(set(self._list_targets()))
        self._random.shuffle(targets)
        if not self.is_cut_off:
            targets.sort(key=lambda target: target.address in self._failed_at)
        return targets[:PROBE_COUNT]

    def _update(self, probed: int, reached: int) -> None:
        """Decide by the probes whether the host is cut off, and log a change."""
        if not probed:
            return
        was_cut_off = self.is_cut_off
        self._is_reached = reached > 0
        if reached >= min(MIN_REACHED_SERVERS, probed):
            self.is_cut_off = False
            self._failed_at.clear()
        elif not reached:
            self.is_cut_off = True
        if self.is_cut_off == was_cut_off:
            return
        event = "servers-lost" if self.is_cut_off else "servers-regained"
        self._lines.add(
            event, probed=probed, reached=reached, failed=sorted(self._failed_at)
        )
        if self.is_cut_off:
            self._failed_at.clear()


def _has_timeout(responses: Sequence[Response | ExchangeFault]) -> bool:
    """Return whether a server was not reached in time, rather than refused."""
    return any(
        isinstance(each, ExchangeFault) and each.kind == FaultKind.CONNECT_TIMEOUT
        for each in responses
    )
