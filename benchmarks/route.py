"""Rate and latency of routed requests, compared with a minimal forwarder.

``python -m benchmarks.route [--seconds 4] [--hosts 1]``
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import defopt

from dragonflyrock.trial import SINGLE, Fleet, ServicePlan

from .load import LoadResult, measure_load
from .processes import read_process

FIRST_PORT = 9000
FORWARDER_PORT = 9990
SERVER_COUNT = 4
CALLER_COUNTS = (1, 8, 32)


def run_route(*, seconds: float = 4.0, hosts: int = 1) -> int:
    """Print rates and latencies, and their ratios to those of the forwarder.

    :param seconds: duration of each measurement in seconds
    :param hosts: count of nodes, and of forwarders
    """
    plan = SINGLE._replace(
        hosts=hosts,
        first_port=FIRST_PORT,
        slots=64,
        service_ms=0.0,
        services=(ServicePlan("finder", SERVER_COUNT, checks_grants=False),),
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(plan, Path(folder))
        forwarders: list[subprocess.Popen[bytes]] = []
        try:
            fleet.start_hosts()
            fleet.start_servers()
            fleet.wait_ready()
            fleet.put_contract("bench", "bench")
            servers = fleet.call_operators("GET", "/status")["servers"]
            addresses = [server["address"] for server in servers]
            listens = [f"127.0.0.1:{FORWARDER_PORT + i}" for i in range(hosts)]
            forwarders += [_start_forwarder(listen, addresses) for listen in listens]
            routed_at = [fleet.callers_address(i) for i in range(hosts)]
            caller = fleet.make_caller("bench")
            fleet.wait_for(
                "contract", lambda: caller.call("GET", "/finder/k").status == 200
            )
            pids = [process.pid for process in fleet.hosts.values()]
            _compare(listens, routed_at, seconds, pids)
        finally:
            for forwarder in forwarders:
                forwarder.kill()
                forwarder.wait()
            fleet.close()
    return 0


def _start_forwarder(listen: str, addresses: list[str]) -> subprocess.Popen[bytes]:
    """Start a forwarder process."""
    return subprocess.Popen(
        [sys.executable, "-m", "benchmarks.forwarder", listen, *addresses],
        stdin=subprocess.PIPE,
    )


def _compare(
    listens: list[str], routed_at: list[str], seconds: float, pids: list[int]
) -> None:
    """Measure forwarders and nodes by turns, and print a table."""
    print(
        "callers  what       rate/s  p50 ms  p99 ms"
        "  rate ratio  p99 ratio  processor ms/request"
    )
    for callers in CALLER_COUNTS:
        measure_load(listens, "/finder", callers, 0.5)
        base = measure_load(listens, "/finder", callers, seconds)
        measure_load(routed_at, "/finder", callers, 0.5)
        before = sum(read_process(pid).processor for pid in pids)
        routed = measure_load(routed_at, "/finder", callers, seconds)
        processor_seconds = sum(read_process(pid).processor for pid in pids) - before
        _print_row(callers, "forwarder", base, base, "")
        share = f"{processor_seconds / (routed.rate * seconds) * 1000:.3f}"
        _print_row(callers, "routed", routed, base, share)


def _print_row(
    callers: int, what: str, result: LoadResult, base: LoadResult, processor: str
) -> None:
    """Print one row; a failed call invalidates it and raises ``RuntimeError``."""
    if result.failed:
        raise RuntimeError(f"{what}: {result.failed} calls failed")
    print(
        f"{callers:7}  {what:9}  {result.rate:6.0f}  {result.p50_ms:6.2f}"
        f"  {result.p99_ms:6.2f}  {result.rate / base.rate:10.2f}"
        f"  {result.p99_ms / base.p99_ms:9.2f}  {processor:>20}",
        flush=True,
    )


if __name__ == "__main__":
    sys.exit(defopt.run(run_route))
