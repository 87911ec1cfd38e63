"""The settings of a service that the leader uses."""

from __future__ import annotations

from typing import NamedTuple

from ..systems.placement import PlacementPolicy

__all__ = ["ServicePolicy"]


class ServicePolicy(NamedTuple):
    """The settings of one service.

    ``checks_grants`` overrides what the servers announce, unless it is None.
    """

    range_count: int
    placement: PlacementPolicy
    checks_grants: bool | None = None
