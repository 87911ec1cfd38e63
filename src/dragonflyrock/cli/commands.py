"""The commands of the tool. Each returns its exit status."""

from __future__ import annotations

import getpass
import hashlib
import json as json_module
import sys
import time
import uuid
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Final

import urllib3

from ..errors import DragonflyrockError
from ..settings import load_settings
from ..transport.keys import make_key_file
from .client import CommandError, OperatorClient, quote_part
from .tables import print_json, print_table

__all__ = ["COMMANDS"]

IN_FORCE_POLL_SECONDS: Final = 0.1


def show_status(*, at: str = "", json: bool = False) -> int:
    """Show hosts, backend servers, members and ranges.

    :param at: operators' ports, ``ip:port`` by commas
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
        + (", moves held after an election" if status["moves_held"] else "")
    )
    _print_rows(status["members"], ("name", "role", "match_index"))
    _print_rows(status["hosts"], ("name", "zone", "revision", "lease_left_ms"))
    servers = status["servers"]
    for server in servers:
        server["load_share"] = f"{server['load_share']:.3f}"
    columns = ("name", "service", "zone", "state", "ranges", "load_share")
    _print_rows(servers, (*columns, "checks_grants", "grant_left_ms"))
    return 0


def _print_rows(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> None:
    """Print some columns of JSON objects, after an empty line."""
    print()
    print_table(columns, [[row[column] for column in columns] for row in rows])


def show_timeline(
    *,
    at: str = "",
    request: str = "",
    key: str = "",
    range_low: int = -1,
    server: str = "",
    host: str = "",
    last_s: float = 0.0,
    limit: int = 1000,
    json: bool = False,
) -> int:
    """Merge the events of all daemons into one time line, causes before effects.

    :param at: operators' ports, ``ip:port`` by commas
    :param request: only events of this request id
    :param key: only events of this key
    :param range_low: only events of the range that begins at this hash
    :param server: only events of this backend server
    :param host: only events of this host
    :param last_s: only events of the last so many seconds
    :param limit: the latest so many events of each host
    :param json: print JSON
    """
    client = OperatorClient(at)
    since_ms = int((time.time() - last_s) * 1000) if last_s else 0
    query = (
        f"/events?request={quote_part(request)}&key={quote_part(key)}"
        f"&range_low={range_low}&server={quote_part(server)}"
        f"&host={quote_part(host)}&since_ms={since_ms}&limit={limit}"
    )
    events: list[dict[str, Any]] = []
    for address in _find_addresses(client):
        try:
            events += client.call_at(address, "GET", query)["events"]
        except (urllib3.exceptions.HTTPError, CommandError) as error:
            print(f"{address}: no events: {error}", file=sys.stderr)
    events.sort(key=lambda event: (*event["stamp"].values(), event["host"]))
    if json:
        print_json(events)
        return 0
    print_table(
        ("time", "host", "event", "what"),
        [
            (_format_stamp(event), event["host"], event["kind"], _describe(event))
            for event in events
        ],
    )
    return 0


def _find_addresses(client: OperatorClient) -> list[str]:
    """Return the operators' ports of all live hosts, and those that were given."""
    addresses = dict.fromkeys(client.addresses)
    try:
        status = client.call("GET", "/status")
        addresses |= dict.fromkeys(host["operators"] for host in status["hosts"])
    except CommandError as error:
        print(f"only the given hosts: {error}", file=sys.stderr)
    return list(addresses)


def _format_stamp(event: dict[str, Any]) -> str:
    """Return an event's wall time with its counter."""
    stamp = event["stamp"]
    moment = datetime.fromtimestamp(stamp["wall_ms"] / 1000, UTC)
    return f"{moment:%H:%M:%S}.{stamp['wall_ms'] % 1000:03d}.{stamp['counter']}"


def _describe(event: dict[str, Any]) -> str:
    """Return the fields of an event that are set."""
    names = ("request", "service", "key", "range_low", "server", "peer", "detail")
    parts = [f"{name}={event[name]}" for name in names if event[name] not in ("", -1)]
    return " ".join(parts)


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
    body = _change(change_id, operator)
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


def _change(change_id: str, operator: str) -> dict[str, Any]:
    """Return what every change carries."""
    return {
        "change_id": change_id or uuid.uuid4().hex,
        "operator": operator or getpass.getuser(),
    }


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
    OperatorClient(at).call("PUT", path, _change(change_id, operator))
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
    OperatorClient(at).call("DELETE", path, _change(change_id, operator))
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


def list_members(*, at: str = "", json: bool = False) -> int:
    """List the members of the control group and those that wait to join.

    :param at: operators' ports, ``ip:port`` by commas
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
    """Add a host that waits with an empty data folder; it learns, then votes.

    :param name: the host
    :param at: operators' ports, ``ip:port`` by commas
    """
    OperatorClient(at).call("PUT", f"/members/{quote_part(name)}")
    print(f"{name} is learning; `dragonflyrock member list` shows when it votes")
    return 0


def remove_member(name: str, *, at: str = "") -> int:
    """Remove a member; its data folder is of no more use.

    :param name: the host
    :param at: operators' ports, ``ip:port`` by commas
    """
    OperatorClient(at).call("DELETE", f"/members/{quote_part(name)}")
    print(f"{name} is no member")
    return 0


def hand_over_leadership(*, at: str = "") -> int:
    """Let another voter lead the control group.

    :param at: operators' ports, ``ip:port`` by commas
    """
    OperatorClient(at).call("POST", "/leadership", {})
    print("another voter was asked to lead")
    return 0


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
    OperatorClient(at).call("DELETE", path, _change(change_id, operator))
    print("lifted")
    return 0


def check_settings(file: Path) -> int:
    """Check a settings file without starting anything.

    :param file: the settings file (TOML)
    """
    settings = load_settings(file)
    roles = ", ".join(settings.host.roles)
    print(f"{file}: good: {settings.host.name} ({roles})")
    return 0


def make_keys(file: Path) -> int:
    """Make a CURVE key pair: the secret into a new file, the public key printed.

    :param file: the file for the secret key
    """
    try:
        print(make_key_file(file))
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}", "write") from error
    return 0


def hash_token(file: Path) -> int:
    """Print the SHA-256 of the token in a file, for contracts and settings.

    :param file: the file with the token
    """
    try:
        token = file.read_text().strip()
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}", "read") from error
    print(hashlib.sha256(token.encode()).hexdigest())
    return 0


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
    "check-settings": check_settings,
    "keys": {"make": make_keys, "hash-token": hash_token},
}


def describe_failure(error: DragonflyrockError) -> str:
    """Return an error with its step and its peer."""
    where = [f"step={error.step}"] if error.step else []
    where += [f"peer={error.peer}"] if error.peer else []
    return " ".join([*where, str(error)])
