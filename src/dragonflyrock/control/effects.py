"""What a leader's duties ask the daemon to do."""

from __future__ import annotations

from dataclasses import dataclass

from ..models import ServerRow
from ..transport.messages import HostUpdate
from . import calls
from . import commands as c
from .directed_models import Order

__all__ = ["Effect", "ProposeCommand", "PushGrants", "PushUpdate", "SendOrder"]


@dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Commit a command."""

    command: c.Command


@dataclass(frozen=True, slots=True)
class PushUpdate:
    """Send an entry host the rows that it lacks."""

    host: str
    update: HostUpdate


@dataclass(frozen=True, slots=True)
class PushGrants:
    """Send a backend server its grants; report an acknowledgement."""

    server: ServerRow
    grants: calls.GrantSet


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send a backend server an order; report its result."""

    order: Order


Effect = ProposeCommand | PushUpdate | PushGrants | SendOrder
