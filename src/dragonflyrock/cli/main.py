"""The command ``dragonflyrock``: exit 0 done, 1 refused, 2 wrong usage."""

from __future__ import annotations

import sys

import defopt

from ..errors import DragonflyrockError
from ..settings import SettingsError
from .commands import COMMANDS, describe_failure

__all__ = ["main"]


def main() -> None:
    """Run one command."""
    try:
        status = defopt.run(COMMANDS)
    except SettingsError as error:
        print(f"dragonflyrock: {error}", file=sys.stderr)
        sys.exit(2)
    except DragonflyrockError as error:
        print(f"dragonflyrock: {describe_failure(error)}", file=sys.stderr)
        sys.exit(1)
    sys.exit(status)


if __name__ == "__main__":
    main()
