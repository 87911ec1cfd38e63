"""Tests of the bounds that follow from the size of a machine."""

from __future__ import annotations

import os
import resource

import pytest

from dragonflyrock.client_guard import (
    CONNECTION_BYTES,
    ENTRY_SHARES,
    UNKNOWN_MACHINE_MB,
    MachineSize,
    make_client_guard,
    measure_machine,
)

LARGEST_BODY_BYTES = 64 * 1024 * 1024


# Guards against a size that the settings name and that is not used.
def test_settings_name_the_size() -> None:
    assert measure_machine(300, 4_100) == MachineSize(300_000_000, 4_100)


# Guards against a process without bounds where the settings say nothing, and against
# one that takes all of a large machine or more than there is of a small one.
@pytest.mark.parametrize("physical_mb", [100, 64_000])
def test_a_machine_of_unknown_size_has_bounds(
    monkeypatch: pytest.MonkeyPatch, physical_mb: int
) -> None:
    sizes = {"SC_PAGE_SIZE": 1_000, "SC_PHYS_PAGES": physical_mb * 1_000}
    monkeypatch.setattr(os, "sysconf", sizes.__getitem__)
    monkeypatch.setattr(resource, "getrlimit", lambda kind: (1_024, 4_096))
    expected_mb = min(physical_mb, UNKNOWN_MACHINE_MB)
    assert measure_machine(0, 0) == MachineSize(expected_mb * 1_000_000, 1_024)


# Guards against connections without bound where there is no limit of descriptors.
def test_connections_have_a_bound_without_a_limit_of_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    monkeypatch.setattr(resource, "getrlimit", lambda kind: unlimited)
    guard = make_client_guard(measure_machine(300, 0), ENTRY_SHARES)
    assert 1_000 < guard.max_connections <= 300_000_000 // CONNECTION_BYTES


# Guards against 0 connections, which stands for no bound, on a very small machine.
def test_a_very_small_machine_has_one_connection() -> None:
    assert make_client_guard(MachineSize(1, 1), ENTRY_SHARES).max_connections == 1


# Guards against a default that one legal request meets.
def test_one_largest_body_fits_a_machine_of_unknown_size() -> None:
    unknown = MachineSize(UNKNOWN_MACHINE_MB * 1_000_000, 1_024)
    guard = make_client_guard(unknown, ENTRY_SHARES)
    assert guard.memory.limit > 2 * LARGEST_BODY_BYTES
