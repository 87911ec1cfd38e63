"""What sends grants to servers: none where servers are granted ranges by orders."""

from __future__ import annotations

from typing import Protocol

from ..models import ServerRow
from . import calls

__all__ = ["NoPusher", "Pusher"]


class Pusher(Protocol):
    """What sends grants to servers that announce themselves."""

    def push(self, server: ServerRow, grants: calls.GrantSet) -> None:
        """Send a server its grants."""

    def close(self) -> None:
        """End."""


class NoPusher:
    """Be the pusher of a member whose servers are granted ranges by orders."""

    def push(self, server: ServerRow, grants: calls.GrantSet) -> None:
        """Send nothing: such servers hold no sets."""

    def close(self) -> None:
        """End."""
