"""What a node loads before it serves."""

from __future__ import annotations

import subprocess
import sys
from typing import Final

import pytest

ENTRY: Final = ("dragonflyrock.node.entry", "dragonflyrock.platform.dialect")
CONTROL: Final = (
    "dragonflyrock.node.control",
    "dragonflyrock.platform.control_calls",
    "dragonflyrock.platform.orders",
)
LARGE: Final = ("prometheus_client", "cheroot", "urllib3", "zmq.auth.thread")
PRODUCT: Final = ("dragonflyrock.daemon", "dragonflyrock.settings")
LEADER: Final = ("dragonflyrock.consensus", "dragonflyrock.control.commands")
ROUTER: Final = ("dragonflyrock.router", "dragonflyrock.entry")


# A node that loads what its role never needs starts up to twice as late.
@pytest.mark.parametrize(
    ("role", "spared"),
    [(ENTRY, LARGE + PRODUCT + LEADER), (CONTROL, LARGE + PRODUCT + ROUTER)],
)
def test_a_role_loads_only_what_it_needs(
    role: tuple[str, ...], spared: tuple[str, ...]
) -> None:
    names = ("sys", "dragonflyrock.platform.main", *role)
    code = f"import {', '.join(names)}; print(*sys.modules)"
    told = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    loaded = set(told.stdout.split())
    assert loaded.isdisjoint(spared), loaded & set(spared)
