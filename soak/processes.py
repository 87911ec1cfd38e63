"""Node processes under test."""

from __future__ import annotations

import asyncio
import os
import resource
import shutil
import signal
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

from . import const, wire
from .context import RunContext
from .layout import NodeSpec, encode_settings
from .models import Ended, Started

PROGRAM: Final = Path(__file__).resolve().parents[1] / "deploy" / "node.py"
LAUNCHER: Final = Path(__file__).resolve().with_name("bound_node.py")
FIRST_RETRY_SLACK: Final = 60
FLIPPED_BIT_MASK: Final = 0x10


class NodeProcess:
    """Start, signal and watch the process of one node, over its restarts."""

    def __init__(self, context: RunContext, spec: NodeSpec) -> None:
        """Prepare a node."""
        folder = context.folder
        self.spec = spec
        self.is_down = False
        self.is_damaged = False
        # Set from SIGTERM until the process has ended.
        self.stopping = asyncio.Event()
        self._data = folder / f"{spec.name}-data"
        self._log = folder / f"{spec.name}.log"
        self._settings = folder / f"{spec.name}.toml"
        self._layout = context.layout
        self._history = context.history
        self._process: asyncio.subprocess.Process | None = None
        self._exit_task: asyncio.Task[None] | None = None
        self._retry_slack = FIRST_RETRY_SLACK
        self._former = context.former
        self._start_count = 0

    @property
    def is_running(self) -> bool:
        """Return whether there is a process that has not ended."""
        return self._process is not None and self._process.returncode is None

    def read_processor_use(self) -> tuple[bool, float]:
        """Return whether the process is runnable, and its processor time in seconds."""
        try:
            assert self._process is not None
            text = Path(f"/proc/{self._process.pid}/stat").read_text()
        except (OSError, AssertionError):
            # The process has ended, or was never started.
            return False, 0.0
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return fields[0] == "R", ticks / os.sysconf("SC_CLK_TCK")

    def read_memory_mb(self) -> int:
        """Return the resident memory of the process in megabytes, 0 if it has ended."""
        if self._process is None or not self.is_running:
            return 0
        try:
            pages = Path(f"/proc/{self._process.pid}/statm").read_text().split()[1]
        except (OSError, IndexError):
            return 0
        return int(pages) * resource.getpagesize() // 1_000_000

    def write_settings(self, forming: bool = False, change: bool = False) -> None:
        """Write the settings file, with another retry slack if ``change`` is set."""
        self._retry_slack += int(change)
        spec, data = self.spec, self._data
        text = encode_settings(self._layout, spec, data, forming, self._retry_slack)
        self._settings.write_text(text, encoding="utf-8")

    async def start(self, forming: bool = False) -> None:
        """Start the process unless it is running."""
        if self.is_running:
            return
        self.write_settings(forming)
        self._sigterm_at, self._killed = -1.0, False
        environment = {wire.names.SETTINGS_VARIABLE: str(self._settings)}
        environment["PATH"] = os.environ.get("PATH", "")
        program = self._choose_program()
        command = (sys.executable, str(LAUNCHER), self.spec.node_ip, str(program))
        self._process = await start_process(command, environment, self._log)
        self._history.add(Started(self.spec.name))
        self._exit_task = asyncio.create_task(self._record_end(self._process))
        self.is_down = False

    def _choose_program(self) -> Path:
        """Return the program to start: with a former version, each one in turn."""
        self._start_count += 1
        if self._former is not None and self._start_count % 2:
            return self._former / "deploy" / "node.py"
        return PROGRAM

    async def _record_end(self, process: asyncio.subprocess.Process) -> None:
        """Wait for the process and record its end; restart it if it was not stopped."""
        code = await process.wait()
        name = self.spec.name
        self._history.add(Ended(name, code, self._sigterm_at, self._killed))
        if self._sigterm_at < 0 and not self._killed:
            await asyncio.sleep(const.RESTART_DELAY_SECONDS)
            if self.is_damaged:
                self.clear_data()
            if not self.is_down and not self.is_running:
                await self.start()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if not self.is_running or self._process is None:
            return
        if number == signal.SIGTERM and self._sigterm_at < 0:
            self._sigterm_at = self._history.now()
        self._killed = self._killed or number == signal.SIGKILL
        self._process.send_signal(number)

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        self.stopping.set()
        self.send_signal(signal.SIGTERM)
        if self._exit_task is not None:
            await asyncio.wait({self._exit_task}, timeout=const.GRACE_SECONDS)
        await self.kill()
        self.stopping.clear()

    async def kill(self) -> None:
        """Send SIGKILL, and wait until the process has ended."""
        self.is_down = True
        while self._exit_task is not None and not self._exit_task.done():
            self.send_signal(signal.SIGKILL)
            await self._exit_task

    def clear_data(self) -> None:
        """Delete the data folder of a process that has ended."""
        shutil.rmtree(self._data, ignore_errors=True)
        self.is_damaged = False

    def flip_bit(self, position: float) -> None:
        """Flip one bit of the log; ``position`` is a share of the log's length."""
        for path in self._data.rglob("log"):
            data = bytearray(path.read_bytes())
            if data:
                data[int(position * (len(data) - 1))] ^= FLIPPED_BIT_MASK
                path.write_bytes(bytes(data))
                self.is_damaged = True


async def start_process(
    command: Sequence[str], environment: Mapping[str, str], log: Path
) -> asyncio.subprocess.Process:
    """Start a process that ignores SIGHUP until it sets a handler of its own.

    A program cannot set a handler before its first line runs, but it inherits that the
    signal is ignored. ``log`` gets the output.
    """
    former = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        with log.open("ab") as output:
            return await asyncio.create_subprocess_exec(
                *command, env=dict(environment), stdout=output, stderr=output
            )
    finally:
        signal.signal(signal.SIGHUP, former)
