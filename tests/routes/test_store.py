"""Test the route store: compare and set, resent changes, and validation."""

from __future__ import annotations

import pytest

from dragonflyrock.errors import Reason, Refusal
from dragonflyrock.routes import (
    Route,
    RouteChange,
    RouteDocument,
    RoutedService,
    RouteKind,
    RouteStore,
    ServiceShare,
    validate_document,
)
from dragonflyrock.routes.store import ChangedNames

SERVICES = tuple(RoutedService(n, "/health", 100, False, 0.0) for n in ("a", "b"))


def make_route(name: str = "r1", **changes: object) -> Route:
    """Return a valid route."""
    route = Route(
        name,
        "h.example",
        f"/{name}/",
        RouteKind.ONCE,
        (ServiceShare("a", 1.0),),
        1000.0,
        2,
        200.0,
        1,
    )
    return route._replace(**changes)  # type: ignore[arg-type]


def make_document(version: int, *routes: Route) -> RouteDocument:
    """Return a valid document."""
    return RouteDocument(version, routes or (make_route(),), SERVICES)


# Guards against a change that silently overwrites another operator's change.
def test_only_the_first_of_two_changes_to_a_version_is_accepted() -> None:
    store = RouteStore()
    assert isinstance(store.put(0, "first", make_document(3)), ChangedNames)
    refused = store.put(0, "second", make_document(3, make_route("r2")))
    assert isinstance(refused, Refusal)
    assert refused.reason == Reason.VERSION_CONFLICT
    assert store.document.routes[0].name == "r1"


# Guards against a resent change that is refused as a conflict after a restart,
# although it was accepted.
def test_accepted_digests_are_restored_from_a_snapshot() -> None:
    store = RouteStore()
    store.put(0, "first", make_document(3))
    store.change(3, "next", RouteChange(5, removed_routes=("r1",)))
    restored = RouteStore()
    restored.load(store.dump())
    assert restored.find_accepted("first") == 3
    assert restored.find_accepted("next") == 5
    assert restored.document == store.document


# Guards against routes that change their order, and against deltas without a changed
# route.
def test_a_change_replaces_in_place_and_returns_the_changed_names() -> None:
    store = RouteStore()
    store.put(0, "first", make_document(1, make_route("r1"), make_route("r2")))
    change = RouteChange(2, (make_route("r1", priority=0), make_route("r3")))
    changed = store.change(1, "second", change)
    assert isinstance(changed, ChangedNames)
    assert changed.routes == ("r1", "r3")
    assert [route.name for route in store.document.routes] == ["r1", "r2", "r3"]


# Guards against an invalid route that is accepted, or an error that does not name it.
@pytest.mark.parametrize(
    ("route", "told"),
    [
        (make_route(shares=(ServiceShare("nowhere", 1.0),)), "unknown service"),
        (make_route(shares=(ServiceShare("a", 0.0),)), "add up to 0"),
        (
            make_route(shares=(ServiceShare("a", 2.0), ServiceShare("b", -1.0))),
            "below 0",
        ),
        (make_route(target_ms=61_000.0), "target latency"),
    ],
)
def test_an_invalid_document_is_refused_with_the_route_name(
    route: Route, told: str
) -> None:
    errors = validate_document(make_document(2, route), 1)
    assert any("r1" in error and told in error for error in errors)


# Guards against two documents with the same version.
def test_a_version_that_is_not_above_the_current_one_is_refused() -> None:
    assert validate_document(make_document(4), 4)
    assert not validate_document(make_document(5), 4)
