"""The command that shows the events of all daemons as one time line."""

from __future__ import annotations

import sys
import time
from datetime import UTC, datetime
from typing import Any

import urllib3

from .client import CommandError, OperatorClient, quote_path_segment
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
    """Show the events of all daemons as one time line, in causal order.

    :param at: operators' ports as ``ip:port``, separated by commas
    :param request: only events of this request id
    :param key: only events of this key
    :param range_low: only events of the range that starts at this hash; -1 for all
    :param server: only events of this backend server
    :param host: only events of this host
    :param last_s: the age of the oldest event to show in seconds; 0 for all
    :param limit: the largest number of events per host; the latest are shown
    :param json: print JSON
    """
    client = OperatorClient(at)
    since_ms = int((time.time() - last_s) * 1000) if last_s else 0
    query = (
        f"/events?request={quote_path_segment(request)}&key={quote_path_segment(key)}"
        f"&range_low={range_low}&server={quote_path_segment(server)}"
        f"&host={quote_path_segment(host)}&since_ms={since_ms}&limit={limit}"
    )
    events: list[dict[str, Any]] = []
    for address in _list_addresses(client):
        try:
            events += client.call_address(address, "GET", query)["events"]
        except (urllib3.exceptions.HTTPError, CommandError) as error:
            print(f"cannot read events from {address}: {error}", file=sys.stderr)
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


def _list_addresses(client: OperatorClient) -> list[str]:
    """Return the given operators' ports and those of all live hosts."""
    addresses = dict.fromkeys(client.addresses)
    try:
        status = client.call("GET", "/status")
        addresses |= dict.fromkeys(host["operators"] for host in status["hosts"])
    except CommandError as error:
        print(
            f"cannot list the hosts, using only the given ones: {error}",
            file=sys.stderr,
        )
    return list(addresses)


def _format_stamp(event: dict[str, Any]) -> str:
    """Return an event's wall time in UTC, followed by the counter of its stamp."""
    stamp = event["stamp"]
    wall_time = datetime.fromtimestamp(stamp["wall_ms"] / 1000, UTC)
    return f"{wall_time:%H:%M:%S}.{stamp['wall_ms'] % 1000:03d}.{stamp['counter']}"


def _describe(event: dict[str, Any]) -> str:
    """Return the fields of an event that are not empty."""
    names = ("request", "service", "key", "range_low", "server", "peer", "detail")
    parts = [f"{name}={event[name]}" for name in names if event[name] not in ("", -1)]
    return " ".join(parts)
