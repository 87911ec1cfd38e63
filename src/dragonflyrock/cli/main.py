"""The command ``dragonflyrock``.

Exit status 0: success; 1: refused or failed; 2: wrong usage or invalid settings.
"""

from __future__ import annotations

import sys

import defopt

from ..errors import DragonflyrockError
from ..settings import SettingsError
from .commands import COMMANDS, describe_failure

__all__ = ["main"]


def main() -> None:
    """Run the command given by the arguments."""
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
