"""Processor share, memory and link traffic of each node of an idle fleet.

``python -m benchmarks.idle [--seconds 10]``
"""

from __future__ import annotations

import re
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import NamedTuple

import defopt

from dragonflyrock.trial import LAHORE, Fleet

from .processes import BYTES_PER_KILOBYTE, ProcessReading, read_process

FIRST_PORT = 9000


class Reading(NamedTuple):
    """Usage of a node's process, and the bytes that it has sent on its links."""

    process: ProcessReading
    sent: float


def run_idle(*, seconds: float = 10.0) -> int:
    """Print processor share, memory and link bytes of each node with its role.

    :param seconds: duration of the measurement in seconds
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(LAHORE._replace(first_port=FIRST_PORT), Path(folder))
        try:
            fleet.start_hosts()
            fleet.start_servers()
            fleet.wait_ready()
            time.sleep(2)
            before = _read_all(fleet)
            time.sleep(seconds)
            after = _read_all(fleet)
            leader = fleet.call_operators("GET", "/status")["leader"]
            _print(fleet, leader, before, after, seconds)
        finally:
            fleet.close()
    return 0


def _read_all(fleet: Fleet) -> dict[str, Reading]:
    """Return the usage of every node by its host's name."""
    return {
        fleet.plan.host_name(number): _read(fleet, number)
        for number in range(fleet.plan.hosts)
    }


def _read(fleet: Fleet, number: int) -> Reading:
    """Return the usage of one node."""
    process = fleet.hosts[fleet.plan.host_name(number)]
    url = f"http://{fleet.platform_address(number)}/metrics"
    with urllib.request.urlopen(url) as response:
        text = response.read().decode()
    pattern = r'link_bytes_total\{direction="sent".*\} (\S+)'
    sent = sum(float(value) for value in re.findall(pattern, text))
    return Reading(read_process(process.pid), sent)


def _print(
    fleet: Fleet,
    leader: str,
    before: dict[str, Reading],
    after: dict[str, Reading],
    seconds: float,
) -> None:
    """Print one row per node."""
    print("role      host          core %  resident MB  sent kB/s  threads")
    voters = [fleet.plan.host_name(i) for i in range(fleet.plan.voters)]
    for host, reading in after.items():
        role = "entry"
        if host in voters:
            role = "leader" if host == leader else "voter"
        process = reading.process
        processor_seconds = process.processor - before[host].process.processor
        share = processor_seconds / seconds * 100
        sent = (reading.sent - before[host].sent) / seconds / BYTES_PER_KILOBYTE
        print(
            f"{role:8}  {host:12}  {share:6.2f}  {process.resident / 2**20:11.1f}"
            f"  {sent:9.2f}  {process.threads:7}"
        )


if __name__ == "__main__":
    sys.exit(defopt.run(run_idle))
