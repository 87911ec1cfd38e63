"""The platform's names stand in its folder only."""

from __future__ import annotations

import re
from pathlib import Path

import dragonflyrock

SOURCES = Path(dragonflyrock.__file__).parent
NAMES = re.compile(
    r"[Xx]-[Dd]ragonflyrock|/-/|maxAttempts|targetLatencyMs|heartbeatAddress"
    r"|DRAGONFLYROCK_SETTINGS|trafficSplit|pathPrefix|deregister"
)


def test_no_other_file_has_a_name_of_the_platform() -> None:
    found = [
        f"{path.relative_to(SOURCES)}: {match.group()}"
        for path in SOURCES.rglob("*.py")
        if "platform" not in path.relative_to(SOURCES).parts
        for match in NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_the_folder_keeps_no_time_and_draws_no_lots() -> None:
    for path in (SOURCES / "platform").glob("*.py"):
        text = path.read_text()
        assert "import random" not in text
        assert "call_later" not in text
        assert "monotonic" not in text
