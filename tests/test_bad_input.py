"""Bad input of every kind gets a clear error and leaves the daemon serving."""

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
from dragonflyrock.transport.messages import MESSAGES, Envelope
from dragonflyrock.trial import OPERATOR_TOKEN, SINGLE, Fleet

from .common import find_free_ports

EXAMPLES = Path(__file__).parents[1] / "examples"
TOKEN = "Authorization: Bearer secret"
OPERATOR = f"Authorization: Bearer {OPERATOR_TOKEN}"
JSON = "Content-Type: application/json"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Return a running fleet with a narrow contract."""
    plan = SINGLE._replace(first_port=find_free_ports())
    running = Fleet(plan, tmp_path_factory.mktemp("fleet"))
    running.start_hosts()
    running.start_servers()
    running.wait_ready()
    running.put_contract("clerks", "secret", body_bytes=100, services=["finder"])
    caller = running.make_caller("secret")
    running.wait_for("contract", lambda: caller.call("GET", "/finder/k").status == 200)
    yield running
    running.close()


class BadCall(NamedTuple):
    """A request, and the status and a part of the answer that it must get."""

    port: str
    request: str
    status: int
    part: str


def with_body(line: str, *headers: str, body: str) -> str:
    """Return a request with a body and its length."""
    lines = [line, *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines) + "\r\n\r\n" + body


def plain(line: str, *headers: str) -> str:
    """Return a request without a body."""
    return "\r\n".join([line, *headers]) + "\r\n\r\n"


def announce(**fields: object) -> str:
    """Return an announcement with some fields changed."""
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
    return with_body(line, JSON, body=json.dumps(body))


def put(contract: dict[str, object], **fields: object) -> str:
    """Return a put of a contract with some fields changed."""
    whole = {
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
        "contract": whole,
    } | fields
    line = "PUT /contracts/planners HTTP/1.1"
    return with_body(line, OPERATOR, JSON, body=json.dumps(body))


CALLS = [
    BadCall("callers", "nonsense\r\n\r\n", 400, ""),
    BadCall("callers", plain("GET / HTTP/1.1", TOKEN), 400, "/{service}/{key}"),
    BadCall("callers", plain("GET /finder HTTP/1.1", TOKEN), 400, "/{service}/{key}"),
    BadCall("callers", plain("GET /finder/ HTTP/1.1", TOKEN), 400, "bad-request"),
    BadCall("callers", plain("GET /finder/k HTTP/1.1"), 401, "unknown-token"),
    BadCall(
        "callers", plain("GET /finder/k HTTP/1.1", "Authorization: Bearer x"), 401, ""
    ),
    BadCall(
        "callers", plain("GET /finder/k HTTP/1.1", "Authorization: Basic c"), 401, ""
    ),
    BadCall(
        "callers",
        plain("GET /finder/k HTTP/1.1", "Authorization: Bearer \xff"),
        401,
        "",
    ),
    BadCall("callers", plain("GET /nothing/k HTTP/1.1", TOKEN), 404, "unknown-service"),
    BadCall(
        "callers", plain(f"GET /finder/{'k' * 2000} HTTP/1.1", TOKEN), 400, "longer"
    ),
    BadCall(
        "callers",
        plain("GET /finder/k HTTP/1.1", TOKEN, "X-Request-Timeout-Ms: soon"),
        400,
        "milliseconds",
    ),
    BadCall(
        "callers",
        plain("GET /finder/k HTTP/1.1", TOKEN, "X-Request-Timeout-Ms: -5"),
        400,
        "milliseconds",
    ),
    BadCall(
        "callers",
        plain("GET /finder/k HTTP/1.1", TOKEN, "X-Request-Timeout-Ms: 0"),
        400,
        "milliseconds",
    ),
    BadCall(
        "callers",
        plain("POST /finder/k HTTP/1.1", TOKEN, f"Idempotency-Key: {'x' * 300}"),
        400,
        "Idempotency-Key",
    ),
    BadCall(
        "callers",
        with_body("POST /finder/k HTTP/1.1", TOKEN, body="x" * 101),
        413,
        "body_bytes 100",
    ),
    BadCall(
        "callers",
        plain("POST /finder/k HTTP/1.1", TOKEN, "Content-Length: many"),
        400,
        "",
    ),
    BadCall(
        "callers",
        plain("POST /finder/k HTTP/1.1", TOKEN, "Transfer-Encoding: chunked")
        + "ffff\r\n"
        + "x" * 0xFFFF
        + "\r\n0\r\n\r\n",
        413,
        "",
    ),
    BadCall("platform", plain("GET /nothing HTTP/1.1"), 404, "not-found"),
    BadCall(
        "platform",
        with_body("POST /backend-servers/b HTTP/1.1", JSON, body="{"),
        400,
        "bad-request",
    ),
    BadCall("platform", announce(slots="two"), 400, "$.slots"),
    BadCall("platform", announce(slots=0), 400, "slots"),
    BadCall("platform", announce(color="red"), 400, "color"),
    BadCall("platform", announce(service="nothing"), 404, "allowed: finder"),
    BadCall("platform", announce(address="here"), 400, "ip:port"),
    BadCall("platform", announce(incarnation=2**70), 400, ""),
    BadCall(
        "platform",
        with_body("POST /backend-servers/b HTTP/1.1", JSON, body="x" * 20_000),
        400,
        "at most",
    ),
    BadCall("operators", plain("GET /status HTTP/1.1"), 401, "unknown-token"),
    BadCall("operators", plain("GET /nothing HTTP/1.1", OPERATOR), 404, "not-found"),
    BadCall(
        "operators",
        with_body("PUT /contracts/x HTTP/1.1", OPERATOR, body="[]"),
        400,
        "object",
    ),
    BadCall("operators", put({"customer": "other"}), 400, "allowed: 'planners'"),
    BadCall("operators", put({"requests_per_second": -1}), 400, "requests_per_second"),
    BadCall("operators", put({"burst_requests": 1.5}), 400, "burst_requests"),
    BadCall("operators", put({"retry_percent": 900}), 400, "0 to 100"),
    BadCall("operators", put({"token_sha256": ["x"]}), 400, "64 hex digits"),
    BadCall("operators", put({"colour": "red"}), 400, "colour"),
    BadCall("operators", put({}, change_id=""), 400, "change_id"),
    BadCall("operators", put({}, expected_version=7), 409, "version 0"),
    BadCall(
        "operators", plain("GET /events?limit=many HTTP/1.1", OPERATOR), 400, "limit"
    ),
    BadCall(
        "operators",
        with_body(
            "PUT /stops/nobody HTTP/1.1",
            OPERATOR,
            body='{"change_id": "s", "operator": "o"}',
        ),
        404,
        "no such server",
    ),
    BadCall(
        "operators", plain("PUT /members/nobody HTTP/1.1", OPERATOR), 404, "nobody"
    ),
]


def exchange(address: str, request: str) -> tuple[int, str]:
    """Send raw bytes and return the status and the rest of the answer."""
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
            # The server need not read a body that it refuses.
            pass
    status = answer.split(b" ", 2)[1]
    return int(status), answer.decode("latin-1")


def still_serves(fleet: Fleet) -> bool:
    """Return whether a good request is answered."""
    return fleet.make_caller("secret").call("GET", "/finder/k").status == 200


@pytest.mark.parametrize("bad", CALLS, ids=lambda bad: bad.request[:40])
def test_a_bad_call_gets_a_clear_error(fleet: Fleet, bad: BadCall) -> None:
    addresses = {
        "callers": fleet.callers_address(0),
        "platform": fleet.platform_address(0),
        "operators": fleet.operators_address(0),
    }
    status, answer = exchange(addresses[bad.port], bad.request)
    assert status == bad.status, answer
    assert bad.part in answer
    assert still_serves(fleet)


FRAMES = [
    b"",
    b"\x00" * 100,
    b"\xff" * 3,
    MESSAGES.encode(Envelope("stranger", Stamp(0, 0), b"nonsense")),
    MESSAGES.encode(
        Envelope("stranger", Stamp(0, 0), Codec([Stamp]).encode(Stamp(1, 2)))
    ),
    MESSAGES.encode(Envelope("x" * 100_000, Stamp(0, 0), b"\xc1")),
]


def test_frames_that_do_not_decode_are_counted_and_dropped(fleet: Fleet) -> None:
    context = zmq.Context()
    sender = context.socket(zmq.PUSH)
    sender.setsockopt(zmq.LINGER, 0)
    sender.connect(f"tcp://{fleet.plan.address(0, 0)}")
    for frame in FRAMES:
        sender.send(frame)

    def count() -> bool:
        _, text = exchange(fleet.platform_address(0), plain("GET /metrics HTTP/1.1"))
        name = "dragonflyrock_dropped_frames_total"
        line = next(x for x in text.splitlines() if x.startswith(name))
        return float(line.split()[-1]) >= len(FRAMES)

    try:
        fleet.wait_for("frames counted", count)
    finally:
        sender.close()
        context.term()
    assert still_serves(fleet)


class BadSettings(NamedTuple):
    """A replacement in a good file, and what the error must name."""

    old: str
    new: str
    parts: tuple[str, ...]


SETTINGS = [
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
]


@pytest.mark.parametrize("bad", SETTINGS, ids=lambda bad: bad.new[:30])
def test_bad_settings_name_file_key_and_what_is_allowed(
    tmp_path: Path, bad: BadSettings
) -> None:
    good = (EXAMPLES / "lahore" / "gulberg-1.toml").read_text()
    assert bad.old in good
    path = tmp_path / "bad.toml"
    path.write_text(good.replace(bad.old, bad.new, 1))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert str(path) in str(caught.value)
    for part in bad.parts:
        assert part in str(caught.value)


def test_every_example_is_good() -> None:
    files = sorted(EXAMPLES.glob("*/*.toml"))
    assert len(files) == 22
    for path in files:
        settings = load_settings(path)
        assert settings.host.name == path.stem


def run(module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a command and return how it ended."""
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
        env={"DRAGONFLYROCK_TOKEN": "x"},
    )


def test_the_commands_end_with_their_statuses(tmp_path: Path, fleet: Fleet) -> None:
    tool = "dragonflyrock.cli.main"
    missing = str(tmp_path / "none.toml")
    assert run("dragonflyrock.daemon", missing).returncode == 2
    assert run(tool, "check-settings", missing).returncode == 2
    assert run(tool, "explode").returncode == 2
    good = str(EXAMPLES / "lahore" / "gulberg-1.toml")
    assert run(tool, "check-settings", good).returncode == 0
    refused = run(tool, "status", "--at", fleet.operators_address(0))
    assert refused.returncode == 1
    assert "unknown-token" in refused.stderr
    away = run(tool, "status", "--at", "127.0.0.1:1")
    assert away.returncode == 1
    assert "127.0.0.1:1" in away.stderr


def test_damaged_data_ends_the_start_with_status_2(tmp_path: Path) -> None:
    plan = SINGLE._replace(first_port=find_free_ports())
    fleet = Fleet(plan, tmp_path)
    folder = tmp_path / "local-1" / "control"
    folder.mkdir(parents=True)
    (folder / "identity").write_text("abc")
    (folder / "log").write_bytes(b"\x07" * 64)
    ended = run("dragonflyrock.daemon", str(fleet.settings_path("local-1")))
    assert ended.returncode == 2
    assert "damaged" in ended.stderr
