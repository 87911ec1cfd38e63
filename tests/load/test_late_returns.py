"""The pattern: clients come back late, after an outage, to servers that are idle."""

from __future__ import annotations

from .model import Ask, Model, Plan

PLAN = Plan(deadline=0.8, rate=0.1)


def test_a_late_request_is_sent_where_nothing_waits() -> None:
    """A quarter of its time left was less than the work, so it was refused."""
    model = Model(PLAN, seed=1)
    for key in range(0, 4000, 400):
        model.now = key / 1000
        model._ask(Ask(key, model.now - 0.6))
    model.run()
    found = model.between(-1, 12)
    assert found.refused == 0
    assert found.late >= 10


def test_one_that_could_not_be_answered_before_its_end_is_refused() -> None:
    model = Model(PLAN, seed=1)
    model._ask(Ask(400, -0.77))
    assert model.between(-1, 1).refused == 1
