"""Timing of a control node, derived from its settings."""

from __future__ import annotations

from typing import Final

from ..consensus import Timing
from ..control.directed_models import DirectedTiming
from ..control.tables import LeaderTiming
from ..models import GrantedBy
from .settings import NodeSettings

__all__ = [
    "count_voters",
    "make_consensus_timing",
    "make_directed_timing",
    "make_lease_timing",
]

MIN_VOTERS: Final = 3
# One answer may be lost, and the next be on its way.
UNANSWERED_RENEWALS: Final = 3
# Two heartbeats may be lost or late in a row.
MISSED_HEARTBEATS: Final = 3
# For heartbeats that come late, or by way of a follower.
HEARTBEAT_MARGIN_SECONDS: Final = 0.3


def count_voters(settings: NodeSettings) -> int:
    """Return the number of voters that still has a majority after tolerated losses.

    The first three voters remain as long as that is enough.
    """
    return max(MIN_VOTERS, 2 * settings.bounds.lost_machines + 1)


def make_consensus_timing(settings: NodeSettings) -> Timing:
    """Return the timeouts of the replicated log."""
    timeouts = settings.timeouts
    timing = Timing.from_ms(
        timeouts.heartbeat_ms, timeouts.election_min_ms, timeouts.election_max_ms
    )
    return timing._replace(push_commit_index=True)


def make_lease_timing(settings: NodeSettings) -> LeaderTiming:
    """Return the leases and timeouts of entry nodes."""
    timeouts = settings.timeouts
    return LeaderTiming(
        entry_lease=timeouts.host_lease_ms / 1000,
        answer_timeout=UNANSWERED_RENEWALS * timeouts.host_renew_ms / 1000,
        longest_deadline=timeouts.host_lease_ms / 1000,
    )


def make_directed_timing(settings: NodeSettings) -> DirectedTiming:
    """Return the holds and timeouts of servers that are granted ranges by orders."""
    timeouts = settings.timeouts
    return DirectedTiming(
        hold=timeouts.hold_ms / 1000,
        renew_interval=timeouts.hold_renew_ms / 1000,
        silence_timeout=MISSED_HEARTBEATS * settings.bounds.announce_ms / 1000
        + HEARTBEAT_MARGIN_SECONDS,
        granted_by=GrantedBy(settings.ownership.granted_by),
    )
