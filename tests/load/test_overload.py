"""The pattern: one and a half times what all servers can run."""

from __future__ import annotations

from .model import Model, Plan

PLAN = Plan(rate=300.0, seconds=10.0)


def test_what_is_let_in_is_answered_in_time_and_the_rest_is_refused_at_once() -> None:
    for seed in range(3):
        found = Model(PLAN, seed).run().between(3, 9)
        served = found.in_time + found.late
        # Four fifths of the 200 requests a second that all servers can run.
        assert served > 0.8 * 200 * 6
        assert found.in_time > 0.7 * served
        assert found.refused > found.shed
