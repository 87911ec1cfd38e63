"""Tests of servers that say in a response that they leave, or want a pause."""

from __future__ import annotations

import asyncio

import pytest

from dragonflyrock.http import Request, Response, find_header, make_response
from dragonflyrock.router.decision import LEAVING_GRACE_SECONDS

from .harness import RouterHarness, answer_ok, run_scenario


async def answer_leaving(request: Request) -> Response:
    """Answer, and say that the server leaves."""
    response = await answer_ok(request)
    return response._replace(headers=(*response.headers, (b"X-Server-Leaving", b"1")))


def make_pausing_handler(value: bytes) -> tuple[list[bytes], object]:
    """Return the Retry-After values still to be sent, and a handler that sends them."""
    values = [value]

    async def handle(request: Request) -> Response:
        if not values:
            return await answer_ok(request)
        headers = ((b"X-Not-Run", b"1"), (b"Retry-After", values.pop()))
        return make_response(503, b"", headers)

    return values, handle


def read_retry_after(response: Response) -> float:
    """Return the seconds after which a caller is asked to come back."""
    value = find_header(response.headers, b"retry-after")
    assert value is not None
    return float(value)


# Guards against new work for a server that said it leaves, until a row says so too, and
# against an older row that undoes it.
def test_a_server_that_leaves_gets_nothing_from_the_next_decision_on() -> None:
    async def scenario(harness: RouterHarness) -> None:
        await harness.add_server("one", answer_leaving)
        harness.apply_update()
        response = await harness.send_request()
        assert response.status == 200
        assert find_header(response.headers, b"x-server-leaving") == b"1"
        await harness.add_server("two")
        harness.apply_update()
        for _ in range(20):
            assert (await harness.send_request()).status == 200
        assert [name for name, _ in harness.received].count("one") == 1
        assert harness.state.list_leaving_servers() == ("one@0",)

    run_scenario(scenario)


# Guards against keys without service while they move from a server that leaves, and
# against requests to it after the grace period.
def test_an_owner_that_leaves_gets_requests_for_a_short_time() -> None:
    async def scenario(harness: RouterHarness) -> None:
        await harness.add_server("one", answer_leaving)
        harness.apply_update(owner="one")
        assert (await harness.send_request()).status == 200
        assert (await harness.send_request()).status == 200
        await asyncio.sleep(LEAVING_GRACE_SECONDS + 0.05)
        assert (await harness.send_request()).status == 503
        assert len(harness.received) == 2
        counted = harness.metrics.turned_away.labels("s", "leaving").value
        assert counted >= 1

    run_scenario(scenario)


# Guards against requests to a server during the pause that it asked for.
def test_a_server_that_asks_for_a_pause_gets_nothing_until_it_is_over() -> None:
    async def scenario(harness: RouterHarness) -> None:
        _, handle = make_pausing_handler(b"3")
        await harness.add_server("one", handle)  # type: ignore[arg-type]
        harness.apply_update()
        harness.frozen_at = 100.0
        first = await harness.send_request()
        assert first.status == 503
        harness.frozen_at = 101.0
        refused = await harness.send_request()
        assert refused.status == 503
        assert 2.0 <= read_retry_after(refused) <= 3.5
        assert len(harness.received) == 1
        harness.frozen_at = 104.01
        assert (await harness.send_request()).status == 200
        assert harness.metrics.turned_away.labels("s", "paused").value == 2

    run_scenario(scenario)


# Guards against a request that is refused although another server could run it.
def test_a_request_that_is_turned_away_goes_to_another_server() -> None:
    async def scenario(harness: RouterHarness) -> None:
        _, handle = make_pausing_handler(b"3")
        await harness.add_server("one", handle)  # type: ignore[arg-type]
        harness.apply_update()
        harness.state.get_budget("s").count_request(harness.clock())
        await harness.add_server("two", answer_ok)
        harness.apply_update()
        for _ in range(10):
            assert (await harness.send_request()).status == 200
        assert [name for name, _ in harness.received].count("one") <= 1

    run_scenario(scenario)


# Guards against a value that cannot be read and is ignored, or closes the server for
# much longer than a second.
def test_an_unreadable_pause_is_a_short_one() -> None:
    async def scenario(harness: RouterHarness) -> None:
        _, handle = make_pausing_handler(b"soon")
        await harness.add_server("one", handle)  # type: ignore[arg-type]
        harness.apply_update()
        harness.frozen_at = 100.0
        assert (await harness.send_request()).status == 503
        harness.frozen_at = 100.9
        assert (await harness.send_request()).status == 503
        harness.frozen_at = 101.6
        assert (await harness.send_request()).status == 200
        assert len(harness.received) == 2

    run_scenario(scenario)


# Guards against the owner of a key that gets requests during its pause, and callers
# that are told to come back before it is over.
def test_an_owner_that_asks_for_a_pause_gets_nothing() -> None:
    async def scenario(harness: RouterHarness) -> None:
        _, handle = make_pausing_handler(b"5")
        await harness.add_server("one", handle)  # type: ignore[arg-type]
        harness.apply_update(owner="one")
        harness.frozen_at = 100.0
        first = await harness.send_request()
        assert first.status == 503
        assert 5.0 <= read_retry_after(first) <= 6.5
        harness.frozen_at = 104.0
        assert 1.0 <= read_retry_after(await harness.send_request()) <= 2.5
        assert len(harness.received) == 1

    run_scenario(scenario)


# Guards against a host that was told a limit and of which no line shows it.
def test_lines_and_metrics_show_the_limit_that_a_server_named() -> None:
    values = [b"nan", b"2.50", b"2.5"]

    async def handle(request: Request) -> Response:
        response = await answer_ok(request)
        if not values:
            return response
        limit = (b"X-Server-Limit", values.pop(0))
        return response._replace(headers=(*response.headers, limit))

    async def scenario(harness: RouterHarness) -> None:
        harness.frozen_at = 100.0
        await harness.add_server("one", handle)
        harness.apply_update()
        for _ in range(4):
            harness.frozen_at += 10
            assert (await harness.send_request()).status == 200
        events = [
            (line["event"], line.get("per_second"), line.get("detail", ""))
            for line in harness.read_lines("server-limit")
        ]
        assert events == [
            ("server-limited", None, "Server-Limit: not a decimal number"),
            ("server-limited", 2.5, ""),
            ("server-limit-ended", None, ""),
        ]
        assert harness.metrics.limited_sends.labels("s").value == 2

    run_scenario(scenario)


# Guards against a server whose row goes and comes back, as if its heartbeats were late,
# and which then gets requests although it leaves or wants a pause.
def test_what_a_server_said_outlasts_the_loss_of_its_row() -> None:
    async def scenario(harness: RouterHarness) -> None:
        harness.frozen_at = 100.0
        row = await harness.add_server("one")
        other = await harness.add_server("two")
        harness.apply_update()
        harness.state.leaving.record_response(row, 100.0)
        harness.state.pauses.record(other, 5.0, 100.0)
        harness.state.rates.record_limit(other, 1.0)
        rows, harness.rows = harness.rows, {}
        harness.apply_update()
        harness.tick()
        harness.frozen_at = 102.0
        harness.rows = rows
        harness.apply_update()
        assert harness.state.leaving.find(row) is not None
        assert harness.state.pauses.get_seconds_left(other, 102.0) == pytest.approx(3.0)
        assert harness.state.rates.find_limit(other) is not None
        assert (await harness.send_request()).status == 503
        assert harness.received == []

    run_scenario(scenario)


# Guards against what the next server at an address says, which would bind the server
# that had the address before.
def test_what_another_server_at_the_address_says_does_not_count() -> None:
    async def answer_as_another(request: Request) -> Response:
        headers = (
            (b"X-Not-Run", b"1"),
            (b"X-Server-Name", b"two"),
            (b"X-Server-Leaving", b"1"),
            (b"X-Server-Limit", b"1"),
            (b"Retry-After", b"5"),
        )
        return make_response(503, b"", headers)

    async def scenario(harness: RouterHarness) -> None:
        row = await harness.add_server("one", answer_as_another)
        harness.apply_update()
        assert (await harness.send_request()).status == 503
        state = harness.state
        assert state.leaving.find(row) is None
        assert state.rates.find_limit(row) is None
        assert state.pauses.get_seconds_left(row, harness.clock()) == 0

    run_scenario(scenario)
