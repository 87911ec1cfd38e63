"""Changes of the control state after a revision, for entry hosts."""

from __future__ import annotations

from typing import TypeVar

from ..models import Delta, DocumentHead, RangeRef
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
    )


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
    )


def _drop_source(item: _Item) -> _Item:
    """Return a record without its source, which entry hosts do not use."""
    return item._replace(source=b"")
