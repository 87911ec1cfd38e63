"""Tests of requests to servers that name a limit."""

from __future__ import annotations

from dragonflyrock.http import Request, Response

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
        await harness.add_server("one", answer_limited)
        harness.apply_update(owner="one")
        for number in range(80):
            harness.frozen_at = 100.0 + number / 20
            await harness.send_request()
        assert len(harness.received) <= LIMIT * 4 + 1

    run_scenario(scenario)
