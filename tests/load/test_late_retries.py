"""Test callers that retry late after an outage, when the servers are idle."""

from __future__ import annotations

from .model import LoadModel, LoadPlan, SimulatedRequest

PLAN = LoadPlan(deadline=0.8, rate=0.1)


# Guards against the refusal of a late request at an idle server because a quarter of
# its time left was less than the processing time.
def test_a_late_request_is_sent_to_an_idle_server() -> None:
    model = LoadModel(PLAN, seed=1)
    for key in range(0, 4000, 400):
        model.now = key / 1000
        model.handle_request(SimulatedRequest(key, model.now - 0.6))
    model.run()
    outcome = model.between(-1, 12)
    assert outcome.refused == 0
    assert outcome.late >= 10


# Guards against sending a request that cannot be answered before its deadline.
def test_a_request_that_cannot_meet_its_deadline_is_refused() -> None:
    model = LoadModel(PLAN, seed=1)
    model.handle_request(SimulatedRequest(400, -0.77))
    assert model.between(-1, 1).refused == 1
