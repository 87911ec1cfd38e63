"""Tests of a router's state over many names that come and go."""

from __future__ import annotations

from dragonflyrock.http import Request
from dragonflyrock.models import Delta, DocumentHead, ServerRow
from dragonflyrock.router import RouterState
from dragonflyrock.router.budget import BudgetPolicy
from dragonflyrock.routes import (
    ClientLimits,
    Route,
    RoutedService,
    RouteKind,
    ServiceShare,
)
from dragonflyrock.transport.messages import HostUpdate

from .harness import RouterHarness, run_scenario

GENERATION_COUNT = 200
ROUTES_PER_GENERATION = 10


def make_update(revision: int, servers: tuple[ServerRow, ...] = ()) -> HostUpdate:
    """Return an update with routes that no other update has."""
    routes = tuple(
        Route(
            f"r-{revision}-{number}",
            f"h-{revision}",
            f"/{number}/",
            RouteKind.IDEMPOTENT,
            (ServiceShare("s", 1.0),),
            900.0,
            1,
            500.0,
            1,
        )
        for number in range(ROUTES_PER_GENERATION)
    )
    services = (RoutedService("s", "/health", 100, False, 0.0),)
    document = DocumentHead(revision, ClientLimits())
    delta = Delta(
        0,
        revision,
        True,
        (),
        servers,
        routes=routes,
        services=services,
        document=document,
    )
    return HostUpdate(1, "leader", 0.0, 0, delta, 0, None)


# Guards against state for each route that ever was.
def test_routes_that_are_gone_are_forgotten() -> None:
    async def scenario(harness: RouterHarness) -> None:
        for generation in range(GENERATION_COUNT):
            harness.state.apply(make_update(generation + 1))
            for number in range(ROUTES_PER_GENERATION):
                host = b"h-%d" % (generation + 1)
                headers = ((b"Host", host), (b"X-Request-Timeout-Ms", b"5"))
                target = b"/%d/x" % number
                request = Request(b"GET", target, headers, b"")
                await harness.router.handle(request)
        state = harness.state
        assert len(state.tables.routes._by_host) == 1
        assert len(harness.state.longest_deadlines) <= 10 * ROUTES_PER_GENERATION

    run_scenario(scenario)


# Guards against a server that gets nothing since an earlier one of its name has ended,
# and against its statistics.
def test_a_server_that_returns_under_its_name_is_a_new_one() -> None:
    state = RouterState(BudgetPolicy(), lambda: 100.0)
    row = ServerRow("one", "s", "127.0.0.1:9", "a", 1, 2, 0, True)
    state.apply(make_update(1, (row,)))
    former = state.stats["one"]
    former.in_flight = 3
    state.mark_ended(former)
    state.apply(make_update(2, (row._replace(incarnation=2),)))
    assert state.stats["one"] is not former
    assert not state.stats["one"].ended
    assert state.stats["one"].in_flight == 0


# Guards against a live server that is dropped, as a host found another instance at the
# address of its former life.
def test_an_ended_server_is_reported_with_its_life() -> None:
    state = RouterState(BudgetPolicy(), lambda: 100.0)
    known = ServerRow("one", "s", "127.0.0.1:9", "a", 1_790_000_000_000, 2, 0, True)
    unknown = ServerRow("two", "s", "127.0.0.1:8", "a", 0, 2, 0, True)
    state.apply(make_update(1, (known, unknown)))
    for stat in list(state.stats.values()):
        state.mark_ended(stat)
    assert state.pop_ended_servers() == ("one@1790000000000", "two")
