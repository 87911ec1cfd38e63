"""All names and bodies of the platform's wire that the soak speaks."""

from __future__ import annotations

import json
from typing import Any, Final, NamedTuple

from dragonflyrock.platform.names import (
    BASE_VERSION,
    CONFIG_GET,
    CONFIG_PATCH,
    CONFIG_PUT,
    DIALECT,
    GRANT_PATH,
    HANDOVER,
    INSTANCES_PREFIX,
    RELEASE_PATH,
    SETTINGS_VARIABLE,
)

from .const import MAX_ATTEMPTS, ROUTE_TIMEOUT_MS

__all__ = [
    "BASE_VERSION",
    "CONFIG_GET",
    "CONFIG_PATCH",
    "CONFIG_PUT",
    "DIALECT",
    "GRANT_PATH",
    "HANDOVER",
    "HEALTH_PATH",
    "HOST",
    "READY_PATH",
    "RELEASE_PATH",
    "RETRY_AFTER",
    "SETTINGS_VARIABLE",
    "WORK_MS",
    "RouteSpec",
    "encode_beat",
    "encode_config",
    "encode_patch",
    "make_content",
    "make_path",
    "read_grant",
    "read_version",
]

HEALTH_PATH: Final = "/health"
READY_PATH: Final = "/-/ready"
RETRY_AFTER: Final = b"retry-after"
HOST: Final = "soak.example"
# The soak's own: how long a stand-in server works on a request.
WORK_MS: Final = b"x-soak-work-ms"


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
    hold_seconds: float


def make_path(server: str, call: str) -> str:
    """Return the path of a server's announcement."""
    return f"{INSTANCES_PREFIX}{server}/{call}"


def encode_beat(
    service: str, address: str, zone: str, slots: int, state: str, sequence: int
) -> bytes:
    """Return the body of a heartbeat."""
    return json.dumps(
        {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": state,
            "warmupRemainingMs": 0,
            "sequence": sequence,
        }
    ).encode()


def read_grant(body: bytes) -> GrantCall:
    """Return the body of a grant or release."""
    data = json.loads(body)
    return GrantCall(
        data["from"], data["to"], data["fence"], data.get("holdMs", 0) / 1000
    )


def _make_rule(route: RouteSpec) -> dict[str, Any]:
    """Return a route as the configuration has it."""
    return {
        "name": route.name,
        "kind": "safe" if route.safe else "unsafe",
        "targetLatencyMs": ROUTE_TIMEOUT_MS // 2,
        "priority": 1,
        "match": {"pathPrefix": route.prefix},
        "action": {
            "service": route.service,
            "timeoutMs": ROUTE_TIMEOUT_MS,
            "maxAttempts": MAX_ATTEMPTS,
        },
    }


def _make_listeners(routes: tuple[RouteSpec, ...]) -> list[dict[str, Any]]:
    """Return the routes under their host."""
    return [{"host": HOST, "rules": [_make_rule(route) for route in routes]}]


def encode_config(
    version: int, routes: tuple[RouteSpec, ...], services: dict[str, bool]
) -> bytes:
    """Return a whole configuration; ``services`` tells which ones have keys."""
    return json.dumps(
        {
            "version": f"r{version}",
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1 << 20,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "listeners": _make_listeners(routes),
            "clusters": [
                {
                    "name": name,
                    "healthCheckPath": HEALTH_PATH,
                    "maxConnections": 130,
                    "protocol": "h1",
                    "tls": False,
                    "sharded": sharded,
                    "warmS": 0.0,
                    "grants": "call",
                }
                for name, sharded in services.items()
            ],
        }
    ).encode()


def encode_patch(
    version: int, added: tuple[RouteSpec, ...], removed: tuple[str, ...]
) -> bytes:
    """Return a change of named routes."""
    upsert = {"listeners": _make_listeners(added)} if added else {}
    return json.dumps(
        {
            "version": f"r{version}",
            "upsert": upsert,
            "remove": {"routes": list(removed)},
        }
    ).encode()


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
    names = sorted(cluster["name"] for cluster in data["clusters"])
    return "\n".join([*sorted(rules), *names])
