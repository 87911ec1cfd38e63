"""All names and bodies of the platform's wire that the soak speaks."""

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

__all__ = ["DIALECT", "names"]

# Written down from the platform's pages, so that a wrong name in the product shows.
DIALECT: Final = HeaderNames(
    request_id=b"x-dragonflyrock-request-id",
    time_left_ms=b"x-dragonflyrock-deadline-ms",
    expected_server=b"x-dragonflyrock-expected-instance",
    server_name=b"x-dragonflyrock-instance-id",
    signature=b"x-dragonflyrock-server-stamp",
    not_run=b"x-dragonflyrock-not-executed",
    load=b"x-dragonflyrock-server-load",
    key=b"x-dragonflyrock-shard-key",
)
HEALTH_PATH: Final = b"/health"
READY_PATH: Final = "/-/ready"
RETRY_AFTER: Final = b"retry-after"
HOST: Final = "soak.example"
# The soak's own: how long a stand-in server works on a request.
WORK_MS: Final = b"x-soak-work-ms"
KEYS_SERVICE: Final = "svc-keys"
PLAIN_SERVICE: Final = "svc-plain"
SERVICES: Final = {KEYS_SERVICE: True, PLAIN_SERVICE: False}
LIMITS: Final = {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20} | {
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class RouteSpec(NamedTuple):
    """A route of the soak's one host."""

    name: str
    prefix: str
    safe: bool
    service: str


class GrantCall(NamedTuple):
    """The body of a grant or release."""

    low: int
    high: int
    fence: int
    hold: float


async def call(
    address: str, method: str, path: str, body: bytes = b"", base: int = -1
) -> Response | None:
    """Make a call on a connection of its own; None where there is no answer."""
    headers: Headers = ((b"Host", address.encode()),)
    if base >= 0:
        headers = (*headers, (names.BASE_VERSION, b"r%d" % base))
    connection = await ConnectionPool().connect(address, const.CALL_TIMEOUT_SECONDS)
    if isinstance(connection, ExchangeFault):
        return None
    try:
        async with asyncio.timeout(const.CALL_TIMEOUT_SECONDS):
            request = Request(method.encode(), path.encode(), headers, body)
            answer = await connection.exchange(request)
    except TimeoutError:
        return None
    finally:
        connection.close()
    return None if isinstance(answer, ExchangeFault) else answer


def make_refusal(request: Request, status: int, server: str) -> Response:
    """Return a server's answer that promises that nothing has run."""
    headers = ((DIALECT.not_run, b"1"), (DIALECT.server_name, server.encode()))
    echoed = find_header(request.headers, DIALECT.request_id) or b""
    return make_response(status, b"", (*headers, (DIALECT.request_id, echoed)))


def make_stamp(body: bytes) -> bytes:
    """Return the signature of a body."""
    return hashlib.sha256(body).hexdigest()[:24].encode()


def find_problem(answer: Response, request: str) -> str:
    """Return why an answer is not that of a request, or an empty text."""
    echoed = find_header(answer.headers, DIALECT.request_id)
    if echoed not in (None, request.encode()):
        return f"the answer of {echoed!r}"
    stamp = find_header(answer.headers, DIALECT.signature)
    if stamp is None:
        return "a success without a signature" if answer.status < 300 else ""
    if stamp != make_stamp(answer.body):
        return "not the server's whole body"
    whole = answer.body.startswith(request.encode() + b" ")
    return "" if whole else "the body of another request"


def make_announcement(server: str, call: str) -> str:
    """Return the path of a server's announcement."""
    return f"{names.INSTANCES_PREFIX}{server}/{call}"


def encode_beat(
    service: str, address: str, zone: str, state: str, sequence: int
) -> bytes:
    """Return the body of a heartbeat."""
    beat = {"service": service, "address": address, "zone": zone, "state": state}
    fixed = {"version": "v1", "slots": const.SLOTS, "warmupRemainingMs": 0}
    return json.dumps(beat | fixed | {"sequence": sequence}).encode()


def read_grant(body: bytes) -> GrantCall:
    """Return the body of a grant or release."""
    data = json.loads(body)
    hold = data.get("holdMs", 0) / 1000
    return GrantCall(data["from"], data["to"], data["fence"], hold)


def _make_listeners(routes: tuple[RouteSpec, ...]) -> list[dict[str, Any]]:
    """Return the routes under their host, as the configuration has them."""
    rules = []
    for name, prefix, safe, service in routes:
        rule = {"name": name, "kind": "safe" if safe else "unsafe", "priority": 1}
        action = {"service": service, "maxAttempts": const.MAX_ATTEMPTS}
        times = {"targetLatencyMs": const.ROUTE_TIMEOUT_MS // 2}
        action |= {"timeoutMs": const.ROUTE_TIMEOUT_MS}
        rules.append(rule | times | {"match": {"pathPrefix": prefix}, "action": action})
    return [{"host": HOST, "rules": rules}]


def encode_config(version: int, routes: tuple[RouteSpec, ...]) -> bytes:
    """Return a whole configuration."""
    clusters = [
        {"name": name, "sharded": sharded, "healthCheckPath": HEALTH_PATH.decode()}
        | {"maxConnections": 130, "protocol": "h1", "tls": False, "grants": "call"}
        for name, sharded in SERVICES.items()
    ]
    config = {"version": f"r{version}", "limits": LIMITS, "clusters": clusters}
    return json.dumps(config | {"listeners": _make_listeners(routes)}).encode()


def encode_patch(version: int, added: tuple[RouteSpec, ...], removed: str) -> bytes:
    """Return a change of named routes."""
    upsert = {"listeners": _make_listeners(added)} if added else {}
    remove = {"routes": [removed] if removed else []}
    patch = {"version": f"r{version}", "upsert": upsert, "remove": remove}
    return json.dumps(patch).encode()


def read_version(body: bytes) -> int:
    """Return the version of a configuration that was read."""
    return int(json.loads(body)["version"].removeprefix("r"))


def make_content(body: bytes) -> str:
    """Return a text that is equal for configurations with the same routes."""
    data = json.loads(body)
    rules = [
        f"{listener['host']} {json.dumps(rule, sort_keys=True)}"
        for listener in data["listeners"]
        for rule in listener["rules"]
    ]
    return "\n".join(sorted(rules) + sorted(c["name"] for c in data["clusters"]))
