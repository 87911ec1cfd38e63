"""Apply changes to the route document, and validate it."""

from __future__ import annotations

from typing import Final

from .models import RouteChange, RouteDocument

__all__ = ["apply_change", "count_source_bytes", "validate_document"]

# A target latency this far above the timeout can only be a mistake in the unit.
MAX_TARGET_OVER_TIMEOUT_MS: Final = 60_000


def apply_change(document: RouteDocument, change: RouteChange) -> RouteDocument:
    """Return the document after a change.

    Replaced routes and services keep their position, and new ones are appended.
    """
    routes = {route.name: route for route in document.routes}
    for name in change.removed_routes:
        routes.pop(name, None)
    routes.update({route.name: route for route in change.routes})
    services = {service.name: service for service in document.services}
    for name in change.removed_services:
        services.pop(name, None)
    services.update({service.name: service for service in change.services})
    return RouteDocument(
        change.version,
        tuple(routes.values()),
        tuple(services.values()),
        change.limits or document.limits,
    )


def count_source_bytes(document: RouteDocument) -> int:
    """Return the bytes of a document as the operator wrote it."""
    routes = sum(len(route.source) for route in document.routes)
    services = sum(len(service.source) for service in document.services)
    return routes + services + len(document.limits.source)


def validate_document(document: RouteDocument, current_version: int) -> list[str]:
    """Return why a document cannot replace the current version; empty if it can."""
    errors = []
    if document.version <= current_version:
        errors.append(f"version {document.version} is not above {current_version}")
    services = {service.name for service in document.services}
    if len(services) != len(document.services):
        errors.append("two services have the same name")
    names = {route.name for route in document.routes}
    if len(names) != len(document.routes):
        errors.append("two routes have the same name")
    matches = {(route.host, route.prefix) for route in document.routes}
    if len(matches) != len(document.routes):
        errors.append("two routes have the same host and prefix")
    for route in document.routes:
        where = f"route {route.name}"
        unknown = [s.service for s in route.shares if s.service not in services]
        if unknown:
            errors.append(f"{where}: unknown service {unknown[0]}")
        weights = [share.weight for share in route.shares]
        if any(weight < 0 for weight in weights):
            errors.append(f"{where}: a weight is below 0")
        if sum(weights) <= 0:
            errors.append(f"{where}: the weights add up to 0")
        if route.target_ms >= route.timeout_ms + MAX_TARGET_OVER_TIMEOUT_MS:
            errors.append(f"{where}: the target latency is far above the timeout")
        if route.timeout_ms <= 0 or route.max_attempts < 1:
            errors.append(f"{where}: timeout and attempts must be above 0")
    return errors
