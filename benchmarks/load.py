"""Load from callers in several processes."""

from __future__ import annotations

import multiprocessing
import threading
import time
from typing import NamedTuple

from dragonflyrock.trial import Caller

MAX_PROCESS_COUNT = 4
KEY_COUNT = 500


class LoadResult(NamedTuple):
    """Responses per second, latencies in milliseconds, and the number of failures."""

    rate: float
    p50_ms: float
    p99_ms: float
    failed: int


def measure_load(
    addresses: list[str], path: str, callers: int, seconds: float, token: str = "bench"
) -> LoadResult:
    """Call all addresses for some seconds from ``callers`` connections in total."""
    context = multiprocessing.get_context("spawn")
    processes = min(MAX_PROCESS_COUNT, callers)
    with context.Pool(processes) as pool:
        shares = [
            callers // processes + (i < callers % processes) for i in range(processes)
        ]
        jobs = [
            pool.apply_async(_call, (addresses, path, share, seconds, token, number))
            for number, share in enumerate(shares)
        ]
        results = [job.get() for job in jobs]
    latencies = sorted(latency for result in results for latency in result[0])
    failed = sum(result[1] for result in results)
    rate = sum(len(result[0]) / result[2] for result in results)
    return LoadResult(
        rate,
        latencies[len(latencies) // 2] * 1000,
        latencies[int(len(latencies) * 0.99)] * 1000,
        failed,
    )


def _call(
    addresses: list[str], path: str, callers: int, seconds: float, token: str, seed: int
) -> tuple[list[float], int, float]:
    """Return the latencies, failure count and elapsed seconds of one process."""
    latencies: list[float] = []
    failures: list[int] = []
    started = time.monotonic()
    until = started + seconds

    def run(number: int) -> None:
        caller = Caller(addresses[number % len(addresses)], token)
        count = number * 37
        while time.monotonic() < until:
            count += 1
            response = caller.call("GET", f"{path}/key-{count % KEY_COUNT}")
            latencies.append(response.seconds)
            if response.status != 200:
                failures.append(response.status)

    threads = [
        threading.Thread(target=run, args=(seed * 100 + i,)) for i in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return latencies, len(failures), time.monotonic() - started
