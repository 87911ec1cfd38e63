"""Hosts that are cut off from all servers, while others still reach them."""

from __future__ import annotations

import asyncio

import pytest

from dragonflyrock.drain import plan_drain
from dragonflyrock.http import Request, Response, find_header, make_response
from dragonflyrock.router.exchange import MAX_RELAYED_REQUESTS
from dragonflyrock.router.relay import DOCUMENT_VERSION
from dragonflyrock.routes import RouteKind

from .cut_off_hosts import (
    DETECTION_SECONDS,
    REFUSE,
    SERVER_NAMES,
    WAYS,
    Hosts,
    cut_off,
    cut_off_at_once,
    run_hosts,
)
from .harness import RouterHarness, run_scenario

# Of the first tries at the other hosts, all of which are served here.
MIN_SERVED_SHARE = 2 / 3


# Guards against callers that are refused by a host that has lost its links to all
# servers, while the other hosts reach them.
@pytest.mark.parametrize("owner", ["", "one"])
@pytest.mark.parametrize("way", WAYS)
def test_a_host_that_reaches_no_server_serves_its_callers(way: str, owner: str) -> None:
    async def scenario(hosts: Hosts) -> None:
        cut_off(hosts.cut, way)
        await hosts.wait_until_noticed()
        responses = await hosts.send_requests(30)
        served = sum(response.status == 200 for response in responses)
        assert served >= MIN_SERVED_SHARE * len(responses)

    run_hosts(scenario, owner)


# Guards against a request that goes round between hosts that all reach no server, and
# against a caller that waits for its deadline to hear that it has not run.
def test_hosts_that_all_reach_no_server_refuse_at_once() -> None:
    async def scenario(hosts: Hosts) -> None:
        for harness in (hosts.cut, hosts.other):
            cut_off_at_once(harness)
        loop = asyncio.get_running_loop()
        began = loop.time()
        responses = await hosts.send_requests(5)
        assert {response.status for response in responses} == {503}
        for response in responses:
            assert find_header(response.headers, b"retry-after") is not None
            assert find_header(response.headers, b"relay-refused") is None
        assert loop.time() - began < 0.4

    run_hosts(scenario)


# Guards against a booking that runs twice, or is said not to have run, as the host that
# had taken it was lost before it answered.
def test_a_relayed_booking_whose_answer_is_lost_is_not_sent_again() -> None:
    async def scenario(hosts: Hosts) -> None:
        cut_off_at_once(hosts.cut)
        relay = hosts.other.servers[-1]

        async def run_and_end(request: Request) -> Response:
            await hosts.other.router.handle_relayed(request)
            for connection in list(relay.connections):
                assert connection._transport is not None
                connection._transport.abort()
            return make_response(200)

        relay.handler = run_and_end
        runs = len(hosts.other.received)
        response = await hosts.cut.send_request()
        assert response.status == 502
        assert len(hosts.other.received) == runs + 1

    run_hosts(scenario, kind=RouteKind.ONCE)


# Guards against headers that concern only the caller's connection and reach a server by
# way of another host.
def test_a_relayed_request_has_no_headers_of_the_callers_connection() -> None:
    async def scenario(hosts: Hosts) -> None:
        cut_off_at_once(hosts.cut)
        assert (await hosts.cut.send_request()).status == 200
        _, request = hosts.other.received[-1]
        names = {name.lower() for name, _ in request.headers}
        assert b"x-other" in names
        assert not names & {b"x-secret", b"connection", b"relay-earlier-sends"}

    run_hosts(scenario)


# Guards against requests that go on to a host that was lost, one after the other,
# though each is answered 502.
def test_a_host_that_was_lost_gets_no_more_relayed_requests_for_a_while() -> None:
    async def scenario(hosts: Hosts) -> None:
        cut_off_at_once(hosts.cut)
        relay = hosts.other.servers[-1]
        taken: list[Request] = []

        async def end(request: Request) -> Response:
            taken.append(request)
            for connection in list(relay.connections):
                assert connection._transport is not None
                connection._transport.abort()
            return make_response(200)

        relay.handler = end
        statuses = [(await hosts.cut.send_request()).status for _ in range(5)]
        assert len(taken) == 1
        assert statuses == [502, 503, 503, 503, 503]

    run_hosts(scenario, kind=RouteKind.ONCE)


# Guards against an answer that a request has not run, from a host that refused it,
# after this host had sent it to a server that may have run it.
def test_a_refusal_of_another_host_does_not_hide_an_earlier_send() -> None:
    async def scenario(hosts: Hosts) -> None:
        relay = hosts.other.servers[-1]

        async def refuse(request: Request) -> Response:
            return make_response(503, b"busy", ((b"Retry-After", b"1"),))

        async def lose_link(request: Request) -> Response:
            hosts.cut.router.reach.is_cut_off = True
            for server in hosts.other.servers[:-1]:
                for connection in server.connections:
                    assert connection._transport is not None
                    connection._transport.abort()
            return make_response(200)

        relay.handler = refuse
        for server in hosts.other.servers[: len(SERVER_NAMES)]:
            server.handler = lose_link
        response = await hosts.cut.send_request()
        assert response.status == 502

    run_hosts(scenario)


# Guards against a server that goes on with a relayed request after its caller has left.
def test_a_caller_that_leaves_ends_its_relayed_request() -> None:
    async def scenario(hosts: Hosts) -> None:
        cut_off_at_once(hosts.cut)
        relay = hosts.other.servers[-1]
        ended = asyncio.Event()

        async def wait_for_end(request: Request) -> Response:
            try:
                await asyncio.sleep(5)
            finally:
                ended.set()
            return make_response(200)

        relay.handler = wait_for_end
        caller = asyncio.create_task(hosts.cut.send_request())
        await asyncio.sleep(0.1)
        caller.cancel()
        async with asyncio.timeout(0.5):
            await ended.wait()

    run_hosts(scenario)


# Guards against a host that is overwhelmed by the requests of those that are cut off.
def test_a_host_takes_a_bounded_number_of_relayed_requests() -> None:
    async def scenario(hosts: Hosts) -> None:
        router = hosts.other.router
        router._relayed_count = MAX_RELAYED_REQUESTS
        refused = await router.handle_relayed(Request(b"GET", b"/p/x", (), b""))
        assert refused.status == 503
        assert find_header(refused.headers, b"relay-refused") is not None
        assert router._relayed_count == MAX_RELAYED_REQUESTS

    run_hosts(scenario)


# Guards against more sends to servers than the route allows, counted over both hosts,
# and against a deadline that begins anew at the second host.
def test_sends_and_time_left_are_counted_over_both_hosts() -> None:
    async def scenario(hosts: Hosts) -> None:
        for server in hosts.other.servers[: len(SERVER_NAMES)]:
            server.handler = _answer_garbage
        headers = (
            (b"Host", b"h"),
            (b"X-Request-Id", b"id-1"),
            (b"X-Request-Timeout-Ms", b"250"),
            (b"Relay-Earlier-Sends", b"1"),
        )
        request = Request(b"GET", b"/p/x", headers, b"")
        response = await hosts.other.router.handle_relayed(request)
        assert response.status == 502
        (sent,) = _SENT
        assert find_header(sent.headers, b"relay-earlier-sends") is None
        assert int(find_header(sent.headers, b"x-request-timeout-ms") or b"") <= 250

    _SENT.clear()
    run_hosts(scenario)


_SENT: list[Request] = []


async def _answer_garbage(request: Request) -> Response:
    """Answer without a signature, which is no valid answer."""
    _SENT.append(request)
    return make_response(200, b"?")


# Guards against a host that goes on relaying, or refusing, once it reaches servers.
def test_a_host_that_reaches_servers_again_sends_to_them() -> None:
    async def scenario(hosts: Hosts) -> None:
        connect = hosts.cut.connections._open
        cut_off(hosts.cut, REFUSE)
        hosts.cut.connections.close()
        await hosts.wait_until_noticed()
        assert hosts.cut.router.reach.is_cut_off
        hosts.cut.connections._open = connect  # type: ignore[method-assign]
        async with asyncio.timeout(DETECTION_SECONDS):
            while hosts.cut.router.reach.is_cut_off:
                hosts.cut.tick()
                await asyncio.sleep(0.02)
        kinds = {str(line["event"]) for line in hosts.cut.read_lines("servers-")}
        assert kinds == {"servers-lost", "servers-regained"}

    run_hosts(scenario)


# Guards against requests that are quarantined on all hosts, although it was this host
# that lost its links to the servers that ran them.
def test_a_host_that_lost_its_links_blames_no_request() -> None:
    async def scenario(hosts: Hosts) -> None:
        async def lose_link(request: Request) -> Response:
            await asyncio.sleep(0.05)
            cut_off(hosts.cut, REFUSE)
            for server in hosts.other.servers:
                for connection in server.connections:
                    assert connection._transport is not None
                    connection._transport.abort()
            return make_response(200)

        for server in hosts.other.servers[: len(SERVER_NAMES)]:
            server.handler = lose_link
        await hosts.send_requests(5)
        await asyncio.sleep(1.0)
        assert hosts.cut.crash_reports.crashed_servers == []

    run_hosts(scenario)


# Guards against LOST: a request of another host that waits when this one begins to stop
# is sent late, and is cut at the end. The other host may ask a third one instead.
def test_a_waiting_relayed_request_that_may_outlast_the_host_is_refused() -> None:
    async def scenario(harness: RouterHarness) -> None:
        await harness.add_server("s1")
        harness.apply_update(RouteKind.ONCE)
        harness.delay_connections(0.2)
        headers = (
            (b"Host", b"h"),
            (b"X-Request-Id", b"id-1"),
            (b"X-Request-Timeout-Ms", b"800"),
            (DOCUMENT_VERSION, b"1"),
        )
        request = Request(b"GET", b"/p/x", headers, b"")
        relayed = asyncio.create_task(harness.router.handle_relayed(request))
        await asyncio.sleep(0.1)
        harness.router.drain = plan_drain(harness.clock(), 0.6)
        response = await relayed
        assert response.status == 503
        assert find_header(response.headers, b"relay-refused") is not None
        assert harness.received == []
        assert harness.connections.count_idle(harness.rows["s1"].address) == 1

    run_scenario(scenario)


# Guards against one lost request for each idle connection to another host, after all of
# them fell silent for good while new ones work.
def test_a_silent_connection_to_a_host_ends_the_other_idle_ones() -> None:
    async def scenario(hosts: Hosts) -> None:
        cut_off_at_once(hosts.cut)
        await hosts.send_requests(5)
        relayer = hosts.cut.router.relayer
        idle = [c for each in relayer._connections._idle.values() for c in each]
        assert len(idle) > 2
        for connection in idle:
            connection._send = lambda request: None  # type: ignore[method-assign]
        statuses = []
        for _ in range(3):
            statuses.append((await hosts.cut.send_request(left_ms=200)).status)
            relayer._unfit_until.clear()
        assert statuses.count(200) == 2

    run_hosts(scenario)
