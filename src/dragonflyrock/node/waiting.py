"""Entry hosts that wait for a leader, and the links to them."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["WaitingHosts"]

ChangeLink = Callable[[str], None]


class WaitingHosts:
    """Keep links open to hosts that renew while no leader is known.

    Whoever is elected can then send them rows at once. The others close their
    links again.
    """

    def __init__(self, meet: ChangeLink, part: ChangeLink) -> None:
        """Open links with ``meet`` and close them with ``part``."""
        self._meet = meet
        self._part = part
        self._hosts: set[str] = set()

    def hear(self, host: str, leader: str) -> None:
        """Note a renewal of a host; ``leader`` is empty while none is known."""
        if not leader and host not in self._hosts:
            self._hosts.add(host)
            self._meet(host)

    def tick(self, leader: str, me: str) -> None:
        """Forget the hosts once there is a leader, which keeps its links."""
        if not leader:
            return
        if leader != me:
            for host in self._hosts:
                self._part(host)
        self._hosts.clear()
