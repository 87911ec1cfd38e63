"""The command that shows the state of the whole system."""

from __future__ import annotations

from typing import Any

from .client import OperatorClient
from .tables import print_json, print_table

__all__ = ["show_status"]


def show_status(*, at: str = "", json: bool = False) -> int:
    """Show the members of the control group, hosts, backend servers and range counts.

    :param at: operators' ports as ``ip:port``, separated by commas
    :param json: print JSON
    """
    status = OperatorClient(at).call("GET", "/status")
    if json:
        print_json(status)
        return 0
    print(
        f"leader {status['leader']}, term {status['term']}, "
        f"revision {status['revision']}, {status['ranges']} ranges, "
        f"{status['moving']} moving, {status['unowned']} without an owner"
        + (", moves on hold after an election" if status["moves_held"] else "")
    )
    if status["evacuated_zones"]:
        print(f"evacuated: {', '.join(status['evacuated_zones'])}")
    _print_columns(status["members"], ("name", "role", "match_index"))
    _print_columns(status["hosts"], ("name", "zone", "revision", "lease_left_ms"))
    servers = status["servers"]
    for server in servers:
        server["load_share"] = f"{server['load_share']:.3f}"
    columns = ("name", "service", "zone", "state", "ranges", "load_share")
    _print_columns(servers, (*columns, "checks_grants", "grant_left_ms"))
    return 0


def _print_columns(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> None:
    """Print an empty line and a table of some fields of JSON objects."""
    print()
    print_table(columns, [[row[column] for column in columns] for row in rows])
