"""CURVE keys: made by the tool, read by the daemon."""

from __future__ import annotations

import os
from pathlib import Path

import zmq

from ..errors import DragonflyrockError
from ..settings import Settings
from .links import CurveKeys

__all__ = ["load_keys", "make_key_file"]


def make_key_file(path: Path) -> str:
    """Write a new secret key, for its owner's eyes only; return the public key."""
    public, secret = zmq.curve_keypair()
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(secret + b"\n")
    return public.decode()


def load_keys(settings: Settings) -> CurveKeys | None:
    """Return the keys of the settings; None where links are not encrypted."""
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
        detail = f"{path}: not the key of hosts.{settings.host.name}.curve_public_key"
        raise DragonflyrockError(detail, step="settings")
    return CurveKeys(public.decode(), secret.decode(), hosts)
