"""The commands of the tool by name; each function returns an exit status."""

from __future__ import annotations

from typing import Final

from ..errors import DragonflyrockError
from .contracts import get_contract, list_contracts, put_contract
from .files import check_settings, hash_token, make_keys
from .members import add_member, hand_over_leadership, list_members, remove_member
from .quarantines import lift_quarantine, list_quarantines
from .status import show_status
from .stops import cancel_stop, list_stops, plan_stop
from .timeline import show_timeline
from .zones import evacuate_zone, return_zone

__all__ = ["COMMANDS", "describe_failure"]

COMMANDS: Final = {
    "status": show_status,
    "timeline": show_timeline,
    "contract": {"put": put_contract, "get": get_contract, "list": list_contracts},
    "stop": {"plan": plan_stop, "cancel": cancel_stop, "list": list_stops},
    "member": {
        "list": list_members,
        "add": add_member,
        "remove": remove_member,
        "hand-over": hand_over_leadership,
    },
    "quarantine": {"list": list_quarantines, "lift": lift_quarantine},
    "zone": {"evacuate": evacuate_zone, "return": return_zone},
    "check-settings": check_settings,
    "keys": {"make": make_keys, "hash-token": hash_token},
}


def describe_failure(error: DragonflyrockError) -> str:
    """Return an error's message, preceded by its step and its peer."""
    context = [f"step={error.step}"] if error.step else []
    context += [f"peer={error.peer}"] if error.peer else []
    return " ".join([*context, str(error)])
