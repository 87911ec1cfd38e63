"""Changes of the route document, and what makes one invalid."""

from __future__ import annotations

from typing import Final

from .models import RouteChange, RouteDocument

__all__ = ["apply_change", "validate_document"]

# A target this far above the time-out can only be a mistake of units.
MAX_TARGET_OVER_TIMEOUT_MS: Final = 60_000


def apply_change(document: RouteDocument, change: RouteChange) -> RouteDocument:
    """Return a document with items replaced in place, added last, or removed."""
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


def validate_document(document: RouteDocument, current_version: int) -> list[str]:
    """Return why a document cannot follow the current version; empty if it can."""
    faults = []
    if document.version <= current_version:
        faults.append(f"version {document.version} is not above {current_version}")
    services = {service.name for service in document.services}
    if len(services) != len(document.services):
        faults.append("two services have one name")
    names = {route.name for route in document.routes}
    if len(names) != len(document.routes):
        faults.append("two routes have one name")
    places = {(route.host, route.prefix) for route in document.routes}
    if len(places) != len(document.routes):
        faults.append("two routes have one host and prefix")
    for route in document.routes:
        where = f"route {route.name}"
        unknown = [s.service for s in route.shares if s.service not in services]
        if unknown:
            faults.append(f"{where}: unknown service {unknown[0]}")
        weights = [share.weight for share in route.shares]
        if any(weight < 0 for weight in weights):
            faults.append(f"{where}: a weight is below 0")
        if sum(weights) <= 0:
            faults.append(f"{where}: the weights add up to 0")
        if route.target_ms >= route.timeout_ms + MAX_TARGET_OVER_TIMEOUT_MS:
            faults.append(f"{where}: the target latency is far above the timeout")
        if route.timeout_ms <= 0 or route.max_attempts < 1:
            faults.append(f"{where}: timeout and attempts must be above 0")
    return faults
