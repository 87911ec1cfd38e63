"""A small deployment on loopback: the project's processes and stand-ins for the rest.

Standard library only. The platform part starts the programs with the commands of
``deploy/system.toml``, ends a process that holds more than ``memoryMb``, and starts
again what has ended. Backends, clients and operators follow PROTOCOL.md; where it is
silent they behave like sound ones.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import re
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("zone-a", "zone-b", "zone-c")
LINK, RELAY, CALLERS, READY, CONTROL, METRICS = 7540, 7555, 8548, 8542, 8544, 9464
BEAT_SECONDS = 1.3
HOST = "review.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
# The bounds of sites/qsr-gateway.toml.
BOUNDS = {
    "hold_max_ms": 10000,
    "stop_grace_s": 6.0,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 62.0,
    "lost_machines": 1,
    "announce_ms": 1300,
}


class CannotRun(Exception):
    """The case could not be set up; its result says nothing."""


class Record:
    """The events of a run, written to ``record.txt`` of the case."""

    def __init__(self, case: Path) -> None:
        self._began = time.monotonic()
        self._file = (case / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f}  {text}\n")

    def close(self) -> None:
        self._file.close()


class Reply:
    """An answer: its status, headers in lower case, and body."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one answer with a length; raise ``EOFError`` if it ends early."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {
            k.strip().lower(): v.strip()
            for k, _, v in (line.partition(":") for line in head[1:] if line)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise EOFError("the connection ended without a whole answer") from error
    return Reply(int(head[0].split()[1]), headers, body)


def encode_request(
    method: str, path: str, host: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 1.0,
) -> Reply | None:
    """Call on a new connection; return None if there is no answer in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_request(method, path, address, headers or {}, body))
            return await read_reply(reader)
    except (OSError, EOFError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Node:
    """A process of the project, and the platform's part for it."""

    def __init__(self, lab: Lab, role: str, number: int) -> None:
        self.lab, self.role = lab, role
        lab.nodes.append(self)
        self.ip = f"127.{lab.network}.5.{number + (0 if role == 'control' else 10)}"
        self.link_ip = self.ip.replace(".5.", ".7.") if lab.cuttable else self.ip
        self.zone = ZONES[number % 3]
        self.label = f"{role}-{number}"
        self.memory_mb = 0
        self.peak_mb = 0
        self.ends = 0
        self.memory_ends = 0
        self.is_gone = False
        self._has_proxy = False
        self._settings = lab.folder / f"{self.label}.toml"
        self._data = lab.folder / f"{self.label}-data"
        self.process: asyncio.subprocess.Process | None = None
        self._keeper: asyncio.Task[None] | None = None
        self.forming = role == "control"

    @property
    def callers(self) -> str:
        return f"{self.ip}:{CALLERS}"

    @property
    def control(self) -> str:
        return f"{self.ip}:{CONTROL}"

    def _write_settings(self) -> None:
        node: dict[str, Any] = {
            "name": self.ip,
            "label": self.label,
            "role": self.role,
            "availability_zone": self.zone,
            "forming": self.forming,
        }
        listen = {"link": f"{self.link_ip}:{LINK}", "metrics": f"{self.ip}:{METRICS}"}
        if self.role == "control":
            self._data.mkdir(exist_ok=True)
            node["data_folder"] = str(self._data)
            listen["control"] = self.control
        else:
            listen["callers"] = self.callers
            listen["relay"] = f"{self.ip}:{RELAY}"
            listen["ready"] = f"{self.ip}:{READY}"
        lines = [f"seeds = {json.dumps(self.lab.seeds)}"]
        tables = {"node": node, "listen": listen, "bounds": BOUNDS}
        for title, table in {**tables, "ownership": {"granted_by": "call"}}.items():
            lines += [
                f"[{title}]",
                *(f"{k} = {json.dumps(v)}" for k, v in table.items()),
            ]
        self._settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    async def start(self) -> None:
        """Start the process, and again shortly after each of its ends."""
        if self.lab.cuttable and not self._has_proxy:
            self._has_proxy = True
            await LinkProxy(self.lab, self.ip, self.link_ip).start()
        started = asyncio.Event()
        self._keeper = asyncio.create_task(self._keep(started))
        await started.wait()

    async def _keep(self, started: asyncio.Event) -> None:
        try:
            while not self.lab.closing and not self.is_gone:
                self.process = await self._execute()
                started.set()
                code = await self.process.wait()
                self.ends += 1
                self.lab.record.add(f"{self.label} ended with {code}")
                self.forming = False
                await asyncio.sleep(0.5)
        finally:
            started.set()

    async def _execute(self) -> asyncio.subprocess.Process:
        self._write_settings()
        command = self.lab.commands[self.role].split()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "DRAGONFLYROCK_SETTINGS": str(self._settings),
        }
        with (self.lab.folder / f"{self.label}.log").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.lab.record.add(f"{self.label} starts (pid {process.pid})")
        return process

    def read_memory_mb(self) -> int:
        """Return the resident memory in MB, 0 if there is no process."""
        if self.process is None or self.process.returncode is not None:
            return 0
        try:
            pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        except (OSError, IndexError):
            return 0
        return int(pages) * resource.getpagesize() // 2**20

    def read_disk_mb(self) -> int:
        """Return the size of the data folder in MB."""
        sizes = [f.stat().st_size for f in self._data.rglob("*") if f.is_file()]
        return sum(sizes) // 2**20

    def has_written(self) -> bool:
        """Return whether the process has a log in its data folder."""
        return any(self._data.rglob("log"))

    @property
    def is_kept(self) -> bool:
        """Return whether a process runs, or may be started again."""
        return self._keeper is not None and not self._keeper.done()

    def kill(self, number: signal.Signals = signal.SIGKILL) -> None:
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)


class LinkProxy:
    """The port through which other nodes reach a node's link; it can be cut off.

    While a cut between two nodes lasts, their bytes wait, and no connection is reset.
    The first message on a link names its sender.
    """

    NAME = re.compile(rb"127\.\d+\.5\.\d+")

    def __init__(self, lab: Lab, name: str, target: str) -> None:
        self._lab, self._name, self._target = lab, name, target

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, self._name, LINK)
        self._lab.servers.append(server)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = [""]
        try:
            up_reader, up_writer = await asyncio.open_connection(self._target, LINK)
        except OSError:
            writer.transport.abort()
            return
        pumps = [
            asyncio.create_task(self._pump(reader, up_writer, source, forward=True)),
            asyncio.create_task(self._pump(up_reader, writer, source, forward=False)),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        writer.transport.abort()
        up_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: list[str],
        *,
        forward: bool,
    ) -> None:
        try:
            while data := await reader.read(65536):
                found = self.NAME.search(data) if forward and not source[0] else None
                if found is not None:
                    source[0] = found.group().decode()
                while frozenset((source[0], self._name)) in self._lab.cuts:
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            return


class Lab:
    """The whole deployment; with ``cuttable`` its nodes can be cut off from others."""

    def __init__(
        self, case: Path, controls: int = 3, entries: int = 3, cuttable: bool = False
    ) -> None:
        self.record = Record(case)
        self.closing = False
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {k: v["run"] for k, v in deploy["roles"].items()}
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self.folder = Path(tempfile.mkdtemp(prefix="dragonflyrock-review-"))
        self.network, self._reservation = _reserve_network()
        self.nodes: list[Node] = []
        self.cuttable = cuttable
        self.cuts: set[frozenset[str]] = set()
        self.servers: list[asyncio.Server] = []
        self.controls = [Node(self, "control", n + 1) for n in range(controls)]
        self.seeds = [n.control for n in self.controls]
        self.entries = [Node(self, "entry", n + 1) for n in range(entries)]
        self.backends: list[Backend] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._ids = itertools.count(1)
        self._addresses = itertools.count(1)

    def new_id(self) -> str:
        return f"{next(self._ids):016x}"

    def new_address(self) -> str:
        return f"127.{self.network}.6.{next(self._addresses)}:8080"

    def cut(self, one: Node, others: list[Node]) -> None:
        """Cut a node off from others, both ways and silently."""
        names = " and ".join(node.label for node in others)
        self.record.add(f"{one.label} is cut off from {names}")
        self.cuts |= {frozenset((one.ip, other.ip)) for other in others}

    def heal(self) -> None:
        self.record.add("the cut heals")
        self.cuts.clear()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    async def start(self) -> None:
        self.spawn(self._watch_memory())
        await asyncio.gather(*(n.start() for n in (*self.controls, *self.entries)))
        for backend in self.backends:
            await backend.start()

    async def _watch_memory(self) -> None:
        """End processes that use more than ``memoryMb``, as the platform does."""
        while True:
            for node in (*self.controls, *self.entries):
                used = node.read_memory_mb()
                node.peak_mb = max(node.peak_mb, used)
                if node.memory_mb and used > node.memory_mb:
                    self.record.add(
                        f"{node.label} uses {used} MB: the platform kills it"
                    )
                    node.memory_ends += 1
                    node.kill()
            await asyncio.sleep(0.02)

    async def put(
        self, path: str, base: int, body: bytes, patience: float = 8.0, node: int = -1
    ) -> int:
        """Send a change until it gets a final answer; return its status, 0 if none."""
        until = self.record.now() + patience
        tries = 0
        while self.record.now() < until:
            target = self.controls[(node if node >= 0 else tries) % len(self.controls)]
            tries += 1
            headers = {"X-Dragonflyrock-Base-Version": f"r{base}" if base else "0"}
            headers["Content-Type"] = "application/json"
            reply = await call(target.control, "POST", path, headers, body, 1.5)
            if reply is not None and reply.status in (200, 400, 409, 412, 413, 422):
                return reply.status
            await asyncio.sleep(min(0.1 * tries, 1.0))
        return 0

    async def put_first(self, body: bytes) -> None:
        if await self.put("/-/config/put", 0, body, patience=15.0) != 200:
            raise CannotRun("the first configuration was not accepted")

    async def wait_served(
        self, path: str, headers: dict[str, str] | None = None
    ) -> None:
        """Wait until every entry node has served a request for a path."""
        until = self.record.now() + 20.0
        for node in self.entries:
            while True:
                if self.record.now() > until:
                    raise CannotRun(f"{node.label} does not serve {path}")
                sent = {
                    "X-Dragonflyrock-Request-Id": self.new_id(),
                    "X-Dragonflyrock-Deadline-Ms": "1000",
                    **(headers or {}),
                }
                reply = await call_route(node.callers, "GET", path, sent)
                if reply is not None and reply.status == 200:
                    break
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End all that was started; wait until every process has ended."""
        self.closing = True
        for backend in self.backends:
            backend.crash()
        while any(node.is_kept for node in self.nodes):
            for node in self.nodes:
                node.kill()
            await asyncio.sleep(0.05)
        for server in self.servers:
            server.close()
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)
        await asyncio.sleep(0.1)
        self.record.close()
        self._reservation.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)


async def call_route(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 3.0,
) -> Reply | None:
    """Send a client's request on a new connection."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_request(method, path, HOST, headers, body))
            return await read_reply(reader)
    except (OSError, EOFError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class KeptClient:
    """A client with one kept connection to an entry node."""

    def __init__(self, lab: Lab, address: str) -> None:
        self._lab, self._address = lab, address
        # Requests that were answered on the present connection.
        self.answered = 0
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self, method: str, path: str, deadline_ms: int, body: bytes = b"", key: int = -1
    ) -> tuple[str, str]:
        """Send one request; return its id and how it ended (a status or a word)."""
        request = self._lab.new_id()
        headers = {
            "X-Dragonflyrock-Request-Id": request,
            "X-Dragonflyrock-Deadline-Ms": str(deadline_ms),
        }
        if key >= 0:
            headers["X-Dragonflyrock-Shard-Key"] = str(key)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._stream is None:
                    host, _, port = self._address.rpartition(":")
                    self._stream = await asyncio.open_connection(host, int(port))
                reader, writer = self._stream
                writer.write(encode_request(method, path, HOST, headers, body))
                reply = await read_reply(reader)
        except EOFError:
            self.drop()
            return request, "closed"
        except OSError:
            self.drop()
            return request, "no connection"
        except TimeoutError:
            self.drop()
            return request, "deadline"
        self.answered += 1
        if reply.headers.get("connection", "").lower() == "close":
            self.drop()
        return request, str(reply.status)

    def drop(self) -> None:
        if self._stream is not None:
            self._stream[1].close()
        self._stream = None
        self.answered = 0


Work = Callable[["Backend", str, str, bytes], Awaitable[None]]


class Backend:
    """A stand-in backend server; each start is a new instance with a new id."""

    numbers = itertools.count(1)

    def __init__(
        self,
        lab: Lab,
        service: str,
        work: Work,
        zone: str = ZONES[0],
        slots: int = 4,
        sharded: bool = False,
    ) -> None:
        self.lab, self.service, self.zone = lab, service, zone
        self.slots, self.sharded = slots, sharded
        self.address = lab.new_address()
        self.id = ""
        self.up = False
        self.state = "ready"
        self._work = work
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None
        self._grants: list[tuple[int, int, int, float]] = []
        self._fences: list[tuple[int, int, int]] = []
        self._running = 0
        self._waiting = 0
        self._keys: list[int] = []
        self._gate = asyncio.Semaphore(slots)
        self.beat_address = ""
        self.beats_by_itself = True
        self.sequence = 0
        lab.backends.append(self)

    async def start(self) -> None:
        """Start a new instance without keys."""
        self.id = f"i-{next(Backend.numbers):08x}"
        self.up, self.state, self.sequence = True, "ready", 0
        self._grants, self._fences, self._keys = [], [], []
        self._running = self._waiting = 0
        self._gate = asyncio.Semaphore(self.slots)
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20
        )
        if self.beats_by_itself:
            self._beats = asyncio.create_task(self._send_beats())
        self.lab.record.add(
            f"backend {self.id} of {self.service} starts at {self.address}"
        )

    def crash(self) -> None:
        """End as a killed process does: its kernel closes every socket."""
        if not self.up:
            return
        self.up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        if self._beats is not None:
            self._beats.cancel()

    def make_beat(self) -> bytes:
        self.sequence += 1
        beat = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmupRemainingMs": 0,
            "sequence": self.sequence,
        }
        return json.dumps(beat).encode()

    async def tell(self, what: str, body: bytes) -> bool:
        """Call the nodes that serve control in turn until one acknowledges."""
        nodes = [n.control for n in self.lab.controls]
        order = [self.beat_address] if self.beat_address in nodes else []
        order += [n for n in nodes if n not in order]
        for address in order:
            reply = await call(
                address, "POST", f"/-/instances/{self.id}/{what}", {}, body
            )
            if reply is not None and 200 <= reply.status < 300:
                with suppress(ValueError):
                    self.beat_address = json.loads(reply.body).get(
                        "heartbeatAddress", ""
                    )
                return True
            self.beat_address = ""
        return False

    async def _send_beats(self) -> None:
        while True:
            await self.tell("heartbeat", self.make_beat())
            await asyncio.sleep(BEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while self.up:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {
                    k.strip().lower(): v.strip()
                    for k, _, v in (line.partition(":") for line in lines[1:] if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self._answer(method, path, headers, body)
                if not self.up:
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _encode(
        self, status: int, body: bytes, headers: dict[str, str], request: str = ""
    ) -> bytes:
        reasons = {200: "OK", 409: "Conflict", 421: "Misdirected Request"}
        lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Answer')}"]
        headers = {"X-Dragonflyrock-Instance-Id": self.id, **headers}
        if request:
            headers["X-Dragonflyrock-Request-Id"] = request
        headers["X-Dragonflyrock-Server-Load"] = (
            f"{self._running},{self._waiting},{self.slots}"
        )
        headers["Keep-Alive"] = "timeout=10"
        lines += [f"{k}: {v}" for k, v in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def _answer(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        request = headers.get("x-dragonflyrock-request-id", "")
        if path == "/health":
            return self._encode(200 if self.state == "ready" else 503, b"", {})
        expected = headers.get("x-dragonflyrock-expected-instance", self.id)
        not_run = {"X-Dragonflyrock-Not-Executed": "1"}
        if expected != self.id:
            return self._encode(421, b"", not_run, request)
        if path == "/-/grant":
            return self._encode(self._grant(json.loads(body)), b"", {}, request)
        if path == "/-/release":
            return await self._release(json.loads(body), request)
        until = (
            time.monotonic()
            + float(headers.get("x-dragonflyrock-deadline-ms", "1000")) / 1000
        )
        self.lab.record.add(f"request {request} {method} {path} reaches {self.id}")
        if self._waiting >= 2 * self.slots:
            return self._encode(503, b"", not_run, request)
        self._waiting += 1
        try:
            await self._gate.acquire()
        finally:
            self._waiting -= 1
        try:
            if time.monotonic() > until:
                return self._encode(503, b"", not_run, request)
            key = int(headers.get("x-dragonflyrock-shard-key", "-1"))
            if self.sharded and not self._holds(key):
                return self._encode(421, b"", not_run, request)
            self.lab.record.add(f"request {request} {path} runs at {self.id}")
            self._running += 1
            self._keys.append(key)
            try:
                await self._work(self, request, path, body)
            finally:
                self._running -= 1
                if key in self._keys:
                    self._keys.remove(key)
            if not self.up:
                return b""
            answer = f"{request} {path} {self.id}\n".encode()
            stamp = {"X-Dragonflyrock-Server-Stamp": f"{self.id}.{len(answer)}"}
            return self._encode(200, answer, stamp, request)
        finally:
            self._gate.release()

    def _holds(self, key: int) -> bool:
        now = time.monotonic()
        return any(a <= key <= b and until > now for a, b, _, until in self._grants)

    def _grant(self, order: dict[str, Any]) -> int:
        low, high, fence = order["from"], order["to"], order["fence"]
        if any(f > fence and a <= high and low <= b for a, b, f in self._fences):
            return 409
        until = time.monotonic() + order["holdMs"] / 1000
        self._cut(low, high)
        self._fences.append((low, high, fence))
        self._grants.append((low, high, fence, until))
        return 200

    def _cut(self, low: int, high: int) -> None:
        """Remove a span of keys from what is held."""
        kept = []
        for a, b, fence, until in self._grants:
            if b < low or a > high:
                kept.append((a, b, fence, until))
                continue
            if a < low:
                kept.append((a, low - 1, fence, until))
            if b > high:
                kept.append((high + 1, b, fence, until))
        self._grants = kept

    async def _release(self, order: dict[str, Any], request: str) -> bytes:
        low, high = order["from"], order["to"]
        self._cut(low, high)
        while any(low <= key <= high for key in self._keys):
            await asyncio.sleep(0.01)
        return self._encode(
            200, b"", {"X-Dragonflyrock-Handover": f"{self.id}-{low}"}, request
        )


def make_rule(
    name: str,
    prefix: str,
    service: str,
    *,
    safe: bool,
    timeout_ms: int = 1000,
    attempts: int = 2,
) -> dict[str, Any]:
    return {
        "name": name,
        "kind": "safe" if safe else "unsafe",
        "targetLatencyMs": 400,
        "priority": 1,
        "match": {"pathPrefix": prefix},
        "action": {
            "service": service,
            "timeoutMs": timeout_ms,
            "maxAttempts": attempts,
        },
    }


def make_config(
    version: int, rules: list[dict[str, Any]], services: dict[str, bool]
) -> bytes:
    """Return a complete configuration; ``services`` says which are sharded."""
    clusters = []
    for name, sharded in services.items():
        cluster: dict[str, Any] = {"name": name, "healthCheckPath": "/health"}
        cluster |= {"maxConnections": 130, "protocol": "h1", "tls": False}
        if sharded:
            cluster |= {"sharded": True, "warmS": 3.0, "grants": "call"}
        clusters.append(cluster)
    config = {
        "version": f"r{version}",
        "limits": LIMITS,
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": clusters,
    }
    return json.dumps(config, separators=(",", ":")).encode()


def _reserve_network() -> tuple[int, socket.socket]:
    """Return a free loopback network, reserved while the socket is open."""
    for network in range(20, 200):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{network}.0.1", LINK))
            reservation.listen()
        except OSError:
            reservation.close()
            continue
        return network, reservation
    raise CannotRun("no free loopback network")


async def _run_until_told(main: Callable[[Path], Awaitable[int]], case: Path) -> int:
    """Run a case; SIGTERM ends it like an error, so that its processes end too."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await main(case)


def run(main: Callable[[Path], Awaitable[int]], case: Path) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2."""
    # Streams that are collected after the loop has ended are of no interest.
    sys.unraisablehook = lambda unraisable: None
    try:
        status = asyncio.run(_run_until_told(main, case))
    except CannotRun as error:
        print(f"cannot run: {error}")
        status = 2
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        print("cannot run")
        status = 2
    sys.exit(status)
