"""What keeps a request from a server that was chosen for it before a wait."""

from __future__ import annotations

from enum import StrEnum

from .decision import LEAVING_GRACE_SECONDS
from .models import RequestContext
from .server_stats import ServerStat
from .state import RouterState

__all__ = ["Obstacle", "find_obstacle"]


class Obstacle(StrEnum):
    """Why a server must not get a request any more; ``NONE`` if it may."""

    NONE = ""
    GONE = "gone"
    ENDED = "ended"
    MOVED = "moved"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    PAUSED = "paused"
    QUARANTINED = "quarantined"
    OUTDATED_DOCUMENT = "outdated-document"


def find_obstacle(
    state: RouterState, context: RequestContext, stat: ServerStat, now: float
) -> Obstacle:
    """Return what has changed since the server was chosen."""
    if state.stats.get(stat.row.name) is not stat:
        return Obstacle.GONE
    if stat.ended:
        return Obstacle.ENDED
    if state.is_document_outdated:
        return Obstacle.OUTDATED_DOCUMENT
    if context.key_hash is not None:
        owner = state.find_owner(context.service, context.key_hash)
        if owner is None or owner.name != stat.row.name:
            return Obstacle.MOVED
    leaving = state.leaving.find(stat.row)
    if leaving is not None:
        # Only the owner can run requests of its keys, until they have moved.
        grace = LEAVING_GRACE_SECONDS if context.key_hash is not None else 0.0
        if now - leaving.since > grace:
            return Obstacle.LEAVING
    if state.is_past_evacuation(stat.row, now, keyed=context.key_hash is not None):
        return Obstacle.EVACUATED
    if state.pauses.get_seconds_left(stat.row, now):
        return Obstacle.PAUSED
    return Obstacle.NONE
