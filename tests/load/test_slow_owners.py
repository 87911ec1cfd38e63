"""Test owners whose processing time alone takes half of the target latency."""

from __future__ import annotations

import pytest

from dragonflyrock.systems import spreading

from .model import LoadModel, LoadPlan

# A third of the servers needs 333 of the 600 ms for a request, a third 143 ms.
SPEEDS = (0.6, 1.0, 1.4) * 14
WORK_SECONDS = 0.2
UTILIZATION = 0.55
PLAN = LoadPlan(
    rate=UTILIZATION * sum(2 * speed / WORK_SECONDS for speed in SPEEDS),
    work=WORK_SECONDS,
    target=0.6,
    deadline=2.0,
    hosts=40,
    speeds=SPEEDS,
    seconds=11.0,
)


# Guards against keys that are divided so that all servers are equally busy: the slow
# ones then answer late as soon as a request waits, while fast ones have time to spare.
def test_slow_owners_are_less_busy_than_fast_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    late = {}
    for weight in (0.0, spreading.SLOWNESS_WEIGHT):
        monkeypatch.setattr(spreading, "SLOWNESS_WEIGHT", weight)
        outcomes = [LoadModel(PLAN, seed).run().between(5, 10) for seed in range(2)]
        late[weight] = sum(1 - outcome.share for outcome in outcomes) / len(outcomes)
    assert late[spreading.SLOWNESS_WEIGHT] < 0.7 * late[0.0]
