"""The command that merges the events of all daemons."""

from __future__ import annotations

import sys
import time
from datetime import UTC, datetime
from typing import Any

import urllib3

from .client import CommandError, OperatorClient, quote_part
from .tables import print_json, print_table

__all__ = ["show_timeline"]


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
