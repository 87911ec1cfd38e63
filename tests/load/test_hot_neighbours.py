"""Test sixty neighbouring keys that suddenly get two fifths of all requests."""

from __future__ import annotations

from .model import LoadModel, LoadPlan

PLAN = LoadPlan(rate=110.0, hot_from=4.0)


# Guards against hot keys that stay on one server, which refuses most of the requests
# for them.
def test_hot_neighbours_are_moved_within_three_seconds() -> None:
    for seed in range(3):
        model = LoadModel(PLAN, seed).run()
        assert model.between(7, 11).share > 0.9
        fixed = LoadModel(PLAN._replace(balanced=False), seed).run()
        assert fixed.between(7, 11).share < 0.8


# Guards against counting only the requests that were served: hot keys then stayed
# on their server.
def test_refused_requests_count_as_load() -> None:
    for seed in range(3):
        model = LoadModel(PLAN._replace(hot_share=0.6, hot_keys=20), seed).run()
        owners = {
            part.owner
            for part in model.parts
            if any(part.low <= key << 52 <= part.high for key in range(1000, 1020))
        }
        assert len(owners) >= 3
