"""Servers that reset new connections, as they have as many as they take."""

from __future__ import annotations

from dragonflyrock.http import find_header
from dragonflyrock.routes import RouteKind

# In real time a delayed event loop may not process the reset before the request is
# sent, so these tests use a paused clock.
from .harness import RouterHarness, run_scenario


# Guards against a request that is written to a connection which the server resets at
# once: nobody can tell whether it has run, and an unsafe one is lost to the caller.
def test_an_unsafe_request_goes_to_another_server_after_a_reset_connection() -> None:
    async def scenario(harness: RouterHarness) -> None:
        await harness.add_full_server("full")
        await harness.add_server("free")
        harness.apply_update(RouteKind.ONCE)
        for _ in range(8):
            response = await harness.send_request()
            assert response.status == 200
        assert len(harness.received) == 8
        assert harness.turned_away

    run_scenario(scenario, paused=True)


# Guards against a 502, after which callers cannot repeat an unsafe request, although
# its owner got nothing of it.
def test_an_unsafe_request_is_refused_as_not_run_if_its_owner_turns_it_away() -> None:
    async def scenario(harness: RouterHarness) -> None:
        await harness.add_full_server("full")
        harness.apply_update(RouteKind.ONCE, owner="full")
        response = await harness.send_request()
        assert response.status == 503
        assert find_header(response.headers, b"retry-after") is not None
        # The next one is refused at once, as the server is known to be full.
        before = harness.turned_away
        assert (await harness.send_request()).status == 503
        assert harness.turned_away == before

    run_scenario(scenario, paused=True)


# Guards against a pause of a server that is full for a moment, as if it were down.
def test_a_server_that_turned_a_connection_away_is_not_taken_for_unreachable() -> None:
    async def scenario(harness: RouterHarness) -> None:
        await harness.add_full_server("full")
        harness.apply_update(RouteKind.ONCE, owner="full")
        await harness.send_request()
        assert harness.state.stats["full"].down_until <= harness.clock()
        assert harness.state.stats["full"].consecutive_failures == 0

    run_scenario(scenario, paused=True)
