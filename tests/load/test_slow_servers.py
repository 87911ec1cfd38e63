"""The pattern: servers of one service differ in speed, at two thirds of use."""

from __future__ import annotations

from .model import Model, Plan

# Six servers of two slots run 200 requests a second of 60 ms at full use.
PLAN = Plan(rate=130.0)


def test_slow_servers_get_fewer_keys_and_requests_are_in_time() -> None:
    for seed in range(3):
        even = Model(PLAN._replace(balanced=False), seed).run().between(5, 11)
        moved = Model(PLAN, seed).run().between(5, 11)
        assert moved.share > 0.93
        assert moved.share > even.share
        assert moved.refused + moved.shed < even.refused + even.shed
