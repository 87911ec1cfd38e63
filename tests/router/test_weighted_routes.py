"""Tests of routes whose requests are distributed among services by weight."""

from __future__ import annotations

from collections import Counter

from dragonflyrock.http import Request, Response, make_response
from dragonflyrock.routes import ServiceShare

from .harness import RouterHarness, run_scenario

SHARES = (ServiceShare("s", 3.0), ServiceShare("t", 1.0))
REQUESTS = 40


async def answer_pause(_: Request) -> Response:
    """Reject a request and ask for a pause."""
    return make_response(503, b"", ((b"X-Not-Run", b"1"), (b"Retry-After", b"5")))


async def count_answers(harness: RouterHarness) -> Counter[int]:
    """Send requests on the route; return how often each status came."""
    statuses: Counter[int] = Counter()
    for _ in range(REQUESTS):
        statuses[(await harness.send_request()).status] += 1
    return statuses


def count_arrivals(harness: RouterHarness) -> Counter[str]:
    """Return how many requests reached each server."""
    return Counter(name for name, _ in harness.received)


# Guards against shares that differ from the weights while all servers are well.
def test_each_service_gets_its_share() -> None:
    async def scenario(harness: RouterHarness) -> None:
        await harness.add_server("one")
        await harness.add_server("two", service="t")
        harness.apply_update(shares=SHARES)
        assert await count_answers(harness) == {200: REQUESTS}
        assert count_arrivals(harness) == {"one": 30, "two": 10}

    run_scenario(scenario)


# Guards against requests of a service whose servers rest that go to the other service:
# they are rejected, as what the weights say holds then too.
def test_the_share_of_a_service_that_rests_is_rejected() -> None:
    async def scenario(harness: RouterHarness) -> None:
        await harness.add_server("one")
        await harness.add_server("two", answer_pause, service="t")
        harness.apply_update(shares=SHARES)
        assert await count_answers(harness) == {200: 30, 503: 10}
        assert count_arrivals(harness) == {"one": 30, "two": 1}

    run_scenario(scenario)


# Guards against the same where the service has lost its last server.
def test_the_share_of_a_service_without_servers_is_rejected() -> None:
    async def scenario(harness: RouterHarness) -> None:
        await harness.add_server("one")
        harness.apply_update(shares=SHARES)
        assert await count_answers(harness) == {200: 30, 503: 10}

    run_scenario(scenario)


# Guards against the same where the service is divided by key and the owner has gone.
def test_the_share_of_a_service_whose_owner_has_gone_is_rejected() -> None:
    async def scenario(harness: RouterHarness) -> None:
        await harness.add_server("one", service="t")
        await harness.add_server("two")
        harness.apply_update(shares=SHARES, owner="gone")
        statuses: Counter[int] = Counter()
        for _ in range(8):
            statuses[(await harness.send_request(left_ms=100)).status] += 1
        assert statuses == {200: 2, 503: 6}
        assert count_arrivals(harness) == {"one": 2}

    run_scenario(scenario)
