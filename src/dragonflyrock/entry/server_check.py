"""Check whether a server has ended, after a connection to it was lost."""

from __future__ import annotations

import socket
import time
from typing import Final

__all__ = ["has_server_ended"]

# A server whose process is just ending still accepts connections, and resets them.
SETTLE_SECONDS: Final = 0.02
LOOK_AGAIN_SECONDS: Final = 0.05
MAX_LOOKS: Final = 3
CONNECT_TIMEOUT_SECONDS: Final = 0.3
# Time in which a server that turns a new connection away resets it.
ACCEPT_SECONDS: Final = 0.01


def has_server_ended(address: str) -> bool:
    """Return whether nothing listens at a server's ``ip:port`` any more.

    A full server that resets its connections runs on, and a server that cannot be
    reached at all may have been cut off from this host.
    """
    for look in range(MAX_LOOKS):
        time.sleep(LOOK_AGAIN_SECONDS if look else SETTLE_SECONDS)
        try:
            if _is_accepted(address):
                return False
        except ConnectionRefusedError:
            return True
        except ConnectionResetError:
            continue
        except OSError:
            return False
    return False


def _is_accepted(address: str) -> bool:
    """Return whether a new connection stays open; raise ``OSError`` without one."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), CONNECT_TIMEOUT_SECONDS) as sock:
        sock.settimeout(ACCEPT_SECONDS)
        try:
            return bool(sock.recv(1))
        except TimeoutError:
            return True
