"""Notices to entry hosts about which nodes are voters of the control group."""

from __future__ import annotations

from typing import Final

from ..transport.messages import ControlMembers

__all__ = ["MemberNotices"]

# A notice may be lost with its connection, so it is repeated.
REPEAT_INTERVAL_SECONDS: Final = 10.0


class MemberNotices:
    """The voters that each entry host was told of, and when."""

    def __init__(self) -> None:
        """Start without notices."""
        self._sent: dict[str, tuple[tuple[str, ...], float]] = {}

    def make_notice(
        self, holder: str, voters: tuple[str, ...], now: float
    ) -> ControlMembers | None:
        """Return the notice that a host needs when it renews, or None.

        ``holder`` identifies the host's process, ``now`` is in seconds.
        """
        told, sent_at = self._sent.get(holder, ((), 0.0))
        if told == voters and now - sent_at < REPEAT_INTERVAL_SECONDS:
            return None
        self._forget_silent_hosts(now)
        self._sent[holder] = (voters, now)
        return ControlMembers(voters)

    def _forget_silent_hosts(self, now: float) -> None:
        """Forget hosts that did not renew here for two intervals."""
        oldest = now - 2 * REPEAT_INTERVAL_SECONDS
        for holder in [h for h, (_, sent_at) in self._sent.items() if sent_at < oldest]:
            del self._sent[holder]
