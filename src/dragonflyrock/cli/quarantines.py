"""Commands on requests that are suspected of crashing backend servers."""

from __future__ import annotations

from .client import OperatorClient, make_change_fields, quote_path_segment
from .tables import print_json, print_table

__all__ = ["lift_quarantine", "list_quarantines"]


def list_quarantines(*, at: str = "", json: bool = False) -> int:
    """List suspect and quarantined requests, which ran on servers that were lost.

    :param at: operators' ports as ``ip:port``, separated by commas
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
    """Lift the quarantine of a request, so that it may run again.

    :param fingerprint: the request's fingerprint, from ``quarantine list``
    :param at: operators' ports as ``ip:port``, separated by commas
    :param change_id: the id of an earlier change, to retry it
    :param operator: who makes the change; by default the user's login name
    """
    path = f"/quarantines/{quote_path_segment(fingerprint)}"
    OperatorClient(at).call("DELETE", path, make_change_fields(change_id, operator))
    print("lifted")
    return 0
