"""Test a single key that suddenly gets more requests than any server can run."""

from __future__ import annotations

from .model import KEY_STEP, LoadModel, LoadPlan

# The six servers can run 200 requests per second together, the fastest of them 47.
PLAN = LoadPlan(rate=110.0, hot_from=4.0, hot_keys=1, hot_share=0.55)
HOT_KEY = 1000


def find_owner(model: LoadModel) -> str:
    """Return the server that owns the hot key at the end."""
    return next(p.owner for p in model.parts if p.low <= HOT_KEY * KEY_STEP <= p.high)


# Guards against a hot key that makes requests for other keys late.
def test_the_other_keys_are_served_during_a_hot_key() -> None:
    for seed in range(4):
        model = LoadModel(PLAN, seed).run()
        assert model.between(8, 12, cold=True).share > 0.95


# Guards against a hot key that stays on a slow server.
def test_a_hot_key_moves_to_one_of_the_fastest_servers() -> None:
    for seed in range(4):
        model = LoadModel(PLAN, seed).run()
        assert model.servers[find_owner(model)].speed == max(PLAN.speeds)
