"""Addresses of the form ``ip:port``."""

from __future__ import annotations

from typing import Final

__all__ = ["is_address"]

MAX_OCTET: Final = 255
MAX_PORT: Final = 65_535
MAX_PORT_DIGITS: Final = 5


def is_address(text: str) -> bool:
    """Return whether a text is ``ip:port`` with an IPv4 address and a port above 0.

    >>> is_address("10.0.0.9:8080"), is_address("10.0.0.9:0"), is_address("host:80")
    (True, False, False)
    """
    ip, _, port = text.rpartition(":")
    octets = ip.split(".")
    if len(octets) != 4 or not all(_is_number(octet, MAX_OCTET) for octet in octets):
        return False
    return _is_number(port, MAX_PORT) and int(port) > 0


def _is_number(text: str, maximum: int) -> bool:
    """Return whether a text is a decimal number up to ``maximum``."""
    if not text.isascii() or not text.isdecimal() or len(text) > MAX_PORT_DIGITS:
        return False
    return int(text) <= maximum
