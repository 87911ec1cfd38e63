"""Commands that plan, cancel and list stops of backend servers."""

from __future__ import annotations

from .client import OperatorClient, make_change_fields, quote_path_segment
from .tables import print_json, print_table

__all__ = ["cancel_stop", "list_stops", "plan_stop"]


def plan_stop(
    server: str, *, at: str = "", change_id: str = "", operator: str = ""
) -> int:
    """Plan the stop of a backend server, so that its ranges move to other servers.

    :param server: the backend server's name
    :param at: operators' ports as ``ip:port``, separated by commas
    :param change_id: the id of an earlier change, to retry it
    :param operator: who makes the change; by default the user's login name
    """
    path = f"/stops/{quote_path_segment(server)}"
    OperatorClient(at).call("PUT", path, make_change_fields(change_id, operator))
    print(f"{server} gets no new ranges; see `dragonflyrock stop list`")
    return 0


def cancel_stop(
    server: str, *, at: str = "", change_id: str = "", operator: str = ""
) -> int:
    """Cancel the planned stop of a backend server.

    :param server: the backend server's name
    :param at: operators' ports as ``ip:port``, separated by commas
    :param change_id: the id of an earlier change, to retry it
    :param operator: who makes the change; by default the user's login name
    """
    path = f"/stops/{quote_path_segment(server)}"
    OperatorClient(at).call("DELETE", path, make_change_fields(change_id, operator))
    print(f"{server} may get new ranges again")
    return 0


def list_stops(*, at: str = "", json: bool = False) -> int:
    """List the backend servers with a planned stop and the ranges that they still own.

    :param at: operators' ports as ``ip:port``, separated by commas
    :param json: print JSON
    """
    servers = OperatorClient(at).call("GET", "/status")["servers"]
    stopping_servers = [server for server in servers if server["state"] == "stopping"]
    if json:
        print_json(stopping_servers)
        return 0
    rows = [(row["name"], row["service"], row["ranges"]) for row in stopping_servers]
    print_table(("name", "service", "ranges left"), rows)
    return 0
