"""A clock that stands still while an event loop works, and jumps while it waits."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final

__all__ = ["PausedClock", "run_paused"]

# Real time for bytes on loopback, and messages of other threads, to arrive.
SETTLE_SECONDS: Final = 0.003
IDLE_SECONDS: Final = 1.0


class PausedClock:
    """Seconds that pass only when the event loop has nothing left to do."""

    def __init__(self) -> None:
        """Start at some time that is not zero."""
        self.now = 1000.0

    def read(self) -> float:
        """Return the time."""
        return self.now


class _JumpingSelector(selectors.DefaultSelector):
    """Wait for files for a moment only, then let the clock jump to the next timer."""

    def __init__(self, clock: PausedClock) -> None:
        """Advance ``clock``."""
        super().__init__()
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the files that are ready; without any, advance the clock."""
        settle = SETTLE_SECONDS if timeout is None or timeout > 0 else 0
        ready = super().select(settle)
        if not ready and timeout is not None and timeout > 0:
            self._clock.now += min(timeout, IDLE_SECONDS)
        return ready


class _PausedLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is a paused clock's."""

    def __init__(self, clock: PausedClock) -> None:
        """Advance ``clock`` where nothing is left to do."""
        super().__init__(_JumpingSelector(clock))
        self._paused_clock = clock

    def time(self) -> float:
        """Return the clock's time."""
        return self._paused_clock.now


def run_paused(
    scene: Callable[[PausedClock], Awaitable[None]], limit: float = 60.0
) -> None:
    """Run a scene on an event loop whose time is a paused clock's.

    ``limit`` is the time of that clock after which the scene has failed.
    """
    clock = PausedClock()

    async def play() -> None:
        async with asyncio.timeout(limit):
            await scene(clock)

    with asyncio.Runner(loop_factory=lambda: _PausedLoop(clock)) as runner:
        runner.get_loop().set_exception_handler(_fail)
        runner.run(play())


def _fail(loop: asyncio.AbstractEventLoop, context: Mapping[str, Any]) -> None:
    """Raise what a callback of the loop raised."""
    error = context.get("exception")
    if isinstance(error, Exception):
        raise error
