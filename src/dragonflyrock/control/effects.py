"""Effects: the messages and proposals that a leader decides on."""

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
    """Propose a command to the control group."""

    command: c.Command


@dataclass(frozen=True, slots=True)
class PushUpdate:
    """Send an entry host changed rows."""

    host: str
    update: HostUpdate


@dataclass(frozen=True, slots=True)
class PushGrants:
    """Send a backend server its grants, and record the acknowledgement."""

    server: ServerRow
    grants: calls.GrantSet


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send a backend server an order, and handle its result."""

    order: Order


Effect = ProposeCommand | PushUpdate | PushGrants | SendOrder
