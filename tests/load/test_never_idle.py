"""Test a slow server that is overloaded from its first second on."""

from __future__ import annotations

from collections import deque
from random import Random

from dragonflyrock.control.reported_loads import ReportedLoads
from dragonflyrock.router.server_stats import LoadReport, measure_processing_time
from dragonflyrock.systems.spreading import Owner
from dragonflyrock.transport.messages import ServerSpeed

from .model import LoadModel, LoadPlan

SLOT_COUNT = 3
MAX_QUEUED_COUNT = 12


def run_server(work: float, rate: float, seed: int) -> list[tuple[float, float]]:
    """Return the time and measured processing time of each response of a server.

    The server is overloaded; all times are in seconds.
    """
    random = Random(seed)
    running: list[tuple[float, float]] = []
    waiting: deque[float] = deque()
    measured: list[tuple[float, float]] = []
    arrives = 0.0
    while arrives < 10.0:
        ended = min(running)[0] if running else float("inf")
        if arrives < ended:
            if len(running) < SLOT_COUNT:
                running.append((arrives + work * random.uniform(0.7, 1.3), arrives))
            elif len(waiting) < MAX_QUEUED_COUNT:
                waiting.append(arrives)
            arrives += random.expovariate(rate)
            continue
        now, since = min(running)
        running.remove((now, since))
        if waiting:
            running.append((now + work * random.uniform(0.7, 1.3), waiting.popleft()))
        report = LoadReport(len(running), len(waiting), SLOT_COUNT)
        # The backlog at the send is 0, as a host that seldom sends to the server
        # assumes it to be idle.
        sample = measure_processing_time(now - since, 0.0, report)
        if sample is not None:
            measured.append((now, sample))
    return measured


# Guards against counting only requests that found the server idle: it then had no
# samples and was assumed to have the average speed.
def test_a_server_that_is_never_idle_is_measured_as_slow() -> None:
    for seed in range(5):
        loads = ReportedLoads(0.0)
        samples = run_server(0.5, 9.0, seed)
        for second in range(10):
            loads.add_speeds((ServerSpeed("fast", 20, 20 * 125.0),))
            for at, work in samples:
                if second <= at < second + 1:
                    loads.add_speeds((ServerSpeed("slow", 1, work * 1000),))
            loads.update_rates(second + 1.0)
        owners = loads.add_capacities(
            [Owner("fast", SLOT_COUNT), Owner("slow", SLOT_COUNT)], 0.0
        )
        capacities = {owner.name: owner.capacity for owner in owners}
        assert 4.0 < capacities["slow"] < 10.0
        assert capacities["fast"] > 15.0


# Guards against counting the time in the queue as processing time, which would move
# keys without need.
def test_a_server_with_a_queue_is_not_measured_as_slow() -> None:
    plan = LoadPlan(
        rate=150.0, speeds=(1.0,) * 6, seconds=16.0, hot_from=4.0, hot_keys=1
    )
    for seed in range(3):
        model = LoadModel(plan, seed).run()
        for name in model.servers:
            assert model.make_owner(name).capacity > 0.7 * 2 / plan.work
