"""What the settings say of a service."""

from __future__ import annotations

from typing import NamedTuple

from ..systems.placement import PlacementPolicy

__all__ = ["ServicePolicy"]


class ServicePolicy(NamedTuple):
    """A service as the settings have it.

    ``checks_grants`` overrides what the servers say of themselves.
    """

    range_count: int
    placement: PlacementPolicy
    checks_grants: bool | None = None
