"""Data that all components of a run share."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import NamedTuple

from .history import History
from .layout import Layout


class RunContext(NamedTuple):
    """The addresses, the history, the folder for files, and the seed."""

    layout: Layout
    history: History
    folder: Path
    seed: int

    def make_random(self, name: str) -> Random:
        """Return the random generator of a component, seeded by its name."""
        return Random(f"{self.seed} {name}")
