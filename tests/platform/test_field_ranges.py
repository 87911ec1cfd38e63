"""Bodies of any writer: a field is refused by its name, or can be passed on."""

from __future__ import annotations

import json
from typing import Any

import pytest

from dragonflyrock.control.calls import CALLS
from dragonflyrock.control.cold_servers import MAX_KNOWN_SERVERS, ColdServers
from dragonflyrock.control.commands import (
    COMMANDS,
    ChangeRoutes,
    PutRoutes,
    RegisterServer,
)
from dragonflyrock.control.instances import _make_row
from dragonflyrock.control.state import ControlState
from dragonflyrock.platform.documents import (
    UnreadableError,
    decode_change,
    decode_document,
    decode_version,
)
from dragonflyrock.platform.heartbeats import decode_deregistration, decode_heartbeat
from dragonflyrock.transport.messages import MESSAGES, ColdServer, ServersHeard

HEARTBEAT: dict[str, Any] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "slots": 3,
    "state": "ready",
    "sequence": 4,
    "warmupRemainingMs": 2000,
    "born": 1_790_000_000_000,
    "holds": [[0, 3, 7]],
    "freed": [[0, 3, "t"]],
}
VALUES: list[Any] = [
    2**64 + 4,
    2**64,
    2**63,
    2**63 - 1,
    -1,
    -(2**64),
    10**400,
    1e308,
    0.5,
    True,
    None,
    "",
    "x" * 300,
    "a b\r\nX: 1",
    "\x00",
    "é٣",
    [],
    {},
    [[0, 3, 2**64]],
    [[0, 3, -1]],
]
ADDRESSES = [
    "10.0.0.9",
    "10.0.0.9:",
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:99999",
    "10.0.0.9:٣",
    "10.0.0.256:80",
    "host.example:80",
    ":80",
    "10.0.0.9:" + "9" * 200,
]


def check_heartbeat(body: dict[str, Any]) -> None:
    """Decode a heartbeat and encode all that a control node makes of it."""
    try:
        heartbeat = decode_heartbeat("i-1", json.dumps(body).encode())
    except UnreadableError as error:
        assert len(str(error)) < 1000
        return
    assert CALLS.decode(CALLS.encode(heartbeat)) == heartbeat
    COMMANDS.encode(RegisterServer(_make_row(heartbeat)))
    cold = ColdServers()
    cold.receive_heartbeat(heartbeat, 1.0)
    news = cold.pop_news(1.0)
    told = news.nodes if news is not None else ()
    MESSAGES.encode(ServersHeard((("i-1", heartbeat.sequence),), told))


# Guards against Fault: a heartbeat of another writer, whose sequence does not fit in 64
# bits, ends each control node that gets it, as no message with it can be encoded.
@pytest.mark.parametrize("value", VALUES, ids=lambda value: repr(value)[:20])
@pytest.mark.parametrize("field", list(HEARTBEAT))
def test_a_heartbeat_is_refused_or_can_be_passed_on(field: str, value: Any) -> None:
    check_heartbeat(HEARTBEAT | {field: value})


# Guards against a field that is refused without its name, and one that is missing.
@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("sequence", 2**64 + 4),
        ("sequence", -1),
        ("slots", 2**64),
        ("holds", [[0, 3, 2**64]]),
        ("service", "x" * 300),
        ("warmupRemainingMs", "soon"),
    ],
)
def test_a_refused_heartbeat_names_the_field(field: str, value: Any) -> None:
    with pytest.raises(UnreadableError, match=field):
        decode_heartbeat("i-1", json.dumps(HEARTBEAT | {field: value}).encode())
    left = {name: each for name, each in HEARTBEAT.items() if name != "sequence"}
    with pytest.raises(UnreadableError, match="sequence"):
        decode_heartbeat("i-1", json.dumps(left).encode())


# Guards against keys that nobody serves: an order to a port that does not exist failed
# in its task, and so never ended.
@pytest.mark.parametrize("address", ADDRESSES)
def test_an_address_that_cannot_be_connected_to_is_refused(address: str) -> None:
    with pytest.raises(UnreadableError, match="address"):
        decode_heartbeat("i-1", json.dumps(HEARTBEAT | {"address": address}).encode())


# Guards against names that end a header line, or that fill the memory.
@pytest.mark.parametrize("name", ["", "a b", "a\r\nX: 1", "é", "x" * 300, "\x00"])
def test_a_name_that_no_instance_can_have_is_refused(name: str) -> None:
    with pytest.raises(UnreadableError):
        decode_heartbeat(name, json.dumps(HEARTBEAT).encode())
    with pytest.raises(UnreadableError):
        decode_deregistration(name, b"")


def make_config() -> dict[str, Any]:
    """Return a configuration with every field that is read."""
    return {
        "version": "r7",
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "listeners": [
            {
                "host": "h.example",
                "rules": [
                    {
                        "name": "r-1",
                        "kind": "safe",
                        "targetLatencyMs": 250,
                        "priority": 1,
                        "match": {"pathPrefix": "/x/"},
                        "action": {
                            "trafficSplit": [{"service": "s1", "weight": 90}],
                            "service": "s1",
                            "timeoutMs": 800,
                            "maxAttempts": 2,
                        },
                    }
                ],
            }
        ],
        "clusters": [
            {
                "name": "s1",
                "healthCheckPath": "/health",
                "maxConnections": 130,
                "sharded": True,
                "warmS": 2.0,
                "warmupS": 3.0,
                "warmupPerS": 5.0,
            }
        ],
    }


def list_places(value: Any, place: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the places of all values in a body."""
    items: list[Any] = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    places = [place] if place else []
    for key, each in items:
        places += list_places(each, (*place, key))
    return places


def replace(body: Any, place: tuple[Any, ...], value: Any) -> Any:
    """Replace the value at a place of a body."""
    target = body
    for key in place[:-1]:
        target = target[key]
    target[place[-1]] = value
    return body


# Guards against a number or text of an operator that cannot be encoded or applied: it
# would end each control node at each start, once it is in the log.
@pytest.mark.parametrize("value", VALUES, ids=lambda value: repr(value)[:20])
def test_a_configuration_is_refused_or_can_be_applied(value: Any) -> None:
    for place in list_places(make_config()):
        body = json.dumps(replace(make_config(), place, value)).encode()
        state = ControlState()
        try:
            document = decode_document(body)
        except UnreadableError:
            continue
        payload = COMMANDS.encode(PutRoutes(0, "digest", document))
        state.apply(1, payload)
        MESSAGES.encode(ServersHeard(()))
        CALLS.encode(document)
        state.load(state.dump())
        state.delta_after(0, 1)


# Guards against the same in a patch.
@pytest.mark.parametrize("value", VALUES, ids=lambda value: repr(value)[:20])
def test_a_patch_is_refused_or_can_be_encoded(value: Any) -> None:
    config = make_config()
    patch = {"version": "r9", "upsert": config, "remove": {"routes": ["a"]}}
    for place in list_places(patch):
        body = json.loads(json.dumps(patch))
        try:
            change = decode_change(json.dumps(replace(body, place, value)).encode())
        except UnreadableError:
            continue
        COMMANDS.encode(ChangeRoutes(0, "digest", change))


# Guards against an internal error for a version of thousands of digits.
@pytest.mark.parametrize("text", ["r" + "9" * 5000, "r" + "9" * 19, "r", "", "r-1"])
def test_a_version_out_of_range_is_refused(text: str) -> None:
    with pytest.raises(UnreadableError) as raised:
        decode_version(text)
    assert len(str(raised.value)) < 200


# Guards against a path that ends its request line.
def test_a_health_path_with_a_line_end_is_refused() -> None:
    config = make_config()
    config["clusters"][0]["healthCheckPath"] = "/health\r\nX: 1"
    with pytest.raises(UnreadableError, match="healthCheckPath"):
        decode_document(json.dumps(config).encode())


# Guards against memory that grows with each name that another writer makes up.
def test_cold_servers_that_nobody_knows_are_bounded() -> None:
    cold = ColdServers()
    for number in range(MAX_KNOWN_SERVERS + 50):
        body = json.dumps(HEARTBEAT).encode()
        cold.receive_heartbeat(decode_heartbeat(f"i-{number}", body), 1.0)
    assert len(cold.table) == MAX_KNOWN_SERVERS
    news = cold.pop_news(1.0)
    assert news is not None
    assert all(isinstance(each, ColdServer) for each in news.nodes)
