"""Commands on contracts."""

from __future__ import annotations

import json as json_module
import sys
import time
from pathlib import Path
from typing import Final

from .client import CommandError, OperatorClient, make_change, quote_part
from .tables import print_json, print_table

__all__ = ["get_contract", "list_contracts", "put_contract"]

IN_FORCE_POLL_SECONDS: Final = 0.1


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
    """Create or change the contract in a JSON file.

    :param file: the contract as a JSON object
    :param expected_version: the version that it replaces; 0 for a new contract
    :param at: operators' ports, ``ip:port`` by commas
    :param change_id: the id of a change that is sent again
    :param operator: who changes it; the user's name if not given
    :param wait_s: wait so long until the contract is in force everywhere
    :param json: print JSON
    """
    try:
        contract = json_module.loads(file.read_text())
        customer = contract["customer"]
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise CommandError(f"{file}: not a contract: {error}", "parse") from error
    client = OperatorClient(at)
    body = make_change(change_id, operator)
    body |= {"expected_version": expected_version, "contract": contract}
    print(f"change id {body['change_id']}", file=sys.stderr)
    done = client.call("PUT", f"/contracts/{quote_part(customer)}", body)
    applied, hosts = _wait_in_force(client, customer, done["revision"], wait_s)
    if json:
        print_json(done | {"in_force": applied, "hosts": hosts})
    else:
        print(
            f"{customer} is at version {done['version']}, "
            f"in force on {applied} of {hosts}"
        )
    return 0 if applied == hosts or not wait_s else 1


def _wait_in_force(
    client: OperatorClient, customer: str, revision: int, wait_s: float
) -> tuple[int, int]:
    """Return on how many hosts a revision is in force, and how many there are."""
    until = time.monotonic() + wait_s
    while True:
        listed = client.call("GET", f"/contracts/{quote_part(customer)}")
        revisions = listed["host_revisions"]
        applied = sum(held >= revision for held in revisions)
        if applied == len(revisions) or time.monotonic() >= until:
            return applied, len(revisions)
        time.sleep(IN_FORCE_POLL_SECONDS)


def get_contract(customer: str, *, at: str = "", json: bool = False) -> int:
    """Show one contract, and where it is in force.

    :param customer: the customer
    :param at: operators' ports, ``ip:port`` by commas
    :param json: print JSON
    """
    listed = OperatorClient(at).call("GET", f"/contracts/{quote_part(customer)}")
    if not listed["contracts"]:
        raise CommandError(f"no contract of {customer}", "locate")
    if json:
        print_json(listed)
        return 0
    row = listed["contracts"][0]
    revisions = listed["host_revisions"]
    applied = sum(held >= row["revision"] for held in revisions)
    fields = {"version": row["version"], "operator": row["operator"], **row["contract"]}
    print_table(("field", "value"), list(fields.items()))
    print(f"in force on {applied} of {len(revisions)}")
    return 0


def list_contracts(*, at: str = "", json: bool = False) -> int:
    """List all contracts.

    :param at: operators' ports, ``ip:port`` by commas
    :param json: print JSON
    """
    listed = OperatorClient(at).call("GET", "/contracts")
    if json:
        print_json(listed)
        return 0
    revisions = listed["host_revisions"]
    rows = []
    for row in listed["contracts"]:
        applied = sum(held >= row["revision"] for held in revisions)
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
