"""Links to entry hosts that renew while no leader is known."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["WaitingHosts"]

ChangeLink = Callable[[str], None]


class WaitingHosts:
    """Open links to hosts that renew while no leader is known.

    The node that is elected can then send them rows at once. The other nodes close
    their links after the election.
    """

    def __init__(self, connect: ChangeLink, disconnect: ChangeLink) -> None:
        """Initialize without hosts; the functions open and close the link to a host."""
        self._connect = connect
        self._disconnect = disconnect
        self._hosts: set[str] = set()

    def receive_renewal(self, host: str, leader: str) -> None:
        """Handle a host's renewal; ``leader`` is empty while none is known."""
        if not leader and host not in self._hosts:
            self._hosts.add(host)
            self._connect(host)

    def tick(self, leader: str, own_name: str) -> None:
        """Remove the hosts once there is a leader; only the leader keeps its links."""
        if not leader:
            return
        if leader != own_name:
            for host in self._hosts:
                self._disconnect(host)
        self._hosts.clear()
