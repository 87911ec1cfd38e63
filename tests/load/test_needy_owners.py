"""Load on owners that take less than their keys need; each test names its pattern.

The baseline is the same load without a leader that moves keys.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from .notices_model import NoticesModel, NoticesPlan

SERVERS: Final = 6
SECONDS: Final = 24.0
# The shares are compared from here on, some seconds after the servers are in need.
COMPARED_FROM: Final = 16.0


def make_plan() -> NoticesPlan:
    """Return a plan with the load of all tests."""
    return NoticesPlan(
        hosts=11, servers=SERVERS, rate=120.0, keyed=True, seconds=SECONDS
    )


def run_both(plan: NoticesPlan) -> tuple[NoticesModel, NoticesModel]:
    """Run a plan without and with a leader that moves keys."""
    without = NoticesModel(replace(plan, balances=False)).run()
    return without, NoticesModel(replace(plan, balances=True)).run()


def count_refused(model: NoticesModel, since: float = COMPARED_FROM) -> int:
    """Return the number of refused requests from a time on."""
    return sum(1 for at in model.refused_at if at >= since)


def limit_servers(
    names: frozenset[str], until: float = SECONDS
) -> Callable[[float, str], float | None]:
    """Return a function with which servers name 3 requests/s from second 4 on."""
    return lambda now, name: 3.0 if name in names and 4 <= now < until else None


# Guards against callers that are refused for as long as an owner names its limit, while
# others have room. Pattern: one of six owners names a seventh of its demand.
def test_an_owner_with_a_limit_gives_keys_away() -> None:
    plan = make_plan()
    plan.get_limit = limit_servers(frozenset({"s0"}))
    without, balanced = run_both(plan)
    assert count_refused(without) > 100
    assert count_refused(balanced) < 0.15 * count_refused(without)
    # It keeps what it takes, and no more moves than its own keys and some balance.
    assert 0.1 < balanced.moved_width < 0.4
    kept = sum(a.server == "s0" and a.at >= COMPARED_FROM for a in balanced.arrivals)
    assert kept >= 0.4 * 3 * (SECONDS - COMPARED_FROM)


# Guards against the second server in need that gets the keys of the first one.
# Pattern: two of six owners name limits.
def test_two_owners_with_limits_give_keys_to_the_others() -> None:
    plan = make_plan()
    plan.get_limit = limit_servers(frozenset({"s0", "s1"}))
    without, balanced = run_both(plan)
    assert count_refused(balanced) < 0.2 * count_refused(without)


# Guards against churn without any gain. Pattern: all owners name limits.
def test_nothing_moves_if_all_owners_have_limits() -> None:
    plan = make_plan()
    plan.get_limit = lambda now, name: 3.0 if now >= 4 else None
    _, balanced = run_both(plan)
    assert balanced.moved_width < 0.02


# Guards against a server that stays without keys after its need is over. Pattern: the
# limit of one owner ends at second 10.
def test_keys_return_after_a_limit_has_ended() -> None:
    plan = replace(make_plan(), seconds=50.0)
    plan.get_limit = limit_servers(frozenset({"s0"}), until=10.0)
    _, balanced = run_both(plan)
    served = sum(a.server == "s0" and a.at >= 40 for a in balanced.arrivals)
    assert served >= 0.4 * 120 / SERVERS * 10


# Guards against callers that are refused in each of many pauses. Pattern: one of six
# owners wants a pause of two seconds in each four.
def test_an_owner_that_pauses_again_and_again_gives_keys_away() -> None:
    plan = make_plan()
    plan.get_pause = lambda now, name: (
        2 - now % 4 if name == "s0" and now >= 4 and now % 4 < 2 else 0.0
    )
    without, balanced = run_both(plan)
    assert count_refused(balanced) < 0.8 * count_refused(without)
