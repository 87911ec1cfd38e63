"""Stand-ins of the platform, of backend servers and of callers for the cases 6 to 10.

Standard library only. The nodes are the project's own programs, started with the
command of deploy/system.toml on loopback addresses. A stand-in does what the users'
pages say and no more.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[1]
ZONES = ("gulberg", "johar", "model-town")
# As in the site file qsr-gateway: settings, bounds and ports of a small deployment.
CONTROL_PORT, CALLERS_PORT, READY_PORT = 8544, 8548, 8542
FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT = 7540, 7555
SERVER_PORT = 8080
HEARTBEAT_SECONDS = 1.3
GRACE_SECONDS = 6.0
RESTART_SECONDS = 0.3
BOUNDS = {
    "seedLagS": 3,
    "addressReuseS": 2,
    "connectivityWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "regressionWindowMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 62,
    "recoveryS": 15,
    "holdMaxMs": 10000,
    "thawSlackMs": 300,
}
HOST = "jepu9.example"
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


class CannotRunError(Exception):
    """The case cannot run here; the exit status is 2."""


# The platform's template language, as far as deploy/node.toml.template uses it.


def _look_up(path: str, scopes: list[object]) -> object:
    if path == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value: object = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdecimal():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                break
        else:
            return value
    return None


def render(template: str, scopes: list[object], key: str = "", last: bool = True) -> str:
    """Fill in a template as DEPLOY says."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill_section(match: re.Match[str]) -> str:
        value = _look_up(match[2], scopes)
        if match[1] == "^":
            return "" if value else render(match[3], scopes, key, last)
        if value is None or value is False or value == "":
            return ""
        items = [("", value)]
        if isinstance(value, dict):
            items = list(value.items())
        elif isinstance(value, list):
            items = [(str(number), each) for number, each in enumerate(value)]
        return "".join(
            render(match[3], [*scopes, each], name, number == len(items) - 1)
            for number, (name, each) in enumerate(items)
        )

    def fill_value(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        if name == "@":
            return key
        if name == ",":
            return "" if last else ","
        value = _look_up(name, scopes)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, dict):
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    text = section.sub(fill_section, template)
    return re.sub(r"\{\{([^}#^/]+)\}\}", fill_value, text)


# HTTP/1.1, as much as the calls need.


class Message:
    """A request or response; ``first`` is its first line, header names are in lower case."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self) -> int:
        return int(self.first.split(" ", 2)[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first, headers, body)


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 1.0,
) -> Message | None:
    """Make a call on a new connection; None without a response in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address, "Content-Type": "application/json"}
            fields |= headers or {}
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            return await read_message(reader)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Record:
    """What was sent, answered and run; written to record.txt of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self._began

    def add(self, kind: str, **fields: object) -> float:
        """Write a line; return its time in seconds since the start."""
        now = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now:8.3f} {kind:<12} {text}\n")
        self._file.flush()
        return now


class Node:
    """A process of the system, which the platform starts again when it ends by itself."""

    def __init__(self, deployment: Deployment, name: str, role: str, zone: str, ip: str):
        self.deployment, self.name, self.role = deployment, name, role
        self.zone, self.ip = zone, ip
        self.data = deployment.folder / f"{name}-data"
        self.settings = deployment.folder / f"{name}.toml"
        self.log = deployment.folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.is_wanted = False
        self.own_ends: list[float] = []
        self._watch: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        port = CONTROL_PORT if self.role == "control" else CALLERS_PORT
        return f"{self.ip}:{port}"

    def make_fields(self, bootstrap: bool) -> dict[str, object]:
        """Return the fields of the platform's settings file."""
        is_control = self.role == "control"
        listen = {"control": self.address}
        if not is_control:
            listen = {"frontend": self.address, "ready": f"{self.ip}:{READY_PORT}"}
        seeds = [node.address for node in self.deployment.controls]
        return {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "core" if is_control else "frontend",
            "serves": ["control" if is_control else "frontend"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "lahore",
            "zones": dict.fromkeys(ZONES, "lahore"),
            "listen": listen,
            "internalPorts": [FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "toleranceMember": is_control,
            "limits": {
                "cpuShare": 0.645 if is_control else 0.86,
                "cores": 1,
                "memoryMb": 296 if is_control else 300,
                "maxFds": 4096 if is_control else 4100,
                "linkMbps": 1000.0,
                "diskMb": 256 if is_control else 0,
            },
            "dataDir": str(self.data) if is_control else None,
            "discovery": "registration",
            "entry": "virtual_ip",
            "heartbeatIntervalMs": int(HEARTBEAT_SECONDS * 1000),
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "grants": "call",
        }

    async def start(self, bootstrap: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        self.is_wanted = True
        role = self.deployment.roles[self.role]
        template = (REPOSITORY / role["template"]).read_text(encoding="utf-8")
        self.settings.write_text(render(template, [self.make_fields(bootstrap)]))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "DRAGONFLYROCK_SETTINGS": str(self.settings),
        }
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(" "),
                cwd=REPOSITORY,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.deployment.record.add("started", node=self.name, pid=self.process.pid)
        self._watch = asyncio.create_task(self._watch_process(self.process))

    async def _watch_process(self, process: asyncio.subprocess.Process) -> None:
        """Record the end of the process; start it again if nobody ended it."""
        code = await process.wait()
        by_itself = self.is_wanted
        self.deployment.record.add(
            "ended", node=self.name, code=code, by_itself=by_itself
        )
        if not by_itself:
            return
        self.own_ends.append(self.deployment.record.now())
        await asyncio.sleep(RESTART_SECONDS)
        if self.is_wanted:
            await self.start()

    async def kill(self) -> None:
        """End the process with SIGKILL, and wait for it."""
        self.is_wanted = False
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        if self._watch is not None:
            await asyncio.gather(self._watch, return_exceptions=True)


class Deployment:
    """The nodes of a small deployment, on a loopback network of their own."""

    def __init__(self, record: Record, entries: int = 3) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        system = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self.roles = system["roles"]
        if not (REPOSITORY / "target" / "deps").is_dir():
            raise CannotRunError("the build of the deploy file has not run")
        self.network = self._find_network()
        self.controls = [
            Node(self, f"core-{zone}-1", "control", zone, self.make_ip(1, number + 1))
            for number, zone in enumerate(ZONES)
        ]
        self.entries = [
            Node(self, f"frontend-{zone}-1", "entry", zone, self.make_ip(2, number + 1))
            for number, zone in enumerate(ZONES[:entries])
        ]
        self.servers: list[Server] = []

    def make_ip(self, net: int, host: int) -> str:
        return f"127.{self.network}.{net}.{host}"

    def _find_network(self) -> int:
        """Return a loopback network on which no port of the case is in use."""
        for network in range(30, 220):
            with socket.socket() as probe:
                try:
                    probe.bind((f"127.{network}.1.1", CONTROL_PORT))
                    self._reservation = socket.socket()
                    self._reservation.bind((f"127.{network}.0.1", CONTROL_PORT))
                    self._reservation.listen()
                except OSError:
                    continue
                return network
        raise CannotRunError("no free loopback network")

    @property
    def nodes(self) -> list[Node]:
        return [*self.controls, *self.entries]

    async def start(self) -> None:
        """Start all nodes as the platform does at the first start."""
        for node in self.nodes:
            await node.start(bootstrap=True)

    async def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        for server in self.servers:
            await server.end("the case is over")
        await asyncio.gather(*(node.kill() for node in self.nodes))
        self._reservation.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def operate(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        base: int | None = None,
        first: Node | None = None,
    ) -> Message:
        """Make a call of the operator: it moves on to another node until one answers."""
        headers = {} if base is None else {"X-Dragonflyrock-Base-Version": f"r{base}"}
        until = self.record.now() + 15
        nodes = sorted(self.controls, key=lambda node: node is not first)
        for node in itertools.cycle(nodes):
            answer = await call(node.address, method, path, body, headers)
            status = answer.status if answer is not None else "none"
            self.record.add("operator", path=path, node=node.name, status=status)
            if answer is not None and answer.status < 500:
                return answer
            if self.record.now() > until:
                raise CannotRunError(f"{path} got no clear answer in 15 s")
            await asyncio.sleep(0.2)
        raise AssertionError

    async def put_config(
        self, version: int, routes: list[dict[str, object]], first: Node | None = None
    ) -> None:
        """Send a complete configuration, to the node ``first`` before others."""
        clusters = [
            {
                "name": name,
                "healthCheckPath": "/health",
                "maxConnections": 130,
                "protocol": "h1",
                "tls": False,
            }
            | ({"sharded": True, "warmS": 2.0, "grants": "call"} if sharded else {})
            for name, sharded in (("finder", True), ("engage", False))
        ]
        config = {
            "version": f"r{version}",
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "listeners": [{"host": HOST, "rules": routes}],
            "clusters": clusters,
        }
        answer = await self.operate(
            "POST", "/-/config/put", json.dumps(config).encode(), 0, first
        )
        if answer.status != 200:
            raise CannotRunError(f"configuration: {answer.status} {answer.body!r}")

    async def wait_ready(self) -> None:
        """Wait until each entry node says that it is ready."""
        async with asyncio.timeout(15):
            for node in self.entries:
                while True:
                    answer = await call(f"{node.ip}:{READY_PORT}", "GET", "/-/ready")
                    if answer is not None and answer.status == 200:
                        break
                    await asyncio.sleep(0.1)


async def find_leader(deployment: Deployment) -> Node:
    """Return the control node whose metrics say that it leads."""
    for _ in range(100):
        for node in deployment.controls:
            page = await call(f"{node.ip}:9464", "GET", "/metrics", timeout=0.5)
            for line in (page.body.decode() if page is not None else "").splitlines():
                if "leading" in line and "control" in line and line.endswith(" 1.0"):
                    return node
        await asyncio.sleep(0.1)
    raise CannotRunError("no control node says that it leads")


def make_route(name: str, kind: str, prefix: str, service: str) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "kind": kind,
        "targetLatencyMs": 250,
        "priority": 1,
        "match": {"pathPrefix": prefix},
        "action": {"service": service, "timeoutMs": 1500, "maxAttempts": 2},
    }


ROUTES = [
    make_route("r-search", "safe", "/search/", "finder"),
    make_route("r-book", "unsafe", "/book/", "engage"),
]


class Grant:
    """Keys that a server holds until a time."""

    def __init__(self, low: int, high: int, fence: int, until: float) -> None:
        self.low, self.high, self.fence, self.until = low, high, fence, until


class Server:
    """One life of a backend server."""

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        service: str,
        zone: str,
        ip: str,
        life: int = 1,
        work_seconds: float = 0.06,
        slots: int = 2,
    ) -> None:
        self.deployment, self.record = deployment, deployment.record
        self.name, self.service, self.zone, self.ip = name, service, zone, ip
        self.life, self.slots, self.work_seconds = life, slots, work_seconds
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.heartbeat_address = ""
        self.grants: list[Grant] = []
        self.grant_calls: list[tuple[float, int, int, int]] = []
        self.runs: list[tuple[float, str, int]] = []
        self.acknowledged: list[tuple[float, str]] = []
        self.running = 0
        self.has_ended = False
        self.beats: asyncio.Task[None] | None = None
        self._random = random.Random(name)
        self._seen: list[tuple[int, int, int]] = []
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._slots = asyncio.Semaphore(slots)
        deployment.servers.append(self)

    @property
    def address(self) -> str:
        return f"{self.ip}:{SERVER_PORT}"

    async def start(self) -> None:
        """Listen, and announce this life from now on."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, SERVER_PORT, reuse_address=True
        )
        self.record.add("server-up", server=self.name, life=self.life)
        self.beats = asyncio.create_task(self._announce())

    async def end(self, why: str) -> None:
        """End this life as a crash does: its connections are reset."""
        if self.has_ended:
            return
        self.has_ended = True
        self.record.add("server-down", server=self.name, life=self.life, why=why)
        if self.beats is not None:
            self.beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _announce(self) -> None:
        """Send a heartbeat each 1.3 s."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat to control nodes in turn until one acknowledges it."""
        self.sequence += 1
        state = self.state
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmupRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        path = f"/-/instances/{self.name}/heartbeat"
        nodes = [node.address for node in self.deployment.controls]
        self._random.shuffle(nodes)
        nodes.sort(key=lambda address: address != self.heartbeat_address)
        for address in nodes:
            answer = await call(address, "POST", path, json.dumps(body).encode())
            status = answer.status if answer is not None else "none"
            at = self.record.add(
                "heartbeat",
                server=self.name,
                life=self.life,
                sequence=self.sequence,
                state=state,
                node=address,
                status=status,
            )
            if answer is not None and 200 <= answer.status < 300:
                named = json.loads(answer.body or b"{}").get("heartbeatAddress", "")
                self.heartbeat_address = named or self.heartbeat_address
                self.acknowledged.append((at, state))
                return True
            if address == self.heartbeat_address:
                self.heartbeat_address = ""
        return False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one request at a time on a connection."""
        self._connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        """Answer a health check, an order or a request."""
        method, path, _ = request.first.split(" ", 2)
        headers = {"X-Dragonflyrock-Instance-Id": self.name}
        request_id = request.headers.get("x-dragonflyrock-request-id")
        if request_id is not None:
            headers["X-Dragonflyrock-Request-Id"] = request_id
        if path == "/health":
            status = "200 OK" if self.state == "ready" else "503 Draining"
            return encode(f"HTTP/1.1 {status}", headers)
        expected = request.headers.get("x-dragonflyrock-expected-instance")
        if expected not in (None, self.name):
            headers["X-Dragonflyrock-Not-Executed"] = "1"
            return encode("HTTP/1.1 421 Misdirected", headers)
        if path == "/-/grant":
            return self._take_grant(request, headers)
        if path == "/-/release":
            return await self._release(request, headers)
        return await self._run(request, request_id, path, headers)

    def _take_grant(self, request: Message, headers: dict[str, str]) -> bytes:
        """Take keys, unless a higher fencing token was seen on one of them."""
        order = json.loads(request.body)
        low, high, fence = order["from"], order["to"], order["fence"]
        refused = any(
            seen > fence and first <= high and low <= last
            for first, last, seen in self._seen
        )
        at = self.record.add(
            "grant",
            server=self.name,
            life=self.life,
            keys=f"{low}-{high}",
            fence=fence,
            hold_ms=order["holdMs"],
            handover=order.get("handover", ""),
            answer=409 if refused else 200,
        )
        if refused:
            return encode("HTTP/1.1 409 Conflict", headers)
        self.grant_calls.append((at, low, high, fence))
        self._seen = [row for row in self._seen if row != (low, high, fence)]
        self._seen.append((low, high, fence))
        self._remove_keys(low, high)
        until = at + order["holdMs"] / 1000
        self.grants.append(Grant(low, high, fence, until))
        return encode("HTTP/1.1 200 OK", headers)

    def _remove_keys(self, low: int, high: int) -> None:
        """Hold keys no longer."""
        kept = []
        for grant in self.grants:
            if grant.low < low:
                last = min(grant.high, low - 1)
                kept.append(Grant(grant.low, last, grant.fence, grant.until))
            if grant.high > high:
                first = max(grant.low, high + 1)
                kept.append(Grant(first, grant.high, grant.fence, grant.until))
        self.grants = [grant for grant in kept if grant.low <= grant.high]

    async def _release(self, request: Message, headers: dict[str, str]) -> bytes:
        """Stop new work on keys, and answer when the running work has ended."""
        order = json.loads(request.body)
        keys = f"{order['from']}-{order['to']}"
        self.record.add(
            "release", server=self.name, life=self.life, keys=keys, fence=order["fence"]
        )
        self._remove_keys(order["from"], order["to"])
        while self.running:
            await asyncio.sleep(0.005)
        headers["X-Dragonflyrock-Handover"] = f"{self.born:x}{order['fence']:x}"
        return encode("HTTP/1.1 200 OK", headers)

    async def _run(
        self, request: Message, request_id: str | None, path: str, headers: dict[str, str]
    ) -> bytes:
        """Run a request in a slot, if this server holds its key."""
        if request_id is None:
            headers["X-Dragonflyrock-Not-Executed"] = "1"
            return encode("HTTP/1.1 400 Bad Request", headers)
        arrived = self.record.now()
        async with self._slots:
            fence = 0
            key = request.headers.get("x-dragonflyrock-shard-key")
            if key is not None and self.service == "finder":
                now = self.record.now()
                held = [
                    grant
                    for grant in self.grants
                    if grant.low <= int(key) <= grant.high and grant.until > now
                ]
                if not held:
                    headers["X-Dragonflyrock-Not-Executed"] = "1"
                    return encode("HTTP/1.1 421 Misdirected", headers)
                fence = held[-1].fence
            self.runs.append((arrived, request_id, fence))
            self.record.add(
                "run", server=self.name, life=self.life, id=request_id, fence=fence
            )
            self.running += 1
            try:
                await asyncio.sleep(self.work_seconds)
            finally:
                self.running -= 1
        headers["X-Dragonflyrock-Server-Stamp"] = STAMP
        headers["X-Dragonflyrock-Server-Load"] = f"{self.running},0,{self.slots}"
        return encode("HTTP/1.1 200 OK", headers, f"{self.name} {request_id}".encode())


class Callers:
    """Callers that send requests, each on a new connection, and note the answers."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment, self.record = deployment, deployment.record
        self.outcomes: list[tuple[float, str, str, int]] = []
        self._ids = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, path: str, per_second: float, method: str = "GET") -> None:
        """Send requests at a rate until stopped, to the entry nodes in turn."""
        self._tasks.append(asyncio.create_task(self._send_often(path, per_second, method)))

    async def _send_often(self, path: str, per_second: float, method: str) -> None:
        sends: set[asyncio.Task[None]] = set()
        try:
            for number in itertools.count():
                node = self.deployment.entries[number % len(self.deployment.entries)]
                task = asyncio.create_task(self.send(node, method, path, number))
                sends.add(task)
                task.add_done_callback(sends.discard)
                await asyncio.sleep(1 / per_second)
        finally:
            for task in sends:
                task.cancel()

    async def send(self, node: Node, method: str, path: str, number: int) -> int:
        """Send one request; return the status, 0 without an answer."""
        request_id = f"{next(self._ids):08x}"
        headers = {
            "Host": HOST,
            "X-Dragonflyrock-Request-Id": request_id,
            "X-Dragonflyrock-Deadline-Ms": "1500",
            "X-Dragonflyrock-Shard-Key": str(number * 7919 % 65536),
        }
        body = b"x" * 200 if method == "POST" else b""
        at = self.record.now()
        answer = await call(node.address, method, f"{path}{number}", body, headers, 2.0)
        status = answer.status if answer is not None else 0
        self.outcomes.append((at, request_id, path, status))
        self.record.add("answer", id=request_id, node=node.name, sent=f"{at:.3f}", status=status)
        return status

    async def stop(self) -> None:
        """Send no more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def run_case(file: str, play) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(file).resolve().parent)

    async def main() -> int:
        deployment = None
        try:
            deployment = Deployment(record)
            async with asyncio.timeout(110):
                broken = await play(deployment, record, trouble)
            for line in broken:
                record.add("BROKEN", detail=line)
                print(f"broken: {line}")
            print("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except (CannotRunError, TimeoutError) as error:
            record.add("cannot-run", detail=error)
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            if deployment is not None:
                await deployment.close()
                if os.environ.get("KEEP"):
                    print(deployment.folder)

    sys.exit(asyncio.run(main()))
