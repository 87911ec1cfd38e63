"""Commands that show and change the contracts of customers."""

from __future__ import annotations

import json as json_module
import sys
import time
from pathlib import Path
from typing import Final

from .client import CommandError, OperatorClient, make_change_fields, quote_path_segment
from .tables import print_json, print_table

__all__ = ["get_contract", "list_contracts", "put_contract"]

POLL_INTERVAL_SECONDS: Final = 0.1


def put_contract(
    file: Path,
    *,
    expected_version: int,
    at: str = "",
    change_id: str = "",
    operator: str = "",
    wait_s: float = 0.0,
    json: bool = False,
) -> int:
    """Create or replace a contract with the one in a JSON file.

    :param file: the contract as a JSON object
    :param expected_version: the version to replace; 0 for a new contract
    :param at: operators' ports as ``ip:port``, separated by commas
    :param change_id: the id of an earlier change, to retry it
    :param operator: who makes the change; by default the user's login name
    :param wait_s: seconds to wait until every host has applied the contract
    :param json: print JSON
    """
    try:
        contract = json_module.loads(file.read_text())
        customer = contract["customer"]
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise CommandError(f"{file}: invalid contract: {error}", "parse") from error
    client = OperatorClient(at)
    body = make_change_fields(change_id, operator)
    body |= {"expected_version": expected_version, "contract": contract}
    print(f"change id {body['change_id']}", file=sys.stderr)
    result = client.call("PUT", f"/contracts/{quote_path_segment(customer)}", body)
    applied, hosts = _wait_until_applied(client, customer, result["revision"], wait_s)
    if json:
        print_json(result | {"in_force": applied, "hosts": hosts})
    else:
        print(
            f"{customer} is at version {result['version']}, "
            f"in force on {applied} of {hosts} hosts"
        )
    return 0 if applied == hosts or not wait_s else 1


def _wait_until_applied(
    client: OperatorClient, customer: str, revision: int, wait_s: float
) -> tuple[int, int]:
    """Wait until all hosts have applied a revision, for ``wait_s`` seconds at most.

    Return the number of hosts that have applied it and the number of hosts.
    """
    deadline = time.monotonic() + wait_s
    while True:
        listing = client.call("GET", f"/contracts/{quote_path_segment(customer)}")
        revisions = listing["host_revisions"]
        applied = sum(host_revision >= revision for host_revision in revisions)
        if applied == len(revisions) or time.monotonic() >= deadline:
            return applied, len(revisions)
        time.sleep(POLL_INTERVAL_SECONDS)


def get_contract(customer: str, *, at: str = "", json: bool = False) -> int:
    """Show a contract and the number of hosts that have applied it.

    :param customer: the customer's name
    :param at: operators' ports as ``ip:port``, separated by commas
    :param json: print JSON
    """
    listing = OperatorClient(at).call(
        "GET", f"/contracts/{quote_path_segment(customer)}"
    )
    if not listing["contracts"]:
        raise CommandError(f"customer {customer} has no contract", "locate")
    if json:
        print_json(listing)
        return 0
    row = listing["contracts"][0]
    revisions = listing["host_revisions"]
    applied = sum(revision >= row["revision"] for revision in revisions)
    fields = {"version": row["version"], "operator": row["operator"], **row["contract"]}
    print_table(("field", "value"), list(fields.items()))
    print(f"in force on {applied} of {len(revisions)} hosts")
    return 0


def list_contracts(*, at: str = "", json: bool = False) -> int:
    """List all contracts and the number of hosts that have applied each.

    :param at: operators' ports as ``ip:port``, separated by commas
    :param json: print JSON
    """
    listing = OperatorClient(at).call("GET", "/contracts")
    if json:
        print_json(listing)
        return 0
    revisions = listing["host_revisions"]
    rows = []
    for row in listing["contracts"]:
        applied = sum(revision >= row["revision"] for revision in revisions)
        contract = row["contract"]
        rows.append(
            (
                contract["customer"],
                row["version"],
                row["operator"],
                contract["requests_per_second"],
                contract["concurrent_requests"],
                f"{applied} of {len(revisions)}",
            )
        )
    columns = (
        "customer",
        "version",
        "operator",
        "requests/s",
        "concurrent",
        "in force",
    )
    print_table(columns, rows)
    return 0
