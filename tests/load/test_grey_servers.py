"""The pattern: a server fails half of its requests at once and seems the idlest."""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from typing import Final, NamedTuple

from dragonflyrock.models import ServerRow
from dragonflyrock.router.choice import choose_server
from dragonflyrock.router.server_stats import (
    LoadReport,
    ServerStat,
    ServiceStat,
    record_answer,
    record_load_report,
    record_outcome,
    record_sent,
)

HOSTS: Final = 20
SERVERS: Final = 6
RATE: Final = 60.0
WORK: Final = 0.1
TARGET: Final = 0.4


class Span(NamedTuple):
    """Seconds in which the first server fails its requests."""

    first: float
    last: float


class Sent(NamedTuple):
    """A request at a server, and whether it will be failed."""

    until: float
    order: int
    host: int
    server: int
    failed: bool


def count_grey(grey: Span, seed: int, seconds: float) -> dict[int, int]:
    """Return by second how many requests went to the first server."""
    random = Random(seed)
    rows = [
        ServerRow(f"s{n}", "s", f"s{n}", "a", 0, 3, 0, True) for n in range(SERVERS)
    ]
    stats = [[ServerStat(row, slots=3) for row in rows] for _ in range(HOSTS)]
    services = [ServiceStat(WORK) for _ in range(HOSTS)]
    running: list[Sent] = []
    counts: dict[int, int] = {}
    now = 0.0
    while now < seconds:
        now += random.expovariate(RATE)
        while running and running[0].until <= now:
            sent = heappop(running)
            stat = stats[sent.host][sent.server]
            busy = sum(other.server == sent.server for other in running)
            report = LoadReport(min(busy, 3), max(0, busy - 3), 3)
            stat.in_flight -= 1
            record_outcome(stat, sent.until, failed=sent.failed)
            if sent.failed:
                record_load_report(stat, services[sent.host], None, sent.until)
            else:
                service = services[sent.host]
                record_answer(stat, service, WORK, 0.0, report, sent.until)
        host = random.randrange(HOSTS)
        chosen = choose_server(
            stats[host], services[host], f"h{host}", "a", TARGET, frozenset(), now
        )
        assert chosen is not None
        stat = chosen[0]
        server = stats[host].index(stat)
        failed = grey.first <= now < grey.last and not server and random.random() < 0.5
        record_sent(stat, now)
        work = 0.002 if failed else WORK
        heappush(running, Sent(now + work, len(counts), host, server, failed))
        counts.setdefault(int(now), 0)
        counts[int(now)] += not server
    return counts


def test_a_server_that_fails_requests_at_once_gets_few() -> None:
    """It had as little waiting as an idle one, and got its share of all requests."""
    for seed in range(3):
        counts = count_grey(Span(2.0, 12.0), seed, 12.0)
        usual = counts[0] + counts[1]
        later = sum(counts.get(second, 0) for second in range(4, 12)) / 4
        assert later < 0.6 * usual


def test_a_server_that_has_recovered_gets_requests_again() -> None:
    """What is remembered of a server must not keep it idle for good."""
    for seed in range(3):
        found = []
        for grey in (Span(0.0, 0.0), Span(0.0, 3.0)):
            counts = count_grey(grey, seed, 20.0)
            found.append(sum(counts.get(second, 0) for second in range(12, 20)))
        assert found[1] > 0.7 * found[0]
