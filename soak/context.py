"""Data that all components of a run share."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import NamedTuple

from .history import History
from .layout import Layout


class RunContext(NamedTuple):
    """The addresses, the history, the folder for files, and the seed.

    ``former`` is a checkout of another version, from which each node starts at first
    and after every second restart: an upgrade of one node after the other, and back.
    """

    layout: Layout
    history: History
    folder: Path
    seed: int
    former: Path | None = None

    def make_random(self, name: str) -> Random:
        """Return the random generator of a component, seeded by its name."""
        return Random(f"{self.seed} {name}")
