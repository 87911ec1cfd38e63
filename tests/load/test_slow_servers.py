"""Test servers of different speeds in one service, at two thirds of its capacity."""

from __future__ import annotations

from .model import LoadModel, LoadPlan

# At full utilization, six servers with two slots run 200 requests of 60 ms per second.
PLAN = LoadPlan(rate=130.0)


# Guards against an even division of keys that overloads the slow servers.
def test_slow_servers_get_fewer_keys_and_requests_are_in_time() -> None:
    for seed in range(3):
        even = LoadModel(PLAN._replace(balanced=False), seed).run().between(5, 11)
        moved = LoadModel(PLAN, seed).run().between(5, 11)
        assert moved.share > 0.93
        assert moved.share > even.share
        assert moved.refused + moved.shed < even.refused + even.shed
