"""The pattern: sixty neighbouring keys suddenly get two fifths of all requests."""

from __future__ import annotations

from .model import Model, Plan

PLAN = Plan(rate=110.0, hot_from=4.0)


def test_hot_neighbours_cost_two_seconds() -> None:
    for seed in range(3):
        model = Model(PLAN, seed).run()
        assert model.between(7, 11).share > 0.9
        fixed = Model(PLAN._replace(balanced=False), seed).run()
        assert fixed.between(7, 11).share < 0.8


def test_a_server_that_refuses_is_seen_as_hot_by_what_it_is_asked_for() -> None:
    """Counting only what was served, the hot keys stayed where they were."""
    for seed in range(3):
        model = Model(PLAN._replace(hot_share=0.6, hot_keys=20), seed).run()
        owners = {
            part.owner
            for part in model.parts
            if any(part.low <= key << 52 <= part.high for key in range(1000, 1020))
        }
        assert len(owners) >= 3
