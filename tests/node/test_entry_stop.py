"""What an entry node does with requests after it was told to stop."""

from __future__ import annotations

import asyncio

import pytest

from .entry_scene import EntryScene, play_entry

# The answers of a host that gives a request back: not run, come again.
NOT_RUN = b"HTTP/1.1 503 "
WHOLE = b"HTTP/1.1 200 "


# Guards against LOST (incident inc1): a request taken late in the grace time was cut
# when the host ended, so its caller got a closed connection in place of an answer.
def test_a_request_taken_late_in_the_grace_time_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
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

    play_entry(monkeypatch, scene)
