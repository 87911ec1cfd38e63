"""The programs under test: started, signalled and watched from outside."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
from pathlib import Path
from typing import Final

from . import const, wire
from .layout import Place, encode_settings
from .models import Ended, Started
from .world import World

PROGRAM: Final = Path(__file__).resolve().parents[1] / "deploy" / "node.py"
FIRST_SLACK: Final = 60
FLIPPED_BIT: Final = 0x10


class NodeProcess:
    """One node's process over its restarts."""

    def __init__(self, world: World, place: Place) -> None:
        """Prepare a node."""
        folder = world.folder
        self.place = place
        self.is_down = False
        self.is_damaged = False
        # Set from SIGTERM until the process has ended.
        self.stopping = asyncio.Event()
        self._data = folder / f"{place.name}-data"
        self._log = folder / f"{place.name}.log"
        self._settings = folder / f"{place.name}.toml"
        self._layout = world.layout
        self._history = world.history
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None
        self._slack = FIRST_SLACK

    @property
    def is_running(self) -> bool:
        """Return whether there is a process that has not ended."""
        return self._process is not None and self._process.returncode is None

    def read_use(self) -> tuple[bool, float]:
        """Return whether the process wants the processor, and its use in seconds."""
        try:
            assert self._process is not None
            text = Path(f"/proc/{self._process.pid}/stat").read_text()
        except (OSError, AssertionError):
            # It has ended, or was never started.
            return False, 0.0
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return fields[0] == "R", ticks / os.sysconf("SC_CLK_TCK")

    def write_settings(self, forming: bool = False, change: bool = False) -> None:
        """Write the settings file, with another value if ``change`` is set."""
        self._slack += int(change)
        place, data = self.place, self._data
        text = encode_settings(self._layout, place, data, forming, self._slack)
        self._settings.write_text(text, encoding="utf-8")

    async def start(self, forming: bool = False) -> None:
        """Start the program, unless it runs."""
        if self.is_running:
            return
        self.write_settings(forming)
        self._asked_at, self._killed = -1.0, False
        environment = {wire.names.SETTINGS_VARIABLE: str(self._settings)}
        environment["PATH"] = os.environ.get("PATH", "")
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, str(PROGRAM), env=environment, stdout=log, stderr=log
            )
        self._history.add(Started(self.place.name))
        self._watch = asyncio.create_task(self._note_end(self._process))
        self.is_down = False

    async def _note_end(self, process: asyncio.subprocess.Process) -> None:
        """Record how the process ends; start one again that ended by itself."""
        code = await process.wait()
        name = self.place.name
        self._history.add(Ended(name, code, self._asked_at, self._killed))
        if self._asked_at < 0 and not self._killed:
            await asyncio.sleep(const.RESTART_DELAY_SECONDS)
            if self.is_damaged:
                self.empty()
            if not self.is_down and not self.is_running:
                await self.start()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if not self.is_running or self._process is None:
            return
        if number == signal.SIGTERM and self._asked_at < 0:
            self._asked_at = self._history.now()
        self._killed = self._killed or number == signal.SIGKILL
        self._process.send_signal(number)

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace time."""
        self.stopping.set()
        self.send_signal(signal.SIGTERM)
        if self._watch is not None:
            await asyncio.wait({self._watch}, timeout=const.GRACE_SECONDS)
        await self.kill()
        self.stopping.clear()

    async def kill(self) -> None:
        """Send SIGKILL, and wait for the end."""
        self.is_down = True
        while self._watch is not None and not self._watch.done():
            self.send_signal(signal.SIGKILL)
            await self._watch

    def empty(self) -> None:
        """Empty the data folder of a process that has ended."""
        shutil.rmtree(self._data, ignore_errors=True)
        self.is_damaged = False

    def flip(self, position: float) -> None:
        """Change one bit of the log, at a share of its length."""
        for path in self._data.rglob("log"):
            data = bytearray(path.read_bytes())
            if data:
                data[int(position * (len(data) - 1))] ^= FLIPPED_BIT
                path.write_bytes(bytes(data))
                self.is_damaged = True
