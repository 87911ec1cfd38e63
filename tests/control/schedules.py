"""Schedules of failures for the worlds of directed servers, and what must hold."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Final

from .directed_world import TIMING, DirectedWorld
from .heartbeat_world import BEAT_SECONDS, HeartbeatWorld

__all__ = ["ACTIONS", "WORLDS", "play", "recover"]

START_SECONDS: Final = 5.0
# A hold with the clock drift, an order's timeout and two rounds of renewals.
RECOVERY_SECONDS: Final = (
    TIMING.hold_with_drift + TIMING.order_timeout + 2 * TIMING.renew_interval + 4.0
)
SHARED_ACTIONS: Final = (
    "crash",
    "leave",
    "cut",
    "heal",
    "leader",
    "heat",
    "cool",
    "late",
    "lost",
    "join",
)
CALL_ACTIONS: Final = (*SHARED_ACTIONS, "restart", "reset")
HEARTBEAT_ACTIONS: Final = (*SHARED_ACTIONS, "unanswered", "calm", "freeze", "restart")
ACTIONS: Final = {"call": CALL_ACTIONS, "heartbeat": HEARTBEAT_ACTIONS}
# A part has an owner again within this time after it was released. By heartbeat it is
# released at one of its owner and taken at one of the next; work may go on for 1.5 s.
HANDOVER_SECONDS: Final = {"call": 1.5, "heartbeat": 2 * BEAT_SECONDS + 2.5}
WORLDS: Final[dict[str, Callable[[int], DirectedWorld]]] = {
    "call": partial(DirectedWorld, says_born=True),
    "heartbeat": HeartbeatWorld,
}


def play(world: DirectedWorld, actions: list[str]) -> None:
    """Play actions on servers drawn by lot, at random times."""
    for action in actions:
        _play_one(world, action)
        world.run(world.random.uniform(0.1, 3.0))


def _play_one(world: DirectedWorld, action: str) -> None:
    """Play one action."""
    up = [
        instance
        for instance in world.instances.values()
        if instance.running and not instance.leaving
    ]
    instance = world.random.choice(up) if up else None
    match action:
        case "crash" if instance is not None:
            world.crash(instance, world.random.uniform(0.5, 5.0))
        case "leave" if instance is not None and len(up) > 2:
            instance.leaving = True
        case "cut" if instance is not None:
            instance.cut_off = True
        case "heal":
            for other in world.instances.values():
                other.cut_off = False
        case "leader":
            world.change_leader()
        case "heat":
            world.set_hot_keys(*range(10, 14))
        case "cool":
            world.set_hot_keys()
        case "join":
            world.start_server(f"10.0.1.{len(world.instances)}:80")
        case "freeze" if instance is not None and isinstance(world, HeartbeatWorld):
            world.freeze(instance, world.random.uniform(0.5, 9.0))
        case "restart" if instance is not None and isinstance(world, HeartbeatWorld):
            world.restart(instance)
        case "restart" if instance is not None:
            world.restart_later(instance, world.random.uniform(0.1, 3.0))
        case "reset":
            world.reset_connections()
        case _:
            _set_faults(world, action)


def _set_faults(world: DirectedWorld, action: str) -> None:
    """Set the shares of messages that are lost, late or unanswered."""
    match action:
        case "late":
            world.faults.late = 0.3
            if not isinstance(world, HeartbeatWorld):
                world.faults.unanswered = 0.2
        case "lost":
            world.faults.lost = 0.3
        case "unanswered":
            world.faults.unanswered = 0.3
        case "calm":
            world.faults.late = world.faults.lost = world.faults.unanswered = 0.0


def recover(world: DirectedWorld, way: str) -> list[str]:
    """End all faults and return what does not hold then, or did not before."""
    world.faults.late = world.faults.lost = world.faults.unanswered = 0.0
    for other in world.instances.values():
        other.cut_off = False
    world.set_hot_keys()
    world.run(RECOVERY_SECONDS * 2)
    missing = world.unserved_for(HANDOVER_SECONDS[way])
    if not missing:
        return world.violations
    return [*world.violations, f"keys {missing} are unserved after the faults"]
