"""Changes of the control state after a revision, for entry hosts."""

from __future__ import annotations

from collections.abc import Container
from typing import TypeVar

from ..models import Delta, DocumentHead, RangeRef, ServiceWarmup
from ..routes import ClientLimits, Route, RoutedService
from .rows import Rows

__all__ = ["delta_after"]

_Item = TypeVar("_Item", Route, RoutedService, ClientLimits)


def delta_after(rows: Rows, revision: int, up_to: int) -> Delta:
    """Return the rows changed after a revision, up to the applied index ``up_to``.

    ``up_to`` is at least the state's own revision, since some entries of the
    log change no row.
    """
    changes = rows.journal.changes_after(revision)
    if changes is None or revision > up_to:
        return _make_full_delta(rows, up_to)
    ranges = [rows.ranges.get(r.key) for r in changes if isinstance(r.key, RangeRef)]
    named = [(r.table, r.key) for r in changes if isinstance(r.key, str)]
    servers = [key for table, key in named if table == "servers"]
    customers = [key for table, key in named if table == "contracts"]
    fingerprints = [key for table, key in named if table == "quarantines"]
    quarantines = rows.quarantines
    return Delta(
        revision,
        up_to,
        False,
        tuple(row for row in ranges if row is not None),
        tuple(rows.servers[key] for key in servers if key in rows.servers),
        tuple(key for key in servers if key not in rows.servers),
        tuple(rows.contracts[key] for key in customers),
        tuple(quarantines[key] for key in fingerprints if key in quarantines),
        tuple(key for key in fingerprints if key not in quarantines),
        *_make_document_delta(rows, named),
        _list_zones_if_changed(rows, named),
        _list_warmups(rows, {k for table, k in named if table == "routed-services"}),
    )


def _list_zones_if_changed(
    rows: Rows, named: list[tuple[str, str]]
) -> tuple[str, ...] | None:
    """Return all evacuated zones if any of them has changed, else None."""
    if not any(table == "evacuations" for table, _ in named):
        return None
    return rows.list_evacuated_zones()


def _list_warmups(rows: Rows, names: Container[str]) -> tuple[ServiceWarmup, ...]:
    """Return what cold servers of the named services stand, where that is limited."""
    services = rows.route_store.document.services
    found = (rows.find_warmup(each.name) for each in services if each.name in names)
    return tuple(warmup for warmup in found if warmup is not None)


def _make_document_delta(
    rows: Rows, named: list[tuple[str, str]]
) -> tuple[
    tuple[Route, ...],
    tuple[str, ...],
    tuple[RoutedService, ...],
    tuple[str, ...],
    DocumentHead | None,
]:
    """Return the changed parts of the route document, without their sources."""
    names = [key for table, key in named if table == "routes"]
    services = [key for table, key in named if table == "routed-services"]
    if not any(table == "document" for table, _ in named):
        return (), (), (), (), None
    document = rows.route_store.document
    routes = {route.name: route for route in document.routes}
    routed = {service.name: service for service in document.services}
    return (
        tuple(_drop_source(routes[name]) for name in names if name in routes),
        tuple(name for name in names if name not in routes),
        tuple(_drop_source(routed[name]) for name in services if name in routed),
        tuple(name for name in services if name not in routed),
        DocumentHead(document.version, _drop_source(document.limits)),
    )


def _make_full_delta(rows: Rows, up_to: int) -> Delta:
    """Return all rows."""
    return Delta(
        0,
        up_to,
        True,
        tuple(rows.ranges),
        tuple(rows.servers.values()),
        (),
        tuple(rows.contracts.values()),
        tuple(rows.quarantines.values()),
        (),
        tuple(_drop_source(route) for route in rows.route_store.document.routes),
        (),
        tuple(_drop_source(service) for service in rows.route_store.document.services),
        (),
        DocumentHead(
            rows.route_store.document.version,
            _drop_source(rows.route_store.document.limits),
        ),
        rows.list_evacuated_zones(),
        _list_warmups(rows, {each.name for each in rows.route_store.document.services}),
    )


def _drop_source(item: _Item) -> _Item:
    """Return a record without its source, which entry hosts do not use."""
    return item._replace(source=b"")
