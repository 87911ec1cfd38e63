"""Invalid input of every kind gets a specific error, and the daemon keeps serving."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest
import zmq

from dragonflyrock.codec import Codec
from dragonflyrock.observe import Stamp
from dragonflyrock.settings import SettingsError, load_settings
from dragonflyrock.transport.messages import MESSAGES, Envelope, ServerRateDemand
from dragonflyrock.trial import OPERATOR_TOKEN, SINGLE, Fleet

from .common import find_free_port_block

EXAMPLES = Path(__file__).parents[1] / "examples"
CALLER_HEADER = "Authorization: Bearer secret"
OPERATOR_HEADER = f"Authorization: Bearer {OPERATOR_TOKEN}"
JSON_HEADER = "Content-Type: application/json"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run a fleet of one host whose contract allows bodies of 100 bytes."""
    plan = SINGLE._replace(first_port=find_free_port_block())
    fleet = Fleet(plan, tmp_path_factory.mktemp("fleet"))
    fleet.start_hosts()
    fleet.start_servers()
    fleet.wait_ready()
    fleet.put_contract("clerks", "secret", body_bytes=100, services=["finder"])
    caller = fleet.make_caller("secret")
    fleet.wait_for("contract", lambda: caller.call("GET", "/finder/k").status == 200)
    yield fleet
    fleet.close()


class BadCall(NamedTuple):
    """An invalid request, with the expected status and a text in the response.

    ``port`` is callers, platform or operators.
    """

    port: str
    request: str
    status: int
    expected_text: str


def make_request_with_body(line: str, *headers: str, body: str) -> str:
    """Return a request with a body and its length."""
    lines = [line, *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines) + "\r\n\r\n" + body


def make_request(line: str, *headers: str) -> str:
    """Return a request without a body."""
    return "\r\n".join([line, *headers]) + "\r\n\r\n"


def make_announcement(**fields: object) -> str:
    """Return a server's announcement with some fields replaced."""
    body = {
        "service": "finder",
        "address": "127.0.0.1:9",
        "availability_zone": "z",
        "incarnation": 1,
        "sequence": 1,
        "slots": 1,
        "connections": 1,
    } | fields
    line = "POST /backend-servers/bad HTTP/1.1"
    return make_request_with_body(line, JSON_HEADER, body=json.dumps(body))


def make_contract_change(contract: dict[str, object], **fields: object) -> str:
    """Return a request that changes a contract, with some fields replaced."""
    changed = {
        "customer": "planners",
        "token_sha256": [],
        "services": [],
        "requests_per_second": 1,
        "burst_requests": 1,
        "concurrent_requests": 1,
        "body_bytes": 1,
        "deadline_ms": 1,
    } | contract
    body = {
        "change_id": "c",
        "operator": "o",
        "expected_version": 0,
        "contract": changed,
    } | fields
    line = "PUT /contracts/planners HTTP/1.1"
    return make_request_with_body(
        line, OPERATOR_HEADER, JSON_HEADER, body=json.dumps(body)
    )


BAD_CALLS = [
    BadCall("callers", "nonsense\r\n\r\n", 400, ""),
    BadCall(
        "callers",
        make_request("GET / HTTP/1.1", CALLER_HEADER),
        400,
        "/{service}/{key}",
    ),
    BadCall(
        "callers",
        make_request("GET /finder HTTP/1.1", CALLER_HEADER),
        400,
        "/{service}/{key}",
    ),
    BadCall(
        "callers",
        make_request("GET /finder/ HTTP/1.1", CALLER_HEADER),
        400,
        "bad-request",
    ),
    BadCall("callers", make_request("GET /finder/k HTTP/1.1"), 401, "unknown-token"),
    BadCall(
        "callers",
        make_request("GET /finder/k HTTP/1.1", "Authorization: Bearer x"),
        401,
        "",
    ),
    BadCall(
        "callers",
        make_request("GET /finder/k HTTP/1.1", "Authorization: Basic c"),
        401,
        "",
    ),
    BadCall(
        "callers",
        make_request("GET /finder/k HTTP/1.1", "Authorization: Bearer \xff"),
        401,
        "",
    ),
    BadCall(
        "callers",
        make_request("GET /nothing/k HTTP/1.1", CALLER_HEADER),
        404,
        "unknown-service",
    ),
    BadCall(
        "callers",
        make_request(f"GET /finder/{'k' * 2000} HTTP/1.1", CALLER_HEADER),
        400,
        "longer",
    ),
    BadCall(
        "callers",
        make_request(
            "GET /finder/k HTTP/1.1", CALLER_HEADER, "X-Request-Timeout-Ms: soon"
        ),
        400,
        "milliseconds",
    ),
    BadCall(
        "callers",
        make_request(
            "GET /finder/k HTTP/1.1", CALLER_HEADER, "X-Request-Timeout-Ms: -5"
        ),
        400,
        "milliseconds",
    ),
    BadCall(
        "callers",
        make_request(
            "GET /finder/k HTTP/1.1", CALLER_HEADER, "X-Request-Timeout-Ms: 0"
        ),
        400,
        "milliseconds",
    ),
    BadCall(
        "callers",
        make_request(
            "POST /finder/k HTTP/1.1", CALLER_HEADER, f"Idempotency-Key: {'x' * 300}"
        ),
        400,
        "Idempotency-Key",
    ),
    BadCall(
        "callers",
        make_request_with_body(
            "POST /finder/k HTTP/1.1", CALLER_HEADER, body="x" * 101
        ),
        413,
        "body_bytes 100",
    ),
    BadCall(
        "callers",
        make_request("POST /finder/k HTTP/1.1", CALLER_HEADER, "Content-Length: many"),
        400,
        "",
    ),
    BadCall(
        "callers",
        make_request(
            "POST /finder/k HTTP/1.1", CALLER_HEADER, "Transfer-Encoding: chunked"
        )
        + "ffff\r\n"
        + "x" * 0xFFFF
        + "\r\n0\r\n\r\n",
        413,
        "",
    ),
    BadCall("platform", make_request("GET /nothing HTTP/1.1"), 404, "not-found"),
    BadCall(
        "platform",
        make_request_with_body(
            "POST /backend-servers/b HTTP/1.1", JSON_HEADER, body="{"
        ),
        400,
        "bad-request",
    ),
    BadCall("platform", make_announcement(slots="two"), 400, "$.slots"),
    BadCall("platform", make_announcement(slots=0), 400, "slots"),
    BadCall("platform", make_announcement(color="red"), 400, "color"),
    BadCall("platform", make_announcement(service="nothing"), 404, "allowed: finder"),
    BadCall("platform", make_announcement(address="here"), 400, "ip:port"),
    BadCall("platform", make_announcement(address="127.0.0.1:99999"), 400, "ip:port"),
    BadCall("platform", make_announcement(incarnation=2**70), 400, ""),
    BadCall("platform", make_announcement(sequence=2**64 + 4), 400, "sequence"),
    BadCall("platform", make_announcement(sequence=-1), 400, "sequence"),
    BadCall("platform", make_announcement(slots=2**62), 400, "slots"),
    BadCall("platform", make_announcement(load=1e308), 400, "load"),
    BadCall("platform", make_announcement(grant_revision=2**63), 400, "grant_revision"),
    BadCall(
        "platform",
        make_request_with_body(
            "POST /backend-servers/b HTTP/1.1", JSON_HEADER, body="x" * 20_000
        ),
        400,
        "at most",
    ),
    BadCall("operators", make_request("GET /status HTTP/1.1"), 401, "unknown-token"),
    BadCall(
        "operators",
        make_request("GET /nothing HTTP/1.1", OPERATOR_HEADER),
        404,
        "not-found",
    ),
    BadCall(
        "operators",
        make_request_with_body("PUT /contracts/x HTTP/1.1", OPERATOR_HEADER, body="[]"),
        400,
        "object",
    ),
    BadCall(
        "operators",
        make_contract_change({"customer": "other"}),
        400,
        "allowed: 'planners'",
    ),
    BadCall(
        "operators",
        make_contract_change({"deadline_ms": 30_001}),
        400,
        "contract.deadline_ms: found 30001; allowed: at most 30000",
    ),
    BadCall(
        "operators",
        make_contract_change({"requests_per_second": -1}),
        400,
        "requests_per_second",
    ),
    BadCall(
        "operators",
        make_contract_change({"burst_requests": 1.5}),
        400,
        "burst_requests",
    ),
    BadCall("operators", make_contract_change({"retry_percent": 900}), 400, "0 to 100"),
    BadCall(
        "operators", make_contract_change({"token_sha256": ["x"]}), 400, "64 hex digits"
    ),
    BadCall("operators", make_contract_change({"colour": "red"}), 400, "colour"),
    BadCall("operators", make_contract_change({}, change_id=""), 400, "change_id"),
    BadCall(
        "operators", make_contract_change({}, expected_version=7), 409, "version 0"
    ),
    BadCall(
        "operators",
        make_request("GET /events?limit=many HTTP/1.1", OPERATOR_HEADER),
        400,
        "limit",
    ),
    BadCall(
        "operators",
        make_request_with_body(
            "PUT /stops/nobody HTTP/1.1",
            OPERATOR_HEADER,
            body='{"change_id": "s", "operator": "o"}',
        ),
        404,
        "no such server",
    ),
    BadCall(
        "operators",
        make_request("PUT /members/nobody HTTP/1.1", OPERATOR_HEADER),
        404,
        "nobody",
    ),
]


def send_raw(address: str, request: str) -> tuple[int, str]:
    """Send a raw request and return the status and the whole response."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        head, _, rest = request.partition("\r\n")
        connection.sendall(f"{head}\r\nHost: h\r\nConnection: close\r\n".encode())
        connection.sendall(rest.encode("latin-1"))
        answer = b""
        try:
            while chunk := connection.recv(65536):
                answer += chunk
        except ConnectionResetError:
            # The server may close without reading a body that it refuses.
            pass
    status = answer.split(b" ", 2)[1]
    return int(status), answer.decode("latin-1")


def is_serving(fleet: Fleet) -> bool:
    """Return whether a valid request is answered."""
    return fleet.make_caller("secret").call("GET", "/finder/k").status == 200


@pytest.mark.parametrize("bad", BAD_CALLS, ids=lambda bad: bad.request[:40])
def test_bad_call_gets_a_specific_error(fleet: Fleet, bad: BadCall) -> None:
    addresses = {
        "callers": fleet.callers_address(0),
        "platform": fleet.platform_address(0),
        "operators": fleet.operators_address(0),
    }
    status, answer = send_raw(addresses[bad.port], bad.request)
    assert status == bad.status, answer
    assert bad.expected_text in answer
    assert is_serving(fleet)


INVALID_FRAMES = [
    b"",
    b"\x00" * 100,
    b"\xff" * 3,
    MESSAGES.encode(Envelope("stranger", Stamp(0, 0), b"nonsense")),
    MESSAGES.encode(
        Envelope("stranger", Stamp(0, 0), Codec([Stamp]).encode(Stamp(1, 2)))
    ),
    MESSAGES.encode(Envelope("x" * 100_000, Stamp(0, 0), b"\xc1")),
    # A message that the role cannot handle: no limit is divided by such a number.
    MESSAGES.encode(
        Envelope(
            "stranger",
            Stamp(0, 0),
            MESSAGES.encode(ServerRateDemand("x@1", float("inf"), 0.0, 1, 1)),
        )
    ),
]


def test_invalid_frames_are_counted_and_dropped(fleet: Fleet) -> None:
    context = zmq.Context()
    sender = context.socket(zmq.PUSH)
    sender.setsockopt(zmq.LINGER, 0)
    sender.connect(f"tcp://{fleet.plan.address(0, 0)}")
    for frame in INVALID_FRAMES:
        sender.send(frame)

    def is_counted() -> bool:
        _, text = send_raw(
            fleet.platform_address(0), make_request("GET /metrics HTTP/1.1")
        )
        name = "dragonflyrock_dropped_frames_total"
        line = next(line for line in text.splitlines() if line.startswith(name))
        return float(line.split()[-1]) >= len(INVALID_FRAMES)

    try:
        fleet.wait_for("frames counted", is_counted)
    finally:
        sender.close()
        context.term()
    assert is_serving(fleet)


class BadSettings(NamedTuple):
    """A replacement in a valid file, and texts that the error must contain."""

    old: str
    new: str
    expected_texts: tuple[str, ...]


BAD_SETTINGS = [
    BadSettings("[host]", "[host", ("not TOML",)),
    BadSettings("[host]", "colour = 1\n[host]", ("colour", "allowed: host, listen")),
    BadSettings("availability_zone", "zone", ("zone", "$.host")),
    BadSettings('name = "gulberg-1"', "name = 5", ("$.host.name", "int")),
    BadSettings('roles = ["entry", "control"]', "roles = []", ("host.roles",)),
    BadSettings('"entry", "control"', '"entry", "king"', ("host.roles", "king")),
    BadSettings("127.0.0.1:7100", "localhost:7100", ("listen.link", "IP number")),
    BadSettings("127.0.0.1:7200", "127.0.0.1:99999", ("listen.callers", "99999")),
    BadSettings(', "johar-2"]', "]", ("control.voters", "1, 3 or 5")),
    BadSettings('"johar-2"]', '"nobody"]', ("control.voters", "nobody")),
    BadSettings("ranges = 64", "ranges = 0", ("ranges", "found 0")),
    BadSettings("19bc", "zzzz", ("operators.token_sha256", "64 hexadecimal")),
    BadSettings('data_folder = "var', 'data_folder = "" # ', ("host.data_folder",)),
    BadSettings(
        "[control]",
        "[timeouts]\nentry_lease_ms = 900\n[control]",
        ("timeouts.entry_lease_ms", "900"),
    ),
    BadSettings(
        "[control]",
        "[timeouts]\ngrant_ms = 2500\n[control]",
        ("timeouts", "3000 ms"),
    ),
    BadSettings(
        "[control]", "[timeouts]\nheartbeat_ms = -1\n[control]", ("heartbeat_ms", "-1")
    ),
    BadSettings('link = "127.0.0.1:7101"', 'link = "10.0.0.1:7101"', ("curve",)),
    BadSettings(
        'link = "127.0.0.1:7101"',
        f'link = "127.0.0.1:7101"\ncurve_public_key = "{"~" * 40}"',
        ("curve_public_key", "a Z85 key of 40 characters"),
    ),
    BadSettings(
        'link = "127.0.0.1:7101"',
        f'link = "127.0.0.1:7101"\ncurve_public_key = "{"#" * 40}"',
        ("curve_public_key", "a Z85 key of 40 characters"),
    ),
]


@pytest.mark.parametrize("bad", BAD_SETTINGS, ids=lambda bad: bad.new[:30])
def test_settings_error_names_file_key_and_allowed_values(
    tmp_path: Path, bad: BadSettings
) -> None:
    good = (EXAMPLES / "lahore" / "gulberg-1.toml").read_text()
    assert bad.old in good
    path = tmp_path / "bad.toml"
    path.write_text(good.replace(bad.old, bad.new, 1))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert str(path) in str(caught.value)
    for text in bad.expected_texts:
        assert text in str(caught.value)


def test_all_examples_are_valid() -> None:
    files = sorted(EXAMPLES.glob("*/*.toml"))
    assert len(files) == 22
    for path in files:
        settings = load_settings(path)
        assert settings.host.name == path.stem


def run_module(module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a module as a command and return its status and output."""
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
        env={"DRAGONFLYROCK_TOKEN": "x"},
    )


def test_commands_exit_with_the_documented_status(tmp_path: Path, fleet: Fleet) -> None:
    tool = "dragonflyrock.cli.main"
    missing = str(tmp_path / "none.toml")
    assert run_module("dragonflyrock.daemon", missing).returncode == 2
    assert run_module(tool, "check-settings", missing).returncode == 2
    assert run_module(tool, "explode").returncode == 2
    good = str(EXAMPLES / "lahore" / "gulberg-1.toml")
    assert run_module(tool, "check-settings", good).returncode == 0
    refused = run_module(tool, "status", "--at", fleet.operators_address(0))
    assert refused.returncode == 1
    assert "unknown-token" in refused.stderr
    unreachable = run_module(tool, "status", "--at", "127.0.0.1:1")
    assert unreachable.returncode == 1
    assert "127.0.0.1:1" in unreachable.stderr


def test_daemon_exits_with_status_2_for_damaged_data(tmp_path: Path) -> None:
    plan = SINGLE._replace(first_port=find_free_port_block())
    fleet = Fleet(plan, tmp_path)
    folder = tmp_path / "local-1" / "control"
    folder.mkdir(parents=True)
    (folder / "identity").write_text("abc")
    (folder / "log").write_bytes(b"\x07" * 64)
    ended = run_module("dragonflyrock.daemon", str(fleet.settings_path("local-1")))
    assert ended.returncode == 2
    assert "damaged" in ended.stderr
