"""Key files for CURVE encryption of the links between nodes."""

from __future__ import annotations

import os
from pathlib import Path

import zmq

from ..errors import DragonflyrockError
from ..settings import Settings
from .links import CurveKeys

__all__ = ["load_keys", "make_key_file"]


def make_key_file(path: Path) -> str:
    """Write a new secret key to a file that only its owner can read.

    Return the public key. Raise ``FileExistsError`` if the file exists.
    """
    public, secret = zmq.curve_keypair()
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(secret + b"\n")
    return public.decode()


def load_keys(settings: Settings) -> CurveKeys | None:
    """Return the keys for the links, or None if the settings disable encryption.

    Raise ``DragonflyrockError`` if the key file is invalid or its key does not match
    the public key of this host in the settings.
    """
    if not settings.keys.curve_secret_file:
        return None
    path = Path(settings.keys.curve_secret_file)
    try:
        secret = path.read_bytes().strip()
        public = zmq.curve_public(secret)
    except (OSError, ValueError, zmq.ZMQError) as error:
        detail = f"keys.curve_secret_file: {path}: {error}"
        raise DragonflyrockError(detail, step="settings") from error
    hosts = {peer.name: peer.curve_public_key for peer in settings.hosts}
    if hosts.get(settings.host.name) != public.decode():
        detail = f"{path}: does not match hosts.{settings.host.name}.curve_public_key"
        raise DragonflyrockError(detail, step="settings")
    return CurveKeys(public.decode(), secret.decode(), hosts)
