"""Commands on planned stops of backend servers."""

from __future__ import annotations

from .client import OperatorClient, make_change, quote_part
from .tables import print_json, print_table

__all__ = ["cancel_stop", "list_stops", "plan_stop"]


def plan_stop(
    server: str, *, at: str = "", change_id: str = "", operator: str = ""
) -> int:
    """Announce that a backend server is going to stop; its ranges move away.

    :param server: the backend server
    :param at: operators' ports, ``ip:port`` by commas
    :param change_id: the id of a change that is sent again
    :param operator: who plans it
    """
    path = f"/stops/{quote_part(server)}"
    OperatorClient(at).call("PUT", path, make_change(change_id, operator))
    print(f"{server} gets no new ranges; see `dragonflyrock stop list`")
    return 0


def cancel_stop(
    server: str, *, at: str = "", change_id: str = "", operator: str = ""
) -> int:
    """Take a planned stop back.

    :param server: the backend server
    :param at: operators' ports, ``ip:port`` by commas
    :param change_id: the id of a change that is sent again
    :param operator: who cancels it
    """
    path = f"/stops/{quote_part(server)}"
    OperatorClient(at).call("DELETE", path, make_change(change_id, operator))
    print(f"{server} may get ranges")
    return 0


def list_stops(*, at: str = "", json: bool = False) -> int:
    """List the backend servers that are going to stop, and what they still own.

    :param at: operators' ports, ``ip:port`` by commas
    :param json: print JSON
    """
    servers = OperatorClient(at).call("GET", "/status")["servers"]
    stopping = [server for server in servers if server["state"] == "stopping"]
    if json:
        print_json(stopping)
        return 0
    rows = [(row["name"], row["service"], row["ranges"]) for row in stopping]
    print_table(("name", "service", "ranges left"), rows)
    return 0
