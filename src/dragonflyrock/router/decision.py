"""The decision where a request goes: to which server, or why to none."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from .admission import compute_wait_limit
from .choice import choose_fastest
from .models import Rejection, RejectionCause, RequestContext, RouterConfig
from .server_stats import (
    ServerStat,
    estimate_processing_time,
    estimate_wait,
    is_unresponsive,
)
from .state import RouterState

__all__ = [
    "LEAVING_GRACE_SECONDS",
    "OWNER_CAUSES",
    "OWNER_WAIT_SECONDS",
    "choose_server",
]

# A request whose key has no owner, or whose server is not the owner yet, waits up to
# this long for newer rows.
OWNER_WAIT_SECONDS: Final = 0.3
# Only the owner can run requests of its keys, so it gets them until they have moved,
# at most this long. A leaving server must get no requests 2 s after it was heard, and
# a host hears of it within one renewal.
LEAVING_GRACE_SECONDS: Final = 0.9
# Causes for which newer rows may name another owner.
OWNER_CAUSES: Final = frozenset(
    (
        RejectionCause.NO_OWNER,
        RejectionCause.ENDED,
        RejectionCause.LEAVING,
        RejectionCause.EVACUATED,
    )
)


def choose_server(
    state: RouterState, config: RouterConfig, context: RequestContext, now: float
) -> ServerStat | Rejection:
    """Return the server to send a request to, or why the request is rejected."""
    if context.key_hash is not None:
        found = _find_owner(state, context, now)
    else:
        found = _choose_any(state, config, context, now)
    if isinstance(found, Rejection):
        return found
    stat, expected = found
    if context.sends and context.key_hash is None:
        return stat
    return _admit(state, context, stat, expected, now)


def _find_owner(
    state: RouterState, context: RequestContext, now: float
) -> tuple[ServerStat, float] | Rejection:
    """Return the owner of the request's key and its expected seconds to answer."""
    assert context.key_hash is not None
    owner = state.find_owner(context.service, context.key_hash)
    if owner is None:
        return _reject_owner("the key has no owner", RejectionCause.NO_OWNER)
    stat = state.stats[owner.name]
    if stat.ended:
        return _reject_owner("the owner has ended", RejectionCause.ENDED)
    leaving = state.leaving.find(stat.row)
    if leaving is not None and now - leaving.since > LEAVING_GRACE_SECONDS:
        return _reject_owner("the owner is leaving", RejectionCause.LEAVING)
    if state.is_past_evacuation(stat.row, now):
        detail = "the owner's zone is evacuated"
        return _reject_owner(detail, RejectionCause.EVACUATED)
    closed = _find_closed(state, (stat,), now)
    if closed is not None:
        return closed
    if now < stat.down_until:
        return Rejection("the owner cannot be reached", stat.down_until - now)
    service = state.get_service_stat(context.service)
    if is_unresponsive(stat, service, now):
        return Rejection("the owner does not respond", OWNER_WAIT_SECONDS)
    context.server = stat.row.life
    return stat, estimate_wait(stat, service, now)


def _reject_owner(detail: str, cause: RejectionCause) -> Rejection:
    """Return the rejection of a request for which another owner may be found soon."""
    return Rejection(detail, OWNER_WAIT_SECONDS, cause)


def _choose_any(
    state: RouterState, config: RouterConfig, context: RequestContext, now: float
) -> tuple[ServerStat, float] | Rejection:
    """Return the best server of a service without keys, and its expected seconds."""
    stats = state.by_service.get(context.service, ())
    closed = _find_closed(state, stats, now)
    if closed is not None:
        return closed
    choice = choose_fastest(
        [stat for stat in stats if _is_open(state, stat, now)],
        state.get_service_stat(context.service),
        config.host,
        config.zone,
        context.route.target_ms / 1000,
        frozenset(context.avoid),
        now,
        lambda name: state.cold.is_cold(name, now),
    )
    if choice is None:
        return Rejection("the service has no server", OWNER_WAIT_SECONDS)
    return choice


def _is_open(state: RouterState, stat: ServerStat, now: float) -> bool:
    """Return whether a server may get one more request, as far as it said."""
    ramp = state.pauses.get_ramp_limit(stat.row, now)
    if ramp is not None and stat.in_flight + stat.connecting >= ramp:
        return False
    return not state.rates.get_denied_seconds(stat.row, now)


def _find_closed(
    state: RouterState, stats: Sequence[ServerStat], now: float
) -> Rejection | None:
    """Return the rejection if none of these servers takes a request now."""
    if not stats or any(_is_open(state, stat, now) for stat in stats):
        return None
    return min(
        (_explain_closed(state, stat, now) for stat in stats),
        key=lambda rejection: rejection.retry_after,
    )


def _explain_closed(state: RouterState, stat: ServerStat, now: float) -> Rejection:
    """Return why a server takes no request now, and for how long."""
    pause = state.pauses.get_seconds_left(stat.row, now)
    denied = state.rates.get_denied_seconds(stat.row, now)
    if denied > pause:
        return Rejection(
            "the server's limit has no room", denied, RejectionCause.LIMITED
        )
    return Rejection("the server asked for a pause", pause, RejectionCause.PAUSED)


def _admit(
    state: RouterState,
    context: RequestContext,
    stat: ServerStat,
    expected: float,
    now: float,
) -> ServerStat | Rejection:
    """Return the server if it is expected to answer in time, else the rejection."""
    service = state.get_service_stat(context.service)
    processing_time = estimate_processing_time(stat, service, now)
    limit = compute_wait_limit(
        context.target_at - now, context.deadline - now, processing_time
    )
    if expected <= limit:
        return stat
    age = min(now - stat.reported_at, 99.0)
    detail = (
        f"expected response time {expected:.3f} s is above the limit"
        f" {limit:.3f} s; processing time {processing_time:.3f} s,"
        f" reported backlog {stat.reported_backlog:.1f}, {age:.2f} s old"
    )
    return Rejection(detail, expected - limit)
