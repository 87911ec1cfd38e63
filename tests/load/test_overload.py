"""Test a load of one and a half times the capacity of all servers."""

from __future__ import annotations

from .model import LoadModel, LoadPlan

PLAN = LoadPlan(rate=300.0, seconds=10.0)


# Guards against long queues under overload, in which most requests become late.
def test_admitted_requests_are_in_time_and_the_rest_is_refused_at_once() -> None:
    for seed in range(3):
        outcome = LoadModel(PLAN, seed).run().between(3, 9)
        served = outcome.in_time + outcome.late
        # Four fifths of the 200 requests per second that all servers can run, in 6 s.
        assert served > 0.8 * 200 * 6
        assert outcome.in_time > 0.7 * served
        assert outcome.refused > outcome.shed
