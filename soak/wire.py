"""Names, bodies and calls of the platform's HTTP protocol, for the soak test."""

from __future__ import annotations

import asyncio
import hashlib
import json
from typing import Any, Final, NamedTuple

from dragonflyrock.http import (
    ConnectionPool,
    ExchangeFault,
    Headers,
    Request,
    Response,
    find_header,
    make_response,
)
from dragonflyrock.platform import names
from dragonflyrock.router import HeaderNames

from . import const

__all__ = ["HEADER_NAMES", "names"]

# Copied from the platform's documentation, not imported from the product, so that a
# wrong name in the product fails a run.
HEADER_NAMES: Final = HeaderNames(
    request_id=b"x-dragonflyrock-request-id",
    time_left_ms=b"x-dragonflyrock-deadline-ms",
    expected_server=b"x-dragonflyrock-expected-instance",
    server_name=b"x-dragonflyrock-instance-id",
    signature=b"x-dragonflyrock-server-stamp",
    not_run=b"x-dragonflyrock-not-executed",
    load=b"x-dragonflyrock-server-load",
    leaving=(b"server-leaving", b"x-dragonflyrock-server-leaving"),
    limit=(b"server-limit", b"x-dragonflyrock-server-limit"),
    key=b"x-dragonflyrock-shard-key",
)
HEALTH_PATH: Final = b"/health"
READY_PATH: Final = "/-/ready"
RETRY_AFTER: Final = b"retry-after"
HOST: Final = "soak.example"
# Header of the soak test alone: how long a stand-in server works on a request.
WORK_MS: Final = b"x-soak-work-ms"
KEYS_SERVICE: Final = "svc-keys"
PLAIN_SERVICE: Final = "svc-plain"
SERVICES: Final = {KEYS_SERVICE: True, PLAIN_SERVICE: False}
LIMITS: Final = {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20} | {
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class RouteSpec(NamedTuple):
    """A route of the single host of a configuration."""

    name: str
    prefix: str
    safe: bool
    service: str


class GrantCall(NamedTuple):
    """The body of a grant or release."""

    low: int
    high: int
    fence: int
    hold_seconds: float


async def call(
    address: str, method: str, path: str, body: bytes = b"", base: int = -1
) -> Response | None:
    """Make a call on a new connection; return None if there is no response."""
    headers: Headers = ((b"Host", address.encode()),)
    if base >= 0:
        headers = (*headers, (names.BASE_VERSION, b"r%d" % base))
    connection = await ConnectionPool().connect(address, const.CALL_TIMEOUT_SECONDS)
    if isinstance(connection, ExchangeFault):
        return None
    try:
        async with asyncio.timeout(const.CALL_TIMEOUT_SECONDS):
            request = Request(method.encode(), path.encode(), headers, body)
            response = await connection.exchange(request)
    except TimeoutError:
        return None
    finally:
        connection.close()
    return None if isinstance(response, ExchangeFault) else response


def make_refusal(request: Request, status: int, server: str) -> Response:
    """Return a server's refusal, which states that the request has not run."""
    headers = (
        (HEADER_NAMES.not_run, b"1"),
        (HEADER_NAMES.server_name, server.encode()),
    )
    echoed = find_header(request.headers, HEADER_NAMES.request_id) or b""
    return make_response(status, b"", (*headers, (HEADER_NAMES.request_id, echoed)))


def make_signature(body: bytes) -> bytes:
    """Return the signature of a body."""
    return hashlib.sha256(body).hexdigest()[:24].encode()


def find_problem(response: Response, request: str) -> str:
    """Return why a response does not belong to a request, or an empty text."""
    echoed = find_header(response.headers, HEADER_NAMES.request_id)
    if echoed not in (None, request.encode()):
        return f"the answer to {echoed!r}"
    signature = find_header(response.headers, HEADER_NAMES.signature)
    if signature is None:
        return "a success without a signature" if response.status < 300 else ""
    if signature != make_signature(response.body):
        return "not the server's whole body"
    starts_with_id = response.body.startswith(request.encode() + b" ")
    return "" if starts_with_id else "the body of another request"


def make_announcement_path(server: str, call: str) -> str:
    """Return the path of a server's call to the control nodes."""
    return f"{names.INSTANCES_PREFIX}{server}/{call}"


def make_evacuation_path(zone: str, order: str) -> str:
    """Return the path of an operator's order for a zone."""
    return f"/-/evacuate/{zone}/{order}"


def encode_heartbeat(
    service: str,
    address: str,
    zone: str,
    state: str,
    sequence: int,
    rows: dict[str, Any],
    born: int = 0,
) -> bytes:
    """Return the body of a heartbeat.

    ``rows`` are the lists of keys, if any; ``born`` is the start of the server in
    milliseconds, 0 if it does not say it.
    """
    heartbeat = {"service": service, "address": address, "zone": zone, "state": state}
    constant_fields = {
        "version": "v1",
        "slots": const.SLOT_COUNT,
        "warmupRemainingMs": 0,
    }
    fields = heartbeat | constant_fields | {"sequence": sequence} | rows
    if born:
        fields["born"] = born
    return json.dumps(fields).encode()


def read_grant(body: bytes) -> GrantCall:
    """Return the body of a grant or release."""
    data = json.loads(body)
    hold_seconds = data.get("holdMs", 0) / 1000
    return GrantCall(data["from"], data["to"], data["fence"], hold_seconds)


def _make_listeners(routes: tuple[RouteSpec, ...]) -> list[dict[str, Any]]:
    """Return the host with its routes in the format of the configuration."""
    rules = []
    for name, prefix, safe, service in routes:
        rule = {"name": name, "kind": "safe" if safe else "unsafe", "priority": 1}
        action = {"service": service, "maxAttempts": const.MAX_ATTEMPT_COUNT}
        timeouts = {"targetLatencyMs": const.ROUTE_TIMEOUT_MS // 2}
        action |= {"timeoutMs": const.ROUTE_TIMEOUT_MS}
        rules.append(
            rule | timeouts | {"match": {"pathPrefix": prefix}, "action": action}
        )
    return [{"host": HOST, "rules": rules}]


def encode_config(version: int, routes: tuple[RouteSpec, ...]) -> bytes:
    """Return a complete configuration."""
    clusters = [
        {"name": name, "sharded": sharded, "healthCheckPath": HEALTH_PATH.decode()}
        | {"maxConnections": 130, "protocol": "h1", "tls": False, "grants": "call"}
        for name, sharded in SERVICES.items()
    ]
    config = {"version": f"r{version}", "limits": LIMITS, "clusters": clusters}
    return json.dumps(config | {"listeners": _make_listeners(routes)}).encode()


def encode_patch(version: int, added: tuple[RouteSpec, ...], removed: str) -> bytes:
    """Return a patch that adds routes and removes the named one, if any."""
    upsert = {"listeners": _make_listeners(added)} if added else {}
    remove = {"routes": [removed] if removed else []}
    patch = {"version": f"r{version}", "upsert": upsert, "remove": remove}
    return json.dumps(patch).encode()


def read_version(body: bytes) -> int:
    """Return the version number of a configuration."""
    return int(json.loads(body)["version"].removeprefix("r"))


def format_content(body: bytes) -> str:
    """Return a text that is equal for configurations with the same content."""
    data = json.loads(body)
    rules = [
        f"{listener['host']} {json.dumps(rule, sort_keys=True)}"
        for listener in data["listeners"]
        for rule in listener["rules"]
    ]
    return "\n".join(sorted(rules) + sorted(c["name"] for c in data["clusters"]))
