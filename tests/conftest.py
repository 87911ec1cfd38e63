"""Fixtures that all tests share."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from dragonflyrock.trial import Fleet, FleetPlan

from .common import find_free_ports

StartFleet = Callable[[FleetPlan], Fleet]


@pytest.fixture
def start_fleet(tmp_path: Path) -> Iterator[StartFleet]:
    """Start fleets on free ports and end them after the test."""
    fleets: list[Fleet] = []

    def start(plan: FleetPlan) -> Fleet:
        fleet = Fleet(plan._replace(first_port=find_free_ports()), tmp_path)
        fleets.append(fleet)
        fleet.start_hosts()
        fleet.start_servers()
        fleet.wait_ready()
        return fleet

    yield start
    for fleet in fleets:
        fleet.close()
