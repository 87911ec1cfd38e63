"""Proposals of a leader; only one of each kind and subject is pending at a time."""

from __future__ import annotations

from ..codec import get_outer_name
from . import commands as c
from .effects import Effect, ProposeCommand

__all__ = ["Proposals", "name_proposal"]


class Proposals:
    """The pending proposals."""

    def __init__(self) -> None:
        """Start without proposals."""
        self._pending: set[str] = set()

    def propose(self, command: c.Command) -> list[Effect]:
        """Return a proposal, unless one with the same name is pending."""
        name = name_proposal(command)
        if name in self._pending:
            return []
        self._pending.add(name)
        return [ProposeCommand(command)]

    def complete_proposal(self, command: c.Command) -> None:
        """Record that a proposal was applied or has failed, and may be made again."""
        self._pending.discard(name_proposal(command))


def name_proposal(command: c.Command) -> str:
    """Return the name of a proposal: its kind and what it is about."""
    kind = get_outer_name(type(command))
    match command:
        case c.RegisterServer(server):
            return f"{kind}:{server.holder}"
        case c.RegisterHost(host):
            return f"{kind}:{host.holder}"
        case c.ForgetHost(holder):
            return f"{kind}:{holder}"
        case c.DeclareService(service):
            return f"{kind}:{service}"
        case c.StopServer(server) | c.DropServer(server):
            return f"{kind}:{server}"
        case c.AssignRanges(service, parts):
            lows = ",".join(f"{part.low}={part.owner}" for part in parts)
            return f"{kind}:{service}:{lows}"
        case c.JoinRanges(service, low):
            return f"{kind}:{service}:{low}"
        case c.BeginMoves(moves):
            return f"{kind}:{moves[0].service}"
    return f"{kind}:"
