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


# Guards against hosts that together exceed a customer's contract, also while another
# host becomes the limiter.
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
        request = LimitRequest(
            random.randrange(20), random.randrange(30), mine if until > now else 0
        )
        grant = limiter.allocate(CONTRACT, host, request, since, now)
        # A host uses its tokens at any time within their lifetime.
        used.append((now + random.uniform(0, TOKEN_LIFETIME_SECONDS), grant.tokens))
        held[host] = (grant.permits, now + PERMIT_LEASE_SECONDS)
        assert sum(p for p, until in held.values() if until > now) <= PERMITS
    used.sort()
    for start, _ in used:
        within = sum(count for at, count in used if start <= at < start + 1)
        assert within <= RATE + BURST


# Guards against a rate that is divided by host and is lost if a customer's requests
# reach few hosts.
@pytest.mark.parametrize("skew", [1, 3, 11])
def test_nearly_all_of_the_rate_is_usable_whatever_the_balancer_does(
    skew: int,
) -> None:
    random = Random(1)
    limiter = Limiter()
    granted_tokens = 0
    now, started = 0.0, 2.0
    while now < 12.0:
        now += 0.005
        host = random.choice(HOSTS[:skew])
        request = LimitRequest(5, 5, 0)
        grant = limiter.allocate(CONTRACT, host, request, 0.0, now)
        if now >= started:
            granted_tokens += grant.tokens
    assert granted_tokens >= 0.97 * RATE * (now - started)


# Guards against permits that stay with a host that no longer uses them.
def test_a_customer_alone_on_one_host_gets_all_permits_after_a_lease() -> None:
    limiter = Limiter()
    first = limiter.allocate(CONTRACT, "a", LimitRequest(1, 50, 0), 0.0, 2.0)
    assert first.permits == PERMITS
    second = limiter.allocate(CONTRACT, "b", LimitRequest(1, 5, 0), 0.0, 2.1)
    assert second.permits == 0
    # The first host sends no more requests, and its lease expires.
    expired_at = 2.0 + PERMIT_LEASE_SECONDS
    later = limiter.allocate(CONTRACT, "b", LimitRequest(1, 5, 0), 0.0, expired_at)
    assert later.permits == 5


# Guards against a new limiter that gives permits twice, as it does not know the granted
# ones.
def test_a_new_limiter_gives_only_what_is_held_for_one_lease() -> None:
    limiter = Limiter()
    grant = limiter.allocate(CONTRACT, "a", LimitRequest(50, 15, 4), 10.0, 10.0)
    assert (grant.tokens, grant.permits, grant.settling) == (0, 4, True)
    later = 10.0 + PERMIT_LEASE_SECONDS
    grant = limiter.allocate(CONTRACT, "a", LimitRequest(50, 15, 4), 10.0, later)
    assert (grant.permits, grant.settling) == (15, False)


# Guards against a limiter and its standby that together give more than the contract.
def test_a_standby_is_another_host_and_gives_at_most_half() -> None:
    assert find_standby("c", HOSTS) not in ("", find_limiter("c", HOSTS))
    assert find_standby("c", HOSTS[:1]) == ""
    half = halve_limits(CONTRACT)
    assert half.requests_per_second == RATE / 2
    assert (half.burst_requests, half.concurrent_requests) == (BURST // 2, PERMITS // 2)


# Guards against one host that limits most customers, and against customers that move to
# another limiter without need or lose their permits.
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
