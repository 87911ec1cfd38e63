"""Test a server that fails half of its requests at once, and so seems idle."""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from typing import Final, NamedTuple

from dragonflyrock.models import ServerRow
from dragonflyrock.router.choice import choose_fastest
from dragonflyrock.router.server_stats import (
    LoadReport,
    ServerStat,
    ServiceStat,
    record_load_report,
    record_outcome,
    record_response,
    record_sent,
)

HOST_COUNT: Final = 20
SERVER_COUNT: Final = 6
REQUESTS_PER_SECOND: Final = 60.0
PROCESSING_SECONDS: Final = 0.1
TARGET_SECONDS: Final = 0.4


class FailurePeriod(NamedTuple):
    """The time in seconds in which the first server fails its requests."""

    first: float
    last: float


class SentRequest(NamedTuple):
    """A request at a server, and whether the server will fail it."""

    until: float
    order: int
    host: int
    server: int
    failed: bool


def count_requests_to_failing_server(
    failing: FailurePeriod, seed: int, seconds: float
) -> dict[int, int]:
    """Return how many requests went to the first server in each second."""
    random = Random(seed)
    rows = [
        ServerRow(f"s{n}", "s", f"s{n}", "a", 0, 3, 0, True)
        for n in range(SERVER_COUNT)
    ]
    stats = [[ServerStat(row, slots=3) for row in rows] for _ in range(HOST_COUNT)]
    services = [ServiceStat(PROCESSING_SECONDS) for _ in range(HOST_COUNT)]
    running: list[SentRequest] = []
    counts: dict[int, int] = {}
    now = 0.0
    while now < seconds:
        now += random.expovariate(REQUESTS_PER_SECOND)
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
                record_response(
                    stat, service, PROCESSING_SECONDS, 0.0, report, sent.until
                )
        host = random.randrange(HOST_COUNT)
        chosen = choose_fastest(
            stats[host],
            services[host],
            f"h{host}",
            "a",
            TARGET_SECONDS,
            frozenset(),
            now,
        )
        assert chosen is not None
        stat = chosen[0]
        server = stats[host].index(stat)
        failed = (
            failing.first <= now < failing.last and not server and random.random() < 0.5
        )
        record_sent(stat, now)
        work = 0.002 if failed else PROCESSING_SECONDS
        heappush(running, SentRequest(now + work, len(counts), host, server, failed))
        counts.setdefault(int(now), 0)
        counts[int(now)] += not server
    return counts


# Guards against a server that fails requests at once and therefore has as short a queue
# as an idle server: it got its full share of the requests.
def test_a_server_that_fails_requests_at_once_gets_few() -> None:
    for seed in range(3):
        counts = count_requests_to_failing_server(FailurePeriod(2.0, 12.0), seed, 12.0)
        usual = counts[0] + counts[1]
        later = sum(counts.get(second, 0) for second in range(4, 12)) / 4
        assert later < 0.6 * usual


# Guards against an error rate that keeps requests from a server permanently.
def test_a_server_that_has_recovered_gets_requests_again() -> None:
    for seed in range(3):
        counts_after = []
        for failing in (FailurePeriod(0.0, 0.0), FailurePeriod(0.0, 3.0)):
            counts = count_requests_to_failing_server(failing, seed, 20.0)
            counts_after.append(sum(counts.get(second, 0) for second in range(12, 20)))
        assert counts_after[1] > 0.7 * counts_after[0]
