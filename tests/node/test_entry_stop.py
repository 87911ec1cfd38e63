"""Tests of requests to an entry node that is stopping."""

from __future__ import annotations

import asyncio

import pytest

from dragonflyrock.drain import LAST_ARRIVAL_SECONDS

from .entry_harness import EntryHarness, run_scenario

# The response to a request that was not run and may be sent again.
NOT_RUN = b"HTTP/1.1 503 "
SUCCESS = b"HTTP/1.1 200 "


# Guards against LOST (incident inc1): a request accepted late in the grace period was
# cut when the host ended, so its caller got a closed connection instead of a response.
def test_a_request_accepted_late_in_the_grace_period_is_answered() -> None:
    async def scenario(harness: EntryHarness) -> None:
        harness.work_seconds = 0.5
        busy = await harness.open()
        harness.node.stop()
        await asyncio.sleep(0.05)
        # The load balancer still opens connections here, for one request each.
        responses = []
        pending = set()
        for _ in range(52):
            try:
                caller = await harness.open()
            except OSError:
                break
            pending.add(asyncio.create_task(caller.send_request(1500)))
            await asyncio.sleep(0.1)
        for task in pending:
            responses.append(await task)
        busy.close()
        assert responses
        assert all(response.startswith((SUCCESS, NOT_RUN)) for response in responses), (
            responses
        )
        assert harness.cancelled == 0

    run_scenario(scenario)


# Guards against a keep-alive connection that stays open and idle until the host ends:
# its next request would arrive when it can no longer be answered.
def test_an_idle_keep_alive_connection_is_served_first_and_closed_later() -> None:
    async def scenario(harness: EntryHarness) -> None:
        used, unused = await harness.open(), await harness.open()
        assert (await used.send_request(1500)).startswith(SUCCESS)
        assert (await unused.send_request(1500)).startswith(SUCCESS)
        harness.node.stop()
        await asyncio.sleep(1.0)
        response = await used.send_request(1500)
        assert response.startswith(SUCCESS)
        assert b"Connection: close" in response
        began = harness.clock.now
        assert await unused.read_to_end() == b""
        assert harness.clock.now - began < LAST_ARRIVAL_SECONDS
        used.close()
        unused.close()

    run_scenario(scenario)


# Guards against sending a server a request that arrives late in the grace period and
# may run longer than the host. Such a request is refused as not run.
def test_a_request_that_may_outlast_the_host_is_not_run() -> None:
    async def scenario(harness: EntryHarness) -> None:
        harness.work_seconds = 2.0
        first = await harness.open()
        harness.node.stop()
        await asyncio.sleep(LAST_ARRIVAL_SECONDS - 0.2)
        in_progress = asyncio.create_task(first.send_request(2500))
        late, fits = await harness.open(), await harness.open()
        await asyncio.sleep(0.22)
        harness.work_seconds = 0.1
        refused = await late.send_request(4000)
        assert refused.startswith(NOT_RUN)
        assert b"Retry-After" in refused
        assert (await fits.send_request(1000)).startswith(SUCCESS)
        assert (await in_progress).startswith(SUCCESS)
        assert len(harness.started) == 2

    run_scenario(scenario)


# Guards against a request that is cut at the end without a response, and against a
# response that says that it was not run: the server had begun it before the signal.
def test_a_request_that_outlasts_the_grace_period_is_answered_as_unknown() -> None:
    async def scenario(harness: EntryHarness) -> None:
        harness.work_seconds = 30.0
        caller = await harness.open()
        request = asyncio.create_task(caller.send_request(20_000))
        await asyncio.sleep(0.1)
        harness.node.stop()
        response = await request
        assert response.startswith(b"HTTP/1.1 50")
        assert not response.startswith(NOT_RUN)
        await asyncio.sleep(0.1)
        assert harness.cancelled == 1

    run_scenario(scenario)


# Guards against a reserve of a third of a short grace period for the process to exit: a
# request accepted just after the signal was cut while its server was processing it.
def test_a_short_grace_period_is_used_for_requests_in_progress() -> None:
    async def scenario(harness: EntryHarness) -> None:
        harness.work_seconds = 1.2
        caller = await harness.open()
        harness.node.stop()
        await asyncio.sleep(0.3)
        response = await caller.send_request(1500)
        assert response.startswith((SUCCESS, NOT_RUN)), response

    run_scenario(scenario, grace_seconds=2.0)


# Guards against a grace period counted from the time at which a busy event loop handles
# the signal: the host would be killed before it ends by itself.
def test_the_grace_period_is_counted_from_the_signal() -> None:
    async def scenario(harness: EntryHarness) -> None:
        harness.work_seconds = 30.0
        caller = await harness.open()
        request = asyncio.create_task(caller.send_request(20_000))
        await asyncio.sleep(0.1)
        stop_requested_at = harness.clock.now
        harness.node.record_stop_request()
        harness.clock.now += 0.5
        harness.node.stop()
        await request
        assert len(harness.started) == 1
        assert harness.running is not None
        await harness.running
        assert harness.clock.now - stop_requested_at < 6.0 - 0.3

    run_scenario(scenario)


# Guards against a timeout that expires in the event loop iteration in which the host
# ends: the host assumed that the caller had left, and closed its connection.
@pytest.mark.parametrize("left_ms", [2600, 2700, 2750, 2790])
def test_a_request_cut_by_a_late_loop_is_answered(left_ms: int) -> None:
    async def scenario(harness: EntryHarness) -> None:
        harness.work_seconds = 30.0
        caller = await harness.open()
        stop_requested_at = harness.clock.now
        harness.node.stop()
        await asyncio.sleep(2.5)
        request = asyncio.create_task(caller.send_request(left_ms))

        def stall() -> None:
            harness.clock.now += 0.5

        asyncio.get_running_loop().call_at(stop_requested_at + 5.06, stall)
        response = await request
        assert response.startswith(b"HTTP/1.1 50"), response
        assert not response.startswith(NOT_RUN)

    run_scenario(scenario)


# Guards against a host that ends without a response to a request that waits for the
# host's first rows.
def test_a_request_that_waits_for_the_first_rows_is_refused_at_the_end() -> None:
    async def scenario(harness: EntryHarness) -> None:
        harness.node.state.tables.document_version = 0
        caller = await harness.open()
        request = asyncio.create_task(caller.send_request(10_000))
        await asyncio.sleep(0.1)
        harness.node.stop()
        assert (await request).startswith(NOT_RUN)

    run_scenario(scenario, grace_seconds=2.0)
