"""Idle connections that many hosts keep to one server."""

from __future__ import annotations

import asyncio

import pytest

from dragonflyrock.http import Request, Response
from dragonflyrock.router.state import IDLE_CONNECTION_SHARE

from .harness import RouterHarness, answer_ok, run_scenario

# What the harness's services name.
MAX_CONNECTIONS = 100
BURST = 12


async def answer_late(request: Request) -> Response:
    """Answer once all requests of a burst are under way."""
    await asyncio.sleep(0.05)
    return await answer_ok(request)


# Guards against a server that resets new connections since all it takes are idle: each
# host of many keeps what it needed for one burst.
@pytest.mark.parametrize("host_count", [1, 11, 80])
def test_all_hosts_keep_fewer_idle_connections_than_a_server_takes(
    host_count: int,
) -> None:
    async def scenario(harness: RouterHarness) -> None:
        harness.hosts = tuple(f"host-{n}" for n in range(host_count))
        row = await harness.add_server("one", answer_late)
        harness.apply_update(owner="one")
        harness.state.stats["one"].slots = BURST
        answers = await asyncio.gather(*[harness.send_request() for _ in range(BURST)])
        assert all(answer.status == 200 for answer in answers)
        kept = harness.connections.count_idle(row.address)
        assert kept >= 1
        assert kept == 1 or kept * host_count <= MAX_CONNECTIONS * IDLE_CONNECTION_SHARE

    run_scenario(scenario, paused=True)


# Guards against one new connection for each request, where a server takes few
# connections for the number of hosts.
def test_a_host_keeps_one_connection_where_its_share_is_below_one() -> None:
    async def scenario(harness: RouterHarness) -> None:
        harness.hosts = tuple(f"host-{n}" for n in range(300))
        row = await harness.add_server("one")
        harness.apply_update(owner="one")
        for _ in range(3):
            assert (await harness.send_request()).status == 200
            assert harness.connections.count_idle(row.address) == 1

    run_scenario(scenario, paused=True)


async def answer_late_and_keep_alive(request: Request) -> Response:
    """Answer late, and allow connections to be idle for a minute."""
    response = await answer_late(request)
    keep_alive = (b"Keep-Alive", b"timeout=60")
    return response._replace(headers=(*response.headers, keep_alive))


# Guards against one lost request for each idle connection to a server, after all of
# them fell silent for good while new ones work.
def test_a_silent_connection_ends_the_other_idle_ones() -> None:
    async def scenario(harness: RouterHarness) -> None:
        row = await harness.add_server("one", answer_late_and_keep_alive)
        harness.apply_update()
        harness.state.stats["one"].slots = BURST
        await asyncio.gather(*[harness.send_request() for _ in range(BURST)])
        idle = harness.connections._idle[row.address]
        assert len(idle) > 2
        for connection in idle:
            connection._send = lambda request: None  # type: ignore[method-assign]
        statuses = []
        for _ in range(3):
            statuses.append((await harness.send_request(left_ms=200)).status)
            # The server's pause is over.
            harness.state.stats["one"].down_until = 0.0
        assert statuses.count(200) == 2

    run_scenario(scenario)
