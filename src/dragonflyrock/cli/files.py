"""Commands on local files, which call no daemon."""

from __future__ import annotations

import hashlib
from pathlib import Path

from ..settings import load_settings
from ..transport.keys import make_key_file
from .client import CommandError

__all__ = ["check_settings", "hash_token", "make_keys"]


def check_settings(file: Path) -> int:
    """Check a settings file without starting a daemon.

    :param file: the settings file (TOML)
    """
    settings = load_settings(file)
    roles = ", ".join(settings.host.roles)
    print(f"{file}: valid: {settings.host.name} ({roles})")
    return 0


def make_keys(file: Path) -> int:
    """Make a CURVE key pair: write the secret key to a new file, print the public key.

    :param file: the file for the secret key; it must not exist
    """
    try:
        print(make_key_file(file))
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}", "write") from error
    return 0


def hash_token(file: Path) -> int:
    """Print the SHA-256 of the token in a file, for contracts and settings.

    :param file: the file with the token
    """
    try:
        token = file.read_text().strip()
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}", "read") from error
    print(hashlib.sha256(token.encode()).hexdigest())
    return 0
