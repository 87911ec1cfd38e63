"""Test servers that reject a share of their requests while they have free slots."""

from __future__ import annotations

from .model import LoadModel, LoadPlan

# Callers try three times in all, so 0.4 ** 3 of the requests cannot be served. Two
# tries have passed well within the target, so 1 - 0.4 ** 2 of what is answered in time
# by servers that reject none is to be answered in time.
PLAN = LoadPlan(
    rate=40.0,
    work=0.2,
    target=0.6,
    deadline=4.0,
    retries=2,
    rejected_share=0.4,
    seconds=16.0,
)
MIN_SHARE_IN_TIME = 1 - PLAN.rejected_share**2
MAX_SHARE_UNSERVED = PLAN.rejected_share**3


# Guards against a rejection that is taken for a full queue: the host then refuses the
# next requests of that server's keys, and tells callers to come back much later.
def test_callers_are_served_in_time_by_servers_that_reject_some_requests() -> None:
    for seed in range(3):
        outcome = LoadModel(PLAN, seed).run().between(2, 12)
        calm = LoadModel(PLAN._replace(rejected_share=0.0), seed).run().between(2, 12)
        total = outcome.in_time + outcome.late + outcome.refused + outcome.shed
        assert outcome.share > MIN_SHARE_IN_TIME * calm.share
        assert outcome.refused + outcome.shed < MAX_SHARE_UNSERVED * total
