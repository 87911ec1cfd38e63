"""A control node passes the backlogs of servers on among the hosts that it serves."""

from __future__ import annotations

from typing import Final

from ..transport.messages import ServerLoad, ServerLoads

__all__ = ["LoadHub"]

DIGEST_INTERVAL_SECONDS: Final = 0.1
# A host that has not renewed here for this time gets its rows elsewhere.
HOST_TIMEOUT_SECONDS: Final = 3.0
# Enough for the servers of a large availability zone; more are told of later.
MAX_DIGEST_LOADS: Final = 512


class LoadHub:
    """The hosts that take backlogs, and those that changed since the last digest."""

    def __init__(self) -> None:
        """Start without hosts."""
        self._hosts: dict[str, float] = {}
        self._senders: set[str] = set()
        self._heard_at: dict[str, float] = {}
        self._changed: dict[str, tuple[int, float, int]] = {}
        self._sent_at = 0.0

    def add_host(self, name: str, now: float) -> bool:
        """Record that a host takes backlogs; return whether it is to be greeted.

        It is until it has sent some: the first messages to a host may be lost, as the
        link to it is not open yet.
        """
        self._hosts[name] = now
        return name not in self._senders

    def receive(self, sender: str, loads: tuple[ServerLoad, ...], now: float) -> None:
        """Record the backlogs that a host has heard of, if they are the latest ones."""
        if sender not in self._hosts:
            return
        self._senders.add(sender)
        for name, backlog, age_ms, percent in loads[:MAX_DIGEST_LOADS]:
            at = now - max(age_ms, 0) / 1000
            if at <= self._heard_at.get(name, 0.0):
                continue
            self._heard_at[name] = at
            known = percent or self._changed.get(name, (0, 0.0, 0))[2]
            self._changed[name] = (backlog, at, known)

    def make_digest(self, now: float) -> tuple[list[str], ServerLoads] | None:
        """Return the hosts and what to tell them, if it is due and there is any."""
        if now - self._sent_at < DIGEST_INTERVAL_SECONDS or not self._changed:
            return None
        self._sent_at = now
        self._forget_silent(now)
        told = list(self._changed.items())[:MAX_DIGEST_LOADS]
        for name, _ in told:
            del self._changed[name]
        loads = tuple(
            ServerLoad(name, backlog, round((now - at) * 1000), percent)
            for name, (backlog, at, percent) in told
        )
        return list(self._hosts), ServerLoads(loads)

    def _forget_silent(self, now: float) -> None:
        """Forget the hosts that renew elsewhere, and servers without requests."""
        since = now - HOST_TIMEOUT_SECONDS
        self._hosts = {name: at for name, at in self._hosts.items() if at > since}
        self._senders &= self._hosts.keys()
        if len(self._heard_at) > 2 * MAX_DIGEST_LOADS:
            self._heard_at = {n: at for n, at in self._heard_at.items() if at > since}
