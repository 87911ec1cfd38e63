"""Limits hold as totals, for any requests of hosts and any limiter."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from dragonflyrock.models import Contract
from dragonflyrock.systems.limits import (
    PERMIT_LEASE_SECONDS,
    TOKEN_LIFETIME_SECONDS,
    Limiter,
    LimitRequest,
    find_limiter,
    find_standby,
    halve_limits,
)

RATE, BURST, PERMITS = 100.0, 40, 20
CONTRACT = Contract("c", (), (), RATE, BURST, PERMITS, 1, 1)
HOSTS = [f"host-{number}" for number in range(11)]


@seed(20261203)
@settings(max_examples=100, deadline=None, database=None)
@given(number=st.integers(0, 2**16), skew=st.sampled_from([1, 3, 11]))
def test_tokens_and_permits_never_exceed_the_contract(number: int, skew: int) -> None:
    random = Random(number)
    limiter = Limiter()
    used: list[tuple[float, int]] = []
    held: dict[str, tuple[int, float]] = {}
    since = now = 50.0
    while now < 55.0:
        now += random.uniform(0, 0.01)
        if random.random() < 0.002:
            # Another host becomes the limiter, without any state.
            limiter = Limiter()
            since = now
        host = random.choice(HOSTS[:skew])
        mine, until = held.get(host, (0, 0.0))
        wish = LimitRequest(
            random.randrange(20), random.randrange(30), mine if until > now else 0
        )
        portion = limiter.allocate(CONTRACT, host, wish, since, now)
        # A host uses its tokens at any time within their lifetime.
        used.append((now + random.uniform(0, TOKEN_LIFETIME_SECONDS), portion.tokens))
        held[host] = (portion.permits, now + PERMIT_LEASE_SECONDS)
        assert sum(p for p, until in held.values() if until > now) <= PERMITS
    used.sort()
    for start, _ in used:
        within = sum(count for at, count in used if start <= at < start + 1)
        assert within <= RATE + BURST


@pytest.mark.parametrize("skew", [1, 3, 11])
def test_nearly_all_of_the_rate_is_usable_whatever_the_balancer_does(
    skew: int,
) -> None:
    random = Random(1)
    limiter = Limiter()
    got = 0
    now, started = 0.0, 2.0
    while now < 12.0:
        now += 0.005
        host = random.choice(HOSTS[:skew])
        wish = LimitRequest(5, 5, 0)
        portion = limiter.allocate(CONTRACT, host, wish, 0.0, now)
        if now >= started:
            got += portion.tokens
    assert got >= 0.97 * RATE * (now - started)


def test_a_customer_alone_on_one_host_gets_all_permits_after_a_lease() -> None:
    limiter = Limiter()
    first = limiter.allocate(CONTRACT, "a", LimitRequest(1, 50, 0), 0.0, 2.0)
    assert first.permits == PERMITS
    second = limiter.allocate(CONTRACT, "b", LimitRequest(1, 5, 0), 0.0, 2.1)
    assert second.permits == 0
    # The first host becomes silent, and its lease ends.
    lapsed = 2.0 + PERMIT_LEASE_SECONDS
    later = limiter.allocate(CONTRACT, "b", LimitRequest(1, 5, 0), 0.0, lapsed)
    assert later.permits == 5


def test_a_new_limiter_gives_only_what_is_held_for_one_lease() -> None:
    limiter = Limiter()
    portion = limiter.allocate(CONTRACT, "a", LimitRequest(50, 15, 4), 10.0, 10.0)
    assert (portion.tokens, portion.permits, portion.settling) == (0, 4, True)
    later = 10.0 + PERMIT_LEASE_SECONDS
    portion = limiter.allocate(CONTRACT, "a", LimitRequest(50, 15, 4), 10.0, later)
    assert (portion.permits, portion.settling) == (15, False)


def test_a_standby_is_another_host_and_gives_at_most_half() -> None:
    assert find_standby("c", HOSTS) not in ("", find_limiter("c", HOSTS))
    assert find_standby("c", HOSTS[:1]) == ""
    half = halve_limits(CONTRACT)
    assert half.requests_per_second == RATE / 2
    assert (half.burst_requests, half.concurrent_requests) == (BURST // 2, PERMITS // 2)


def test_customers_spread_over_hosts_and_few_move_when_a_host_leaves() -> None:
    customers = [f"customer-{number}" for number in range(1000)]
    before = {customer: find_limiter(customer, HOSTS) for customer in customers}
    after = {customer: find_limiter(customer, HOSTS[1:]) for customer in customers}
    assert set(before.values()) == set(HOSTS)
    moved = [c for c in customers if before[c] != after[c]]
    assert all(before[customer] == HOSTS[0] for customer in moved)
    limiter = Limiter()
    mine = next(c for c in customers if before[c] == HOSTS[1])
    limiter.allocate(
        CONTRACT._replace(customer=mine), "a", LimitRequest(1, 1, 0), 0.0, 5.0
    )
    limiter.retain_customers(HOSTS[1], tuple(HOSTS))
    kept = limiter.allocate(
        CONTRACT._replace(customer=mine), "b", LimitRequest(0, 99, 0), 0, 5.0
    )
    assert kept.permits == PERMITS - 1
