"""The pattern: a single key suddenly gets more requests than any server runs."""

from __future__ import annotations

from .model import STEP, Model, Plan

# Six servers run 200 requests a second, the fastest 47 of them.
PLAN = Plan(rate=110.0, hot_from=4.0, hot_keys=1, hot_share=0.55)
HOT = 1000


def find_owner(model: Model) -> str:
    """Return the server that owns the hot key at the end."""
    return next(p.owner for p in model.parts if p.low <= HOT * STEP <= p.high)


def test_the_keys_beside_a_hot_key_are_served_as_before() -> None:
    for seed in range(4):
        model = Model(PLAN, seed).run()
        assert model.between(8, 12, cold=True).share > 0.95


def test_a_hot_key_goes_to_one_of_the_fastest_servers() -> None:
    for seed in range(4):
        model = Model(PLAN, seed).run()
        assert model.servers[find_owner(model)].speed == max(PLAN.speeds)
