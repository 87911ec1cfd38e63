"""Tests of the modules that a node loads before it serves."""

from __future__ import annotations

import subprocess
import sys
from typing import Final

import pytest

ENTRY: Final = ("dragonflyrock.node.entry", "dragonflyrock.platform.header_names")
CONTROL: Final = (
    "dragonflyrock.node.control",
    "dragonflyrock.platform.control_calls",
    "dragonflyrock.platform.orders",
)
LARGE_PACKAGES: Final = ("prometheus_client", "cheroot", "urllib3", "zmq.auth.thread")
DAEMON: Final = ("dragonflyrock.daemon", "dragonflyrock.settings")
LEADER: Final = ("dragonflyrock.consensus", "dragonflyrock.control.commands")
ROUTER: Final = ("dragonflyrock.router", "dragonflyrock.entry")


# Guards against slow starts: a node that also loads modules which its role never needs
# takes up to twice as long to start.
@pytest.mark.parametrize(
    ("role", "unneeded"),
    [
        (ENTRY, LARGE_PACKAGES + DAEMON + LEADER),
        (CONTROL, LARGE_PACKAGES + DAEMON + ROUTER),
    ],
)
def test_a_role_loads_only_the_modules_that_it_needs(
    role: tuple[str, ...], unneeded: tuple[str, ...]
) -> None:
    names = ("sys", "dragonflyrock.platform.main", *role)
    code = f"import {', '.join(names)}; print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    loaded = set(completed.stdout.split())
    assert loaded.isdisjoint(unneeded), loaded & set(unneeded)
