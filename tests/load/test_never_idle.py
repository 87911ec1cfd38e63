"""The pattern: a slow server has more than it can run from its first second on."""

from __future__ import annotations

from collections import deque
from random import Random

from dragonflyrock.control.reported_loads import ReportedLoads
from dragonflyrock.router.servers import LoadReport, measure_work
from dragonflyrock.systems.spreading import Owner
from dragonflyrock.transport.messages import ServerSpeed

from .model import Model, Plan

SLOTS = 3
QUEUE = 12


def run_server(work: float, rate: float, seed: int) -> list[tuple[float, float]]:
    """Return for each answer of an overloaded server its second and measured work."""
    random = Random(seed)
    running: list[tuple[float, float]] = []
    waiting: deque[float] = deque()
    measured: list[tuple[float, float]] = []
    arrives = 0.0
    while arrives < 10.0:
        ended = min(running)[0] if running else float("inf")
        if arrives < ended:
            if len(running) < SLOTS:
                running.append((arrives + work * random.uniform(0.7, 1.3), arrives))
            elif len(waiting) < QUEUE:
                waiting.append(arrives)
            arrives += random.expovariate(rate)
            continue
        now, since = min(running)
        running.remove((now, since))
        if waiting:
            running.append((now + work * random.uniform(0.7, 1.3), waiting.popleft()))
        report = LoadReport(len(running), len(waiting), SLOTS)
        # A host that sends here now and then takes the server for an idle one.
        found = measure_work(now - since, 0.0, report)
        if found is not None:
            measured.append((now, found))
    return measured


def test_a_server_that_is_never_idle_is_known_to_be_slow() -> None:
    """Only requests that found it idle counted, so it was taken for a mean one."""
    for seed in range(5):
        loads = ReportedLoads(0.0)
        answers = run_server(0.5, 9.0, seed)
        for second in range(10):
            loads.add_speeds((ServerSpeed("fast", 20, 20 * 125.0),))
            for at, work in answers:
                if second <= at < second + 1:
                    loads.add_speeds((ServerSpeed("slow", 1, work * 1000),))
            loads.update_rates(second + 1.0)
        weighed = loads.add_capacities([Owner("fast", SLOTS), Owner("slow", SLOTS)])
        found = {owner.name: owner.capacity for owner in weighed}
        assert 4.0 < found["slow"] < 10.0
        assert found["fast"] > 15.0


def test_a_server_with_a_queue_is_not_taken_for_a_slow_one() -> None:
    """The time in the queue must not count as work, or keys would move for nothing."""
    plan = Plan(rate=150.0, speeds=(1.0,) * 6, seconds=16.0, hot_from=4.0, hot_keys=1)
    for seed in range(3):
        model = Model(plan, seed).run()
        for name in model.servers:
            assert model._find_capacity(name) > 0.7 * 2 / plan.work
