"""What an entry node does with requests after it was told to stop."""

from __future__ import annotations

import asyncio

import pytest

from dragonflyrock.drain import LAST_ARRIVAL_SECONDS

from .entry_scene import EntryScene, play_entry

# The answers of a host that gives a request back: not run, come again.
NOT_RUN = b"HTTP/1.1 503 "
WHOLE = b"HTTP/1.1 200 "


# Guards against LOST (incident inc1): a request taken late in the grace time was cut
# when the host ended, so its caller got a closed connection in place of an answer.
def test_a_request_taken_late_in_the_grace_time_is_answered() -> None:
    async def scene(stage: EntryScene) -> None:
        stage.work_seconds = 0.5
        busy = await stage.open()
        stage.node.stop()
        await asyncio.sleep(0.05)
        # The balancer still sends connections here, each of which asks once.
        answers = []
        pending = set()
        for _ in range(52):
            try:
                caller = await stage.open()
            except OSError:
                break
            pending.add(asyncio.create_task(caller.ask(1500)))
            await asyncio.sleep(0.1)
        for task in pending:
            answers.append(await task)
        busy.close()
        assert answers
        assert all(answer.startswith((WHOLE, NOT_RUN)) for answer in answers), answers
        assert stage.cancelled == 0

    play_entry(scene)


# Guards against a kept connection that stays open and unused until the host ends: its
# next request would arrive when it can no longer be answered.
def test_an_idle_kept_connection_is_served_first_and_closed_later() -> None:
    async def scene(stage: EntryScene) -> None:
        used, unused = await stage.open(), await stage.open()
        assert (await used.ask(1500)).startswith(WHOLE)
        assert (await unused.ask(1500)).startswith(WHOLE)
        stage.node.stop()
        await asyncio.sleep(1.0)
        answer = await used.ask(1500)
        assert answer.startswith(WHOLE)
        assert b"Connection: close" in answer
        began = stage.clock.now
        assert await unused.read_end() == b""
        assert stage.clock.now - began < LAST_ARRIVAL_SECONDS
        used.close()
        unused.close()

    play_entry(scene)


# Guards against a request that crosses the end of the last arrivals: one that may last
# longer than the host is refused as not run, and never sent.
def test_a_request_that_may_outlast_the_host_is_not_run() -> None:
    async def scene(stage: EntryScene) -> None:
        stage.work_seconds = 2.0
        first = await stage.open()
        stage.node.stop()
        await asyncio.sleep(LAST_ARRIVAL_SECONDS - 0.2)
        under_way = asyncio.create_task(first.ask(2500))
        late, fits = await stage.open(), await stage.open()
        await asyncio.sleep(0.22)
        stage.work_seconds = 0.1
        refused = await late.ask(4000)
        assert refused.startswith(NOT_RUN)
        assert b"Retry-After" in refused
        assert (await fits.ask(1000)).startswith(WHOLE)
        assert (await under_way).startswith(WHOLE)
        assert len(stage.started) == 2

    play_entry(scene)


# Guards against work that is cut at the end without a word to its caller, and against
# telling it as not run: the server had begun it.
def test_a_request_that_outlasts_the_grace_time_is_answered_as_not_known() -> None:
    async def scene(stage: EntryScene) -> None:
        stage.work_seconds = 30.0
        caller = await stage.open()
        stage.node.stop()
        await asyncio.sleep(2.0)
        answer = await caller.ask(20_000)
        assert answer.startswith(b"HTTP/1.1 50")
        assert not answer.startswith(NOT_RUN)
        await asyncio.sleep(0.1)
        assert stage.cancelled == 1

    play_entry(scene)


# Guards against a short grace time of which a third was kept for the end: a request
# taken just after the signal was cut while its server was at work.
def test_a_short_grace_time_is_used_for_requests_under_way() -> None:
    async def scene(stage: EntryScene) -> None:
        stage.work_seconds = 1.2
        caller = await stage.open()
        stage.node.stop()
        await asyncio.sleep(0.3)
        answer = await caller.ask(1500)
        assert answer.startswith((WHOLE, NOT_RUN)), answer

    play_entry(scene, grace_seconds=2.0)


# Guards against a grace time counted from when a busy event loop hears of the signal:
# the host would be killed before its end.
def test_the_grace_time_is_counted_from_the_signal() -> None:
    async def scene(stage: EntryScene) -> None:
        stage.work_seconds = 30.0
        caller = await stage.open()
        told = stage.clock.now
        stage.node.record_stop_request()
        stage.clock.now += 0.5
        stage.node.stop()
        await asyncio.sleep(1.5)
        await caller.ask(20_000)
        assert stage.running is not None
        await stage.running
        assert stage.clock.now - told < 6.0 - 0.3

    play_entry(scene)


# Guards against a time-out that expires in the turn in which the host ends: the request
# was told as one whose client left, and its connection closed.
@pytest.mark.parametrize("left_ms", [2600, 2700, 2750, 2790])
def test_a_request_cut_by_a_late_loop_is_answered(left_ms: int) -> None:
    async def scene(stage: EntryScene) -> None:
        stage.work_seconds = 30.0
        caller = await stage.open()
        stopped = stage.clock.now
        stage.node.stop()
        await asyncio.sleep(2.5)
        asking = asyncio.create_task(caller.ask(left_ms))

        def stall() -> None:
            stage.clock.now += 0.5

        asyncio.get_running_loop().call_at(stopped + 5.06, stall)
        answer = await asking
        assert answer.startswith(b"HTTP/1.1 50"), answer
        assert not answer.startswith(NOT_RUN)

    play_entry(scene)


# Guards against a host that ends while a request waits for its first rows.
def test_a_request_that_waits_for_the_first_rows_is_refused_at_the_end() -> None:
    async def scene(stage: EntryScene) -> None:
        stage.node.state.tables.document_version = 0
        caller = await stage.open()
        asking = asyncio.create_task(caller.ask(10_000))
        await asyncio.sleep(0.1)
        stage.node.stop()
        assert (await asking).startswith(NOT_RUN)

    play_entry(scene, grace_seconds=2.0)
