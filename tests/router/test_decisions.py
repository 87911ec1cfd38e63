"""Decisions of an entry host without a network: budget, choice, estimates."""

from __future__ import annotations

import pytest

from dragonflyrock.models import ServerRow
from dragonflyrock.router.budget import BudgetPolicy, RetryBudget
from dragonflyrock.router.choice import choose_server
from dragonflyrock.router.server_stats import (
    LoadReport,
    ServerStat,
    ServiceStat,
    estimate_processing_time,
    estimate_wait,
    is_unresponsive,
    record_answer,
    record_full,
    record_sent,
    record_unreachable,
)

IDLE = LoadReport(0, 0, 2)


def make_stat(name: str, zone: str = "a") -> ServerStat:
    """Return a server of which nothing is known yet."""
    row = ServerRow(name, "s", f"{name}:80", zone, 0, 2, 0, True)
    return ServerStat(row, slots=2)


@pytest.mark.parametrize("rate", [1, 7, 40])
def test_all_hosts_together_keep_the_budget_of_repeats(rate: int) -> None:
    policy = BudgetPolicy(0.2, 10.0, 62.0)
    hosts = [RetryBudget(policy) for _ in range(11)]
    retries = 0
    for tick in range(100):
        for host in hosts:
            for _ in range(rate):
                host.count_request(tick / 10)
                retries += host.claim_retry(tick / 10, len(hosts))
    assert retries <= 0.2 * 100 * 11 * rate + 62


def test_a_server_in_the_own_zone_is_taken_while_it_is_in_time() -> None:
    near, far = make_stat("near", "a"), make_stat("far", "b")
    service = ServiceStat(0.1)
    chosen = choose_server([far, near], service, "h", "a", 0.4, frozenset(), 0.0)
    assert chosen is not None
    assert chosen[0] is near
    near.in_flight = 8
    chosen = choose_server([far, near], service, "h", "a", 0.4, frozenset(), 0.0)
    assert chosen is not None
    assert chosen[0] is far


def test_hosts_prefer_different_idle_servers() -> None:
    stats = [make_stat(f"s{number}") for number in range(12)]
    service = ServiceStat(0.1)
    first = set()
    for number in range(11):
        chosen = choose_server(
            stats, service, f"host-{number}", "a", 0.4, frozenset(), 0.0
        )
        assert chosen is not None
        first.add(chosen[0].row.name)
    assert len(first) > 5


def test_a_server_that_could_not_be_reached_is_left_alone_for_a_while() -> None:
    stats = [make_stat("one"), make_stat("two")]
    service = ServiceStat(0.1)
    record_unreachable(stats[0], 10.0)
    chosen = choose_server(stats, service, "h", "a", 0.4, frozenset(), 10.1)
    assert chosen is not None
    assert chosen[0] is stats[1]


def test_a_server_that_answers_nothing_gets_no_more_requests() -> None:
    """One that lost power took requests until each had run out of time."""
    service = ServiceStat(0.1)
    dark, other = make_stat("dark"), make_stat("other")
    record_sent(dark, 0.0)
    assert not is_unresponsive(dark, service, 0.5)
    assert is_unresponsive(dark, service, 0.7)
    other.in_flight, other.unanswered_since = 20, 0.7
    chosen = choose_server([dark, other], service, "h", "a", 9.0, frozenset(), 0.7)
    assert chosen is not None
    assert chosen[0] is other
    dark.unanswered_since = 0.65
    assert not is_unresponsive(dark, service, 0.7)


def test_slowness_is_forgotten_when_nothing_measures_it() -> None:
    """A server that seemed slow was refused everything, and so stayed slow."""
    service = ServiceStat(0.1)
    stat = make_stat("one")
    for number in range(100):
        record_answer(stat, service, 0.5, 0.0, IDLE, number / 100)
    service.processing_time = 0.1
    assert estimate_processing_time(stat, service, 1.0) > 0.3
    assert estimate_processing_time(stat, service, 8.0) < 0.12


def test_a_full_server_is_expected_to_take_long_and_then_to_have_emptied() -> None:
    service = ServiceStat(0.1)
    stat = make_stat("one")
    before = estimate_wait(stat, service, 0.0)
    record_full(stat, 0.0)
    assert estimate_wait(stat, service, 0.0) > 3 * before
    assert estimate_wait(stat, service, 2.0) == pytest.approx(before, rel=0.05)
