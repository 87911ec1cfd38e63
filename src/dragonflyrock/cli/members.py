"""Commands that show and change the members of the control group."""

from __future__ import annotations

from .client import OperatorClient, quote_path_segment
from .tables import print_json, print_table

__all__ = ["add_member", "hand_over_leadership", "list_members", "remove_member"]


def list_members(*, at: str = "", json: bool = False) -> int:
    """List the members of the control group and the hosts that wait to join.

    :param at: operators' ports as ``ip:port``, separated by commas
    :param json: print JSON
    """
    members = OperatorClient(at).call("GET", "/status")["members"]
    if json:
        print_json(members)
        return 0
    columns = ("name", "role", "match_index", "identity")
    print_table(columns, [[row[column] for column in columns] for row in members])
    return 0


def add_member(name: str, *, at: str = "") -> int:
    """Add a waiting host with an empty data folder, first as a learner.

    :param name: the host's name
    :param at: operators' ports as ``ip:port``, separated by commas
    """
    OperatorClient(at).call("PUT", f"/members/{quote_path_segment(name)}")
    print(f"{name} is a learner; `dragonflyrock member list` shows when it is a voter")
    return 0


def remove_member(name: str, *, at: str = "") -> int:
    """Remove a member; its data folder cannot be used again.

    :param name: the host's name
    :param at: operators' ports as ``ip:port``, separated by commas
    """
    OperatorClient(at).call("DELETE", f"/members/{quote_path_segment(name)}")
    print(f"{name} is no longer a member")
    return 0


def hand_over_leadership(*, at: str = "") -> int:
    """Ask another voter to lead the control group.

    :param at: operators' ports as ``ip:port``, separated by commas
    """
    OperatorClient(at).call("POST", "/leadership", {})
    print("another voter was asked to lead")
    return 0
