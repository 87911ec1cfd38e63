"""Processor time and memory of processes, read from the proc file system."""

from __future__ import annotations

import os
import re
from pathlib import Path
from typing import NamedTuple

BYTES_PER_KILOBYTE = 1024


class ProcessReading(NamedTuple):
    """Processor seconds used so far, resident bytes and thread count."""

    processor: float
    resident: int
    threads: int


def read_process(pid: int) -> ProcessReading:
    """Return the usage of one process."""
    folder = Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    status = (folder / "status").read_text()
    resident = int(re.findall(r"VmRSS:\s+(\d+)", status)[0]) * BYTES_PER_KILOBYTE
    threads = int(re.findall(r"Threads:\s+(\d+)", status)[0])
    return ProcessReading(ticks / os.sysconf("SC_CLK_TCK"), resident, threads)
