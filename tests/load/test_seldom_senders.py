"""Test many hosts, each of which sends a service without keys a request only seldom."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from random import Random
from typing import Final, NamedTuple

from dragonflyrock.control.load_hub import LoadHub
from dragonflyrock.models import ServerRow
from dragonflyrock.router.choice import choose_fastest
from dragonflyrock.router.server_stats import (
    LoadReport,
    ServerStat,
    ServiceStat,
    estimate_backlog,
    record_response,
    record_sent,
)
from dragonflyrock.router.shared_loads import SharedLoads

HOSTS: Final = 37
SPEEDS: Final = (0.5, 1.0, 1.0, 1.5) * 3
SLOTS: Final = 2
WORK_SECONDS: Final = 0.26
TARGET_SECONDS: Final = 0.8
# A bit more than half of what the servers can run.
REQUESTS_PER_SECOND: Final = 52.0
SECONDS: Final = 40.0
TICK_SECONDS: Final = 0.1


class Sent(NamedTuple):
    """A request at a server, and what its host took for the backlog there."""

    host: int
    at: float
    backlog: float


class Zone:
    """The hosts and servers of one availability zone; ``shares`` turns sharing on."""

    def __init__(self, seed: int, *, shares: bool) -> None:
        """Start without requests."""
        self.random = Random(seed)
        self.shares = shares
        self.now = 0.0
        self.running = [0] * len(SPEEDS)
        self.queues: list[deque[Sent]] = [deque() for _ in SPEEDS]
        self.service = [ServiceStat(TARGET_SECONDS * 0.3) for _ in range(HOSTS)]
        self.stats = [self._make_stats() for _ in range(HOSTS)]
        self.shared = [SharedLoads() for _ in range(HOSTS)]
        self.hub = LoadHub()
        self.late = self.in_time = 0
        self._events: list[tuple[float, int, int, Sent | None]] = []
        self._count = 0

    @staticmethod
    def _make_stats() -> dict[str, ServerStat]:
        """Return a host's view of the servers."""
        rows = [
            ServerRow(str(number), "s", "s:1", "a", 0, SLOTS, 0, True)
            for number in range(len(SPEEDS))
        ]
        return {row.name: ServerStat(row, slots=SLOTS) for row in rows}

    def run(self) -> float:
        """Run the load; return the share of requests that were late."""
        next_request = next_tick = 0.0
        while self.now < SECONDS:
            ended = self._events[0][0] if self._events else SECONDS
            self.now = min(next_request, next_tick, ended)
            if self.now == ended:
                _, _, number, sent = heappop(self._events)
                assert sent is not None
                self._end(number, sent)
            elif self.now == next_request:
                next_request += self.random.expovariate(REQUESTS_PER_SECOND)
                self._start()
            else:
                next_tick += TICK_SECONDS
                self._share()
        return self.late / (self.late + self.in_time)

    def _start(self) -> None:
        """Have a host choose a server for a request and send it."""
        host = self.random.randrange(HOSTS)
        service = self.service[host]
        chosen = choose_fastest(
            self.stats[host].values(),
            service,
            f"h{host}",
            "a",
            TARGET_SECONDS,
            frozenset(),
            self.now,
        )
        assert chosen is not None
        stat = chosen[0]
        sent = Sent(host, self.now, estimate_backlog(stat, service, self.now))
        record_sent(stat, self.now)
        self.shared[host].record(stat, self.now)
        number = int(stat.row.name)
        if self.running[number] < SLOTS:
            self._work(number, sent)
        else:
            self.queues[number].append(sent)

    def _work(self, number: int, sent: Sent) -> None:
        """Have a server work on a request."""
        self.running[number] += 1
        self._count += 1
        seconds = WORK_SECONDS / SPEEDS[number] * self.random.lognormvariate(-0.32, 0.8)
        heappush(self._events, (self.now + seconds, self._count, number, sent))

    def _end(self, number: int, sent: Sent) -> None:
        """Have a server answer a request, and start the next one."""
        self.running[number] -= 1
        if self.queues[number]:
            self._work(number, self.queues[number].popleft())
        stat = self.stats[sent.host][str(number)]
        stat.in_flight -= 1
        elapsed = self.now - sent.at
        report = LoadReport(self.running[number], len(self.queues[number]), SLOTS)
        record_response(
            stat, self.service[sent.host], elapsed, sent.backlog, report, self.now
        )
        self.shared[sent.host].record(stat, self.now)
        if elapsed > TARGET_SECONDS:
            self.late += 1
        else:
            self.in_time += 1

    def _share(self) -> None:
        """Run a tick of the hosts and of the control node between them."""
        if not self.shares:
            return
        for host, shared in enumerate(self.shared):
            self.hub.add_host(str(host), self.now)
            self.hub.receive(str(host), shared.pop(self.now), self.now)
        digest = self.hub.make_digest(self.now)
        if digest is not None:
            for name in digest[0]:
                SharedLoads.apply(digest[1].loads, self.stats[int(name)], self.now)


# Guards against hosts that choose blindly, as the last they have heard of a server is
# older than the requests there: some servers have queues while others are idle.
def test_hosts_that_share_backlogs_have_fewer_late_requests() -> None:
    seeds = range(4)
    alone = sum(Zone(seed, shares=False).run() for seed in seeds)
    shared = sum(Zone(seed, shares=True).run() for seed in seeds)
    assert shared < 0.8 * alone
