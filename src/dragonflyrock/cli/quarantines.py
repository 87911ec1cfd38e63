"""Commands on requests that end servers."""

from __future__ import annotations

from .client import OperatorClient, make_change, quote_part
from .tables import print_json, print_table

__all__ = ["lift_quarantine", "list_quarantines"]


def list_quarantines(*, at: str = "", json: bool = False) -> int:
    """List requests that are refused, or suspect, since servers were lost with them.

    :param at: operators' ports, ``ip:port`` by commas
    :param json: print JSON
    """
    rows = OperatorClient(at).call("GET", "/quarantines")["quarantines"]
    if json:
        print_json(rows)
        return 0
    columns = ("fingerprint", "customer", "method", "target", "refused", "holders")
    print_table(columns, [[row[column] for column in columns] for row in rows])
    return 0


def lift_quarantine(
    fingerprint: str, *, at: str = "", change_id: str = "", operator: str = ""
) -> int:
    """Let a quarantined request run again.

    :param fingerprint: the fingerprint that the list shows
    :param at: operators' ports, ``ip:port`` by commas
    :param change_id: the id of a change that is sent again
    :param operator: who lifts it
    """
    path = f"/quarantines/{quote_part(fingerprint)}"
    OperatorClient(at).call("DELETE", path, make_change(change_id, operator))
    print("lifted")
    return 0
