"""Tests of the event loop integration of a node."""

from __future__ import annotations

import asyncio

from .entry_harness import EntryHarness, run_scenario


# Guards against a tick that runs after the links are closed and fails, as it uses them.
def test_no_tick_runs_after_the_end() -> None:
    async def scenario(harness: EntryHarness) -> None:
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context)
        )
        harness.node.stop()
        assert harness.running is not None
        await harness.running
        await asyncio.sleep(1.0)
        assert errors == []

    run_scenario(scenario)
