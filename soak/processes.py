"""The programs under test: started, signalled and watched from outside."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
from pathlib import Path
from typing import Final

from . import wire
from .const import GRACE_SECONDS
from .history import History
from .layout import Layout, NodePlace, write_settings
from .models import Ended, Started

__all__ = ["NodeProcess"]

ROOT: Final = Path(__file__).resolve().parents[1]
PROGRAM: Final = ROOT / "deploy" / "node.py"


class NodeProcess:
    """One node's process over its restarts."""

    def __init__(
        self, layout: Layout, place: NodePlace, folder: Path, history: History
    ) -> None:
        """Prepare a node that keeps its files in ``folder``."""
        self.place = place
        self.data = folder / f"{place.name}-data"
        self.log = folder / f"{place.name}.log"
        self.down = False
        self._settings = folder / f"{place.name}.toml"
        self._layout = layout
        self._history = history
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None
        self._asked_at = -1.0
        self._killed = False
        self._slack = 60

    @property
    def pid(self) -> int:
        """Return the number of the running process, or 0."""
        process = self._process
        return 0 if process is None or process.returncode is not None else process.pid

    def write_settings(self, forming: bool = False, change: bool = False) -> None:
        """Write the settings file, with another value if ``change`` is set."""
        self._slack += int(change)
        write_settings(
            self._settings, self._layout, self.place, self.data, forming, self._slack
        )

    async def start(self, forming: bool = False) -> None:
        """Start the program."""
        if self.pid:
            return
        self.write_settings(forming)
        self._asked_at, self._killed, self.down = -1.0, False, False
        environment = {wire.SETTINGS_VARIABLE: str(self._settings)}
        environment["PATH"] = os.environ.get("PATH", "")
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, str(PROGRAM), env=environment, stdout=log, stderr=log
            )
        self._history.add(Started(self._history.now(), self.place.name))
        self._watch = asyncio.create_task(self._note_end(self._process))

    async def _note_end(self, process: asyncio.subprocess.Process) -> None:
        """Record how the process ends."""
        code = await process.wait()
        self._history.add(
            Ended(
                self._history.now(),
                self.place.name,
                code,
                self._asked_at,
                self._killed,
            )
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if not self.pid or self._process is None:
            return
        if number == signal.SIGTERM and self._asked_at < 0:
            self._asked_at = self._history.now()
        if number == signal.SIGKILL:
            self._killed = True
        self._process.send_signal(number)

    async def wait(self) -> None:
        """Wait until the process has ended and its end is recorded."""
        if self._watch is not None:
            await self._watch

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace time."""
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await asyncio.shield(self.wait())
        except TimeoutError:
            await self.kill()

    async def kill(self) -> None:
        """Send SIGKILL, and wait for the end."""
        self.send_signal(signal.SIGKILL)
        await self.wait()

    def empty(self) -> None:
        """Empty the data folder of a process that has ended."""
        shutil.rmtree(self.data, ignore_errors=True)

    def flip(self, position: float) -> bool:
        """Change one byte of the log, at a share of its length."""
        for path in sorted(self.data.rglob("log")):
            data = bytearray(path.read_bytes())
            if data:
                data[int(position * (len(data) - 1))] ^= 0x10
                path.write_bytes(bytes(data))
                return True
        return False
