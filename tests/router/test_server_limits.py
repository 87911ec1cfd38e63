"""Tests of requests to servers that name a limit."""

from __future__ import annotations

import asyncio

from dragonflyrock.http import Request, Response, find_header

from .harness import RouterHarness, answer_ok, run_scenario

LIMIT = 5.0


async def answer_limited(request: Request) -> Response:
    """Answer, and name the limit."""
    response = await answer_ok(request)
    limit = (b"X-Server-Limit", b"%.1f" % LIMIT)
    return response._replace(headers=(*response.headers, limit))


# Guards against an owner of keys that gets all requests, whatever limit it named.
def test_an_owner_gets_no_more_requests_than_its_limit_allows() -> None:
    async def scenario(harness: RouterHarness) -> None:
        harness.frozen_at = 100.0
        await harness.add_server("one", answer_limited)
        harness.apply_update(owner="one")
        for number in range(80):
            harness.frozen_at = 100.0 + number / 20
            await harness.send_request()
        assert len(harness.received) <= LIMIT * 4 + 1

    run_scenario(scenario)


# Guards against a request that waits for its connection while the limit is named, and
# is then sent without a token.
def test_a_limit_that_is_named_during_the_connect_counts() -> None:
    async def scenario(harness: RouterHarness) -> None:
        harness.frozen_at = 100.0
        row = await harness.add_server("one", answer_limited)
        harness.apply_update(owner="one")
        await harness.open_idle_connection(row.address)
        harness.delay_connections(0.05)
        # The first request has the idle connection; the others wait for new ones.
        responses = await asyncio.gather(*(harness.send_request() for _ in range(5)))
        assert [response.status for response in responses] == [200] + [503] * 4
        assert len(harness.received) == 1

    run_scenario(scenario)


# Guards against callers that are told to come back at once, and against a bound on the
# wait that hides when there is room.
def test_a_refusal_says_when_the_limit_has_room() -> None:
    async def scenario(harness: RouterHarness) -> None:
        harness.frozen_at = 100.0
        await harness.add_server("one", answer_limited)
        harness.apply_update(owner="one")
        assert (await harness.send_request()).status == 200
        refused = await harness.send_request()
        assert refused.status == 503
        value = find_header(refused.headers, b"retry-after")
        assert value is not None
        assert 0.2 <= float(value) <= 0.7
        harness.frozen_at = 100.21
        assert (await harness.send_request()).status == 200

    run_scenario(scenario)
