"""What every party of a run shares."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import NamedTuple

from .history import History
from .layout import Layout


class World(NamedTuple):
    """The addresses, the history, the folder for files, and the seed."""

    layout: Layout
    history: History
    folder: Path
    seed: int

    def draw(self, name: str) -> Random:
        """Return a source of chance for one party."""
        return Random(f"{self.seed} {name}")
