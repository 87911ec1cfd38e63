"""Use of a contract's rate over several hosts, by how calls are spread over them.

``python -m benchmarks.limits [--seconds 4]``
"""

from __future__ import annotations

import sys
import tempfile
import threading
import time
from pathlib import Path

import defopt

from dragonflyrock.trial import SINGLE, Fleet, ServicePlan

FIRST_PORT = 32_000
HOST_COUNT = 5
RATE_PER_SECOND = 200
BURST_COUNT = 50
CALLER_COUNT = 10
SETTLE_SECONDS = 2.0
WEIGHTS_BY_SPREAD = {
    "even": (1, 1, 1, 1, 1),
    "skewed": (6, 1, 1, 1, 1),
    "one host": (1,),
}


def run_limits(*, seconds: float = 4.0) -> int:
    """Print the share of a contract's rate that was used, and the fullest second.

    :param seconds: duration of the measurement of each spread in seconds
    """
    plan = SINGLE._replace(
        hosts=HOST_COUNT, first_port=FIRST_PORT, services=(ServicePlan("finder", 4),)
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(plan, Path(folder))
        try:
            fleet.start_hosts()
            fleet.start_servers()
            fleet.wait_ready()
            print("spread    used of rate  fullest second of rate + burst  refused")
            for number, (name, weights) in enumerate(WEIGHTS_BY_SPREAD.items()):
                token = f"token-{number}"
                fleet.put_contract(
                    f"customer-{number}",
                    token,
                    requests_per_second=RATE_PER_SECOND,
                    burst_requests=BURST_COUNT,
                )
                time.sleep(SETTLE_SECONDS)
                _measure(fleet, name, weights, token, seconds)
        finally:
            fleet.close()
    return 0


def _measure(
    fleet: Fleet, name: str, weights: tuple[int, ...], token: str, seconds: float
) -> None:
    """Call continuously over hosts with these weights, and print one row.

    The use of the rate is counted after a settling time; the second with the most
    admitted calls is searched from the start.
    """
    chosen = [host for host, weight in enumerate(weights) for _ in range(weight)]
    admitted: list[float] = []
    refused: list[int] = []
    until = time.monotonic() + SETTLE_SECONDS + seconds

    def run(number: int) -> None:
        caller = fleet.make_caller(token, chosen[number % len(chosen)])
        while time.monotonic() < until:
            response = caller.call("GET", f"/finder/key-{number}")
            if response.status == 200:
                admitted.append(response.ended_at)
            else:
                refused.append(response.status)
                time.sleep(0.005)

    threads = [threading.Thread(target=run, args=(i,)) for i in range(CALLER_COUNT)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    admitted.sort()
    measured = [at for at in admitted if at >= until - seconds]
    fullest = max(sum(at <= x < at + 1 for x in admitted) for at in admitted)
    print(
        f"{name:8}  {len(measured) / seconds / RATE_PER_SECOND:12.2f}"
        f"  {fullest / (RATE_PER_SECOND + BURST_COUNT):30.2f}  {len(refused):7}",
        flush=True,
    )


if __name__ == "__main__":
    sys.exit(defopt.run(run_limits))
