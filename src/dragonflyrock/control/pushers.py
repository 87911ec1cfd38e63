"""The interface that sends grants to servers, and one that sends none."""

from __future__ import annotations

from typing import Protocol

from ..models import ServerRow
from . import calls

__all__ = ["NoPusher", "Pusher"]


class Pusher(Protocol):
    """Sends grants to servers that announce themselves."""

    def push(self, server: ServerRow, grants: calls.GrantSet) -> None:
        """Send a server its grants."""

    def close(self) -> None:
        """Release all resources."""


class NoPusher:
    """The pusher of a member whose servers are granted their ranges by orders."""

    def push(self, server: ServerRow, grants: calls.GrantSet) -> None:
        """Do nothing: such servers hold no sets of grants."""

    def close(self) -> None:
        """Do nothing."""
