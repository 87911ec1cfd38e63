"""Tests that only the package ``platform`` depends on the platform."""

from __future__ import annotations

import re
from pathlib import Path

import dragonflyrock

SOURCES = Path(dragonflyrock.__file__).parent
NAMES = re.compile(
    r"[Xx]-[Dd]ragonflyrock|/-/|maxAttempts|targetLatencyMs|heartbeatAddress"
    r"|DRAGONFLYROCK_SETTINGS|trafficSplit|pathPrefix|deregister"
)


# Guards against names of the platform in packages that do not depend on it.
def test_no_other_package_contains_names_of_the_platform() -> None:
    found = [
        f"{path.relative_to(SOURCES)}: {match.group()}"
        for path in SOURCES.rglob("*.py")
        if "platform" not in path.relative_to(SOURCES).parts
        for match in NAMES.finditer(path.read_text())
    ]
    assert found == []


# Guards against decisions in the adapters, which only translate.
def test_the_package_uses_no_clock_timer_or_random_numbers() -> None:
    for path in (SOURCES / "platform").glob("*.py"):
        text = path.read_text()
        assert "import random" not in text
        assert "call_later" not in text
        assert "monotonic" not in text
