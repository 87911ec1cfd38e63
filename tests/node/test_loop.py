"""The loop of a node, and its end."""

from __future__ import annotations

import asyncio

from .entry_scene import EntryScene, play_entry


# Guards against a tick that runs after the links are closed, and fails on them.
def test_no_tick_runs_after_the_end() -> None:
    async def scene(stage: EntryScene) -> None:
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context)
        )
        stage.node.stop()
        assert stage.running is not None
        await stage.running
        await asyncio.sleep(1.0)
        assert errors == []

    play_entry(scene)
