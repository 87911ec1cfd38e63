"""Tests of starting a process."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from soak.processes import start_process

PRINT_DISPOSITION = "import signal; print(signal.getsignal(signal.SIGHUP).name)"


# Guards against a process that SIGHUP ends while it loads its code.
def test_a_started_process_ignores_sighup_from_its_first_instruction(
    tmp_path: Path,
) -> None:
    async def start() -> int:
        command = (sys.executable, "-c", PRINT_DISPOSITION)
        process = await start_process(command, {}, tmp_path / "log")
        return await process.wait()

    before = signal.getsignal(signal.SIGHUP)
    assert asyncio.run(start()) == 0
    assert (tmp_path / "log").read_text() == "SIG_IGN\n"
    assert signal.getsignal(signal.SIGHUP) == before
