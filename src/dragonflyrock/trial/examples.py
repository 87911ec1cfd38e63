"""Write the example settings: ``python -m dragonflyrock.trial.examples FOLDER``."""

from __future__ import annotations

import hashlib
import sys
from pathlib import Path

import defopt

from .fleet import OPERATOR_TOKEN
from .plans import LAHORE, STOCKHOLM, format_settings

__all__ = ["write_examples"]


def write_examples(folder: Path) -> int:
    """Write the settings file of every host of both example systems.

    :param folder: the folder to write to, one subfolder per system
    """
    digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    for plan in (LAHORE, STOCKHOLM):
        target = folder / plan.name
        target.mkdir(parents=True, exist_ok=True)
        for number in range(plan.hosts):
            text = format_settings(plan, number, f"var/{plan.name}", digest)
            (target / f"{plan.host_name(number)}.toml").write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(write_examples))
