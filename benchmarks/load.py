"""Load by several processes of callers, and what they saw."""

from __future__ import annotations

import multiprocessing
import threading
import time
from typing import NamedTuple

from dragonflyrock.trial import Caller

PROCESSES = 4
KEYS = 500


class LoadResult(NamedTuple):
    """What callers saw: answers a second and latencies in milliseconds."""

    rate: float
    p50_ms: float
    p99_ms: float
    failed: int


def measure_load(
    addresses: list[str], path: str, callers: int, seconds: float, token: str = "bench"
) -> LoadResult:
    """Call from ``callers`` connections over all addresses for some seconds."""
    context = multiprocessing.get_context("spawn")
    processes = min(PROCESSES, callers)
    with context.Pool(processes) as pool:
        shares = [
            callers // processes + (i < callers % processes) for i in range(processes)
        ]
        jobs = [
            pool.apply_async(_call, (addresses, path, share, seconds, token, number))
            for number, share in enumerate(shares)
        ]
        parts = [job.get() for job in jobs]
    latencies = sorted(latency for part in parts for latency in part[0])
    failed = sum(part[1] for part in parts)
    rate = sum(len(part[0]) / part[2] for part in parts)
    return LoadResult(
        rate,
        latencies[len(latencies) // 2] * 1000,
        latencies[int(len(latencies) * 0.99)] * 1000,
        failed,
    )


def _call(
    addresses: list[str], path: str, callers: int, seconds: float, token: str, seed: int
) -> tuple[list[float], int, float]:
    """Return latencies, failures and the elapsed time of one process."""
    latencies: list[float] = []
    failures: list[int] = []
    started = time.monotonic()
    until = started + seconds

    def run(number: int) -> None:
        caller = Caller(addresses[number % len(addresses)], token)
        count = number * 37
        while time.monotonic() < until:
            count += 1
            answer = caller.call("GET", f"{path}/key-{count % KEYS}")
            latencies.append(answer.seconds)
            if answer.status != 200:
                failures.append(answer.status)

    threads = [
        threading.Thread(target=run, args=(seed * 100 + i,)) for i in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return latencies, len(failures), time.monotonic() - started
