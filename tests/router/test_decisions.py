"""Test the retry budget, server choice and estimates, without a network."""

from __future__ import annotations

import pytest

from dragonflyrock.models import ServerRow
from dragonflyrock.router.budget import BudgetPolicy, ServiceRetryBudget
from dragonflyrock.router.choice import choose_fastest
from dragonflyrock.router.server_stats import (
    MAX_BACKOFF_SECONDS,
    LoadReport,
    ServerStat,
    ServiceStat,
    estimate_processing_time,
    estimate_wait,
    is_unresponsive,
    record_full,
    record_response,
    record_sent,
    record_unreachable,
)

IDLE = LoadReport(0, 0, 2)


def make_server_stat(name: str, zone: str = "a") -> ServerStat:
    """Return a server without statistics."""
    row = ServerRow(name, "s", f"{name}:80", zone, 0, 2, 0, True)
    return ServerStat(row, slots=2)


# Guards against hosts that each use the whole retry budget of a service.
@pytest.mark.parametrize("rate", [1, 7, 40])
def test_all_hosts_together_stay_within_the_retry_budget(rate: int) -> None:
    policy = BudgetPolicy(0.2, 10.0, 62.0)
    hosts = [ServiceRetryBudget(policy) for _ in range(11)]
    retries = 0
    for tick in range(100):
        for host in hosts:
            for _ in range(rate):
                host.count_request(tick / 10)
                retries += host.claim_retry(tick / 10, len(hosts))
    assert retries <= 0.2 * 100 * 11 * rate + 62


# Guards against traffic between zones without need, and against a queue in the own
# zone while servers elsewhere are idle.
def test_a_server_in_the_own_zone_is_preferred_until_it_is_slow() -> None:
    near, far = make_server_stat("near", "a"), make_server_stat("far", "b")
    service = ServiceStat(0.1)
    chosen = choose_fastest([far, near], service, "h", "a", 0.4, frozenset(), 0.0)
    assert chosen is not None
    assert chosen[0] is near
    near.in_flight = 8
    chosen = choose_fastest([far, near], service, "h", "a", 0.4, frozenset(), 0.0)
    assert chosen is not None
    assert chosen[0] is far


# Guards against all hosts sending to the same idle server at once.
def test_hosts_prefer_different_idle_servers() -> None:
    stats = [make_server_stat(f"s{number}") for number in range(12)]
    service = ServiceStat(0.1)
    first = set()
    for number in range(11):
        chosen = choose_fastest(
            stats, service, f"host-{number}", "a", 0.4, frozenset(), 0.0
        )
        assert chosen is not None
        first.add(chosen[0].row.name)
    assert len(first) > 5


# Guards against further requests to a server right after a failed connection.
def test_an_unreachable_server_gets_no_requests_during_its_pause() -> None:
    stats = [make_server_stat("one"), make_server_stat("two")]
    service = ServiceStat(0.1)
    record_unreachable(stats[0], 10.0)
    chosen = choose_fastest(stats, service, "h", "a", 0.4, frozenset(), 10.1)
    assert chosen is not None
    assert chosen[0] is stats[1]


# Guards against a server that lost power and still got requests, which all waited until
# their deadlines.
def test_an_unresponsive_server_gets_no_more_requests() -> None:
    service = ServiceStat(0.1)
    silent, other = make_server_stat("dark"), make_server_stat("other")
    record_sent(silent, 0.0)
    assert not is_unresponsive(silent, service, 0.5)
    assert is_unresponsive(silent, service, 0.7)
    other.in_flight, other.unanswered_since = 20, 0.7
    chosen = choose_fastest([silent, other], service, "h", "a", 9.0, frozenset(), 0.7)
    assert chosen is not None
    assert chosen[0] is other
    silent.unanswered_since = 0.65
    assert not is_unresponsive(silent, service, 0.7)


# Guards against a server that seemed slow, therefore got no requests, and so had no
# samples that showed that it was fast again.
def test_a_slow_estimate_decays_without_new_samples() -> None:
    service = ServiceStat(0.1)
    stat = make_server_stat("one")
    for number in range(100):
        record_response(stat, service, 0.5, 0.0, IDLE, number / 100)
    service.processing_time = 0.1
    assert estimate_processing_time(stat, service, 1.0) > 0.3
    assert estimate_processing_time(stat, service, 8.0) < 0.12


# Guards against sends to a server that has just rejected a request as full, and
# against avoiding it after its queue is empty.
def test_a_full_server_has_a_long_expected_wait_that_decays() -> None:
    service = ServiceStat(0.1)
    stat = make_server_stat("one")
    before = estimate_wait(stat, service, 0.0)
    record_full(stat, 0.0)
    assert estimate_wait(stat, service, 0.0) > 3 * before
    assert estimate_wait(stat, service, 2.0) == pytest.approx(before, rel=0.05)


# Guards against a server that has failed so often that the computation of its pause
# overflows, which ends each request that tries it.
def test_a_pause_stays_bounded_after_any_number_of_failures() -> None:
    stat = make_server_stat("dead")
    for _ in range(3_000):
        record_unreachable(stat, 10.0)
    assert stat.down_until == 10.0 + MAX_BACKOFF_SECONDS
