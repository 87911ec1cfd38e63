"""A small deployment on loopback addresses, for the scripts of this review.

Control and entry nodes are the project's own processes, started with the command of
the deploy file. Backends, clients and the operator are stand-ins that follow PROTOCOL.
Nothing of the project is imported here.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PREFIX = "X-Dragonflyrock-"
LINK, RELAY, CONTROL, CALLERS, READY, SERVER = 7540, 7555, 8544, 8548, 8542, 8080
ZONES = ("a", "b", "c")
HOST = "shop.example"


class Cannot(Exception):
    """The case could not be run."""


class Answer:
    """An HTTP answer: status (0 for none), headers in lower case, body."""

    def __init__(self, status, headers=None, body=b"", why=""):
        self.status, self.headers, self.body, self.why = status, headers or {}, body, why


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while (raw := await reader.readline()).strip():
        name, _, value = raw.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").split(), headers


async def read_body(reader, headers):
    """Return a body that has a length."""
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def encode(first, headers, body=b"", length=True):
    """Return the bytes of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, body=b"", headers=None, timeout=1.0):
    """Make one call on a new connection; give up and close after ``timeout``."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = {"Host": address, "Content-Type": "application/json", **(headers or {})}
            writer.write(encode(f"{method} {path} HTTP/1.1", head, body))
            got = await read_head(reader)
            if got is None:
                return Answer(0, why="closed")
            first, answered = got
            return Answer(int(first[1]), answered, await read_body(reader, answered))
    except TimeoutError:
        return Answer(0, why="no answer in time")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(0, why=repr(error))
    finally:
        if writer is not None:
            writer.close()


class Node:
    """A process of the project."""

    def __init__(self, lab, role, number):
        self.lab, self.role, self.number = lab, role, number
        self.name = f"{role}-{number}"
        self.ip = f"127.{lab.net}.{1 if role == 'control' else 2}.{number}"
        # Differs from ``ip``, which others use, where a proxy stands before the node.
        self.listen_ip = self.ip
        self.zone = ZONES[(number - 1) % 3]
        self.folder = lab.folder / self.name
        self.process = None

    def write_settings(self, forming):
        """Write the settings as the template of the deploy file has them."""
        lab = self.lab
        text = f"seeds = {json.dumps(lab.seeds)}\n"
        text += f"availability_zones = {json.dumps(list(ZONES))}\n"
        text += f'[node]\nname = "{self.ip}"\nlabel = "{self.name}"\nrole = "{self.role}"\n'
        text += f'availability_zone = "{self.zone}"\nforming = {str(forming).lower()}\n'
        if self.role == "control":
            text += f'data_folder = "{self.folder}"\n'
        text += f'[listen]\nlink = "{self.listen_ip}:{LINK}"\n'
        if self.role == "control":
            text += f'control = "{self.ip}:{CONTROL}"\n'
        else:
            text += f'callers = "{self.listen_ip}:{CALLERS}"\n'
            text += f'relay = "{self.ip}:{RELAY}"\n'
            text += f'ready = "{self.ip}:{READY}"\n'
        text += "[bounds]\nhold_max_ms = 10000\nstop_grace_s = 6\nretry_ratio = 0.2\n"
        text += "retry_window_s = 10\nretry_slack = 62\nlost_machines = 1\n"
        text += f"announce_ms = {lab.beat_ms}\nevacuation_ms = {lab.evacuation_ms}\n"
        text += '[ownership]\ngranted_by = "call"\n'
        text += f"[machine]\nmemory_mb = 300\nmax_fds = 4100\nlink_mbps = {lab.link_mbps}\n"
        path = lab.folder / f"{self.name}.toml"
        path.write_text(text)
        return path

    def start(self, forming=False):
        """Start the process with the command of the deploy file."""
        if self.role == "control":
            self.folder.mkdir(exist_ok=True)
        settings = self.write_settings(forming)
        env = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": "target/deps"}
        env["DRAGONFLYROCK_SETTINGS"] = str(settings)
        with (self.lab.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "deploy/node.py"],
                cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self):
        """Wait for the end of a killed process."""
        if self.process is not None:
            self.process.wait()

    @property
    def control(self):
        return f"{self.ip}:{CONTROL}"

    @property
    def callers(self):
        return f"{self.ip}:{CALLERS}"


class Backend:
    """A stand-in backend server without keys that runs requests and sends heartbeats."""

    def __init__(self, lab, service, number, zone, work=0.02, slots=4):
        self.lab, self.service, self.zone = lab, service, zone
        self.work, self.slots = work, slots
        self.address = f"127.{lab.net}.3.{number}:{SERVER}"
        self.id = f"i-{number:02d}{random.randrange(16**6):06x}"
        self.state, self.sequence, self.running = "ready", 0, 0
        self.server, self.beats, self.writers = None, None, set()
        self.beats_at = lab.controls

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.beats = asyncio.create_task(self.send_beats())

    def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def send_beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.lab.beat_ms / 1000)

    async def beat(self, nodes=None):
        """Send one heartbeat; on to the next node without a 2xx within a second."""
        self.sequence += 1
        body = {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "warmupRemainingMs": 0, "sequence": self.sequence,
        }
        for node in nodes or random.sample(self.beats_at, len(self.beats_at)):
            answer = await call(
                node.control, "POST", f"/-/instances/{self.id}/heartbeat",
                json.dumps(body).encode(),
            )
            if 200 <= answer.status < 300:
                self.lab.note("beat", backend=self.id, state=self.state, node=node.name)
                return True
        return False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (got := await read_head(reader)) is not None:
                (method, target, _), headers = got
                body = await read_body(reader, headers)
                if target == "/health":
                    status = 200 if self.state == "ready" else 503
                    writer.write(encode(f"HTTP/1.1 {status} x", {PREFIX + "Instance-Id": self.id}))
                    continue
                expected = headers.get("x-dragonflyrock-expected-instance", self.id)
                if expected != self.id:
                    writer.write(self.refuse(headers, 421))
                    continue
                await self.answer(method, target, headers, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def refuse(self, headers, status):
        """Return an answer that says that the request has not run."""
        named = {
            PREFIX + "Request-Id": headers.get("x-dragonflyrock-request-id", ""),
            PREFIX + "Instance-Id": self.id, PREFIX + "Not-Executed": "1",
        }
        return encode(f"HTTP/1.1 {status} x", named)

    def make_answer(self, request, status=200, body=b""):
        named = {
            PREFIX + "Request-Id": request,
            PREFIX + "Server-Stamp": f"{self.id}.{request[:6]}",
            PREFIX + "Server-Load": f"{self.running},0,{self.slots}",
        }
        return encode(f"HTTP/1.1 {status} x", named, body)

    async def answer(self, method, target, headers, body, writer):
        """Run a request and answer it."""
        request = headers.get("x-dragonflyrock-request-id", "")
        self.lab.note("run", request=request, backend=self.id, zone=self.zone, target=target)
        self.running += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        writer.write(self.make_answer(request, 200, f"{request} {self.id}\n".encode()))


class Lab:
    """A deployment: control and entry nodes, and a record of what was seen."""

    def __init__(self, record, controls=3, entries=3, beat_ms=1000, evacuation_ms=5000):
        self.net = 60 + os.getpid() % 150
        while not self.is_free():
            self.net = 60 + (self.net - 59) % 150
        self.folder = Path(tempfile.mkdtemp(prefix="review-lab-"))
        self.beat_ms, self.evacuation_ms = beat_ms, evacuation_ms
        self.controls = [Node(self, "control", n + 1) for n in range(controls)]
        self.entries = [Node(self, "entry", n + 1) for n in range(entries)]
        self.seeds = [f"{node.ip}:{CONTROL}" for node in self.controls]
        self.backends, self.events, self.began = [], [], time.monotonic()
        self.record = Path(record)
        self.link_mbps = 1000.0

    def is_free(self):
        for net, port in ((1, CONTROL), (2, CALLERS), (3, SERVER)):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((f"127.{self.net}.{net}.1", port))
                except OSError:
                    return False
        return True

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **fields):
        """Add an event to the record."""
        self.events.append((self.now(), what, fields))

    def select(self, what, **fields):
        return [
            (at, found) for at, kind, found in self.events
            if kind == what and all(found.get(k) == v for k, v in fields.items())
        ]

    async def start(self):
        for node in self.controls + self.entries:
            node.start(forming=True)
        for backend in self.backends:
            await backend.start()

    async def put(self, config, base, timeout=15.0):
        """Send a configuration until it is accepted."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            node = random.choice(self.controls)
            answer = await call(
                node.control, "POST", "/-/config/put", json.dumps(config).encode(),
                {PREFIX + "Base-Version": f"r{base}"},
            )
            self.note("put", version=config["version"], node=node.name, status=answer.status)
            if answer.status == 200:
                return
            if answer.status in (400, 409, 412, 413, 422):
                raise Cannot(f"configuration refused: {answer.status} {answer.body!r}")
            await asyncio.sleep(0.2)
        raise Cannot("no configuration was accepted")

    async def wait_ready(self, timeout=15.0):
        until = time.monotonic() + timeout
        for node in self.entries:
            while (await call(f"{node.ip}:{READY}", "GET", "/-/ready")).status != 200:
                if time.monotonic() > until:
                    raise Cannot(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    async def find_leader(self, timeout=10.0):
        """Return the control node whose log says that it leads, by the last election."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            found = []
            for node in self.controls:
                text = (self.folder / f"{node.name}.log").read_text(errors="replace")
                for line in text.splitlines():
                    if "leader-elected" in line:
                        term = int(line.split("term ")[1].split('"')[0].split()[0])
                        found.append((term, node.name, node))
            if found:
                return max(found)[2]
            await asyncio.sleep(0.1)
        raise Cannot("no leader was elected")

    async def request(self, entry, path, deadline_ms=1500, method="POST", body=b"x", **more):
        """Send one request as a client; note what was sent and answered."""
        request = f"{random.randrange(16**16):016x}"
        headers = {
            "Host": HOST, PREFIX + "Request-Id": request,
            PREFIX + "Deadline-Ms": str(deadline_ms), **more,
        }
        self.note("sent", request=request, entry=entry.name, path=path)
        answer = await call(entry.callers, method, path, body, headers, deadline_ms / 1000 + 0.6)
        self.note(
            "answered", request=request, entry=entry.name, status=answer.status,
            why=answer.why, stamp=answer.headers.get("x-dragonflyrock-server-stamp", ""),
            after=answer.headers.get("retry-after", ""),
        )
        return request, answer

    def close(self):
        for backend in self.backends:
            backend.stop()
        for node in self.controls + self.entries:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            node.wait()
        with self.record.open("w") as out:
            for at, what, fields in self.events:
                shown = " ".join(f"{k}={v}" for k, v in fields.items())
                out.write(f"{at:9.3f} {what} {shown}\n")
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_config(version, services, rules):
    """Return a configuration; ``rules`` are (name, kind, prefix, service, more)."""
    listed = []
    for name, kind, prefix, service, more in rules:
        action = {"timeoutMs": 1500, "maxAttempts": 2, **more}
        if service:
            action["service"] = service
        listed.append({
            "name": name, "kind": kind, "targetLatencyMs": 400, "priority": 1,
            "match": {"pathPrefix": prefix}, "action": action,
        })
    clusters = [
        {"name": name, "healthCheckPath": "/health", "maxConnections": 130,
         "protocol": "h1", "tls": False, **more}
        for name, more in services.items()
    ]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
              "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": f"r{version}", "limits": limits,
            "listeners": [{"host": HOST, "rules": listed}], "clusters": clusters}


class KeyedBackend(Backend):
    """A backend of a sharded service: grants, releases, 421 without the key.

    It starts again under the id that it had, as the page of ``demands`` allows.
    ``restart`` ends one life and begins the next: it then holds and knows nothing.
    """

    def __init__(self, lab, service, number, zone, work=0.02, slots=4):
        super().__init__(lab, service, number, zone, work, slots)
        self.grants, self.seen, self.busy, self.life = [], [], [], 0
        self.born = 0

    async def start(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self.sequence, self.grants, self.seen, self.busy = 0, [], [], []
        self.state = "ready"
        await super().start()

    async def restart(self, down):
        self.lab.note("crash", backend=self.id, life=self.life)
        self.stop()
        await asyncio.sleep(down)
        await self.start()
        self.lab.note("back", backend=self.id, life=self.life)

    async def beat(self, nodes=None):
        self.sequence += 1
        body = {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "warmupRemainingMs": 0, "sequence": self.sequence, "born": self.born,
        }
        for node in nodes or random.sample(self.beats_at, len(self.beats_at)):
            answer = await call(
                node.control, "POST", f"/-/instances/{self.id}/heartbeat",
                json.dumps(body).encode(),
            )
            if 200 <= answer.status < 300:
                return True
        return False

    async def answer(self, method, target, headers, body, writer):
        request = headers.get("x-dragonflyrock-request-id", "")
        if target == "/-/grant":
            writer.write(encode(f"HTTP/1.1 {self.grant(json.loads(body))} x", self.echo(request)))
            return
        if target == "/-/release":
            order = json.loads(body)
            low, high = order["from"], order["to"]
            self.grants = cut(self.grants, low, high)
            while any(low <= key <= high for key in self.busy):
                await asyncio.sleep(0.005)
            token = {PREFIX + "Handover": f"{random.randrange(16**16):016x}"}
            writer.write(encode("HTTP/1.1 200 x", {**self.echo(request), **token}))
            return
        key = int(headers.get("x-dragonflyrock-shard-key", "0"))
        if not self.holds(key):
            writer.write(self.refuse(headers, 421))
            return
        self.busy.append(key)
        try:
            await self.work_on(request, target, headers, body, writer)
        finally:
            if key in self.busy:
                self.busy.remove(key)

    async def work_on(self, request, target, headers, body, writer):
        await super().answer("POST", target, headers, body, writer)

    def echo(self, request):
        return {PREFIX + "Request-Id": request, PREFIX + "Instance-Id": self.id}

    def holds(self, key):
        now = time.monotonic()
        return any(low <= key <= high and until > now for low, high, _, until in self.grants)

    def grant(self, order):
        """Take a grant unless a higher fence was seen on one of its keys."""
        low, high, fence = order["from"], order["to"], order["fence"]
        if any(a <= high and low <= b and seen > fence for a, b, seen in self.seen):
            return 409
        self.seen.append((low, high, fence))
        until = time.monotonic() + order["holdMs"] / 1000
        self.grants = [*cut(self.grants, low, high), (low, high, fence, until)]
        self.lab.note("grant", backend=self.id, life=self.life, low=low, high=high, fence=fence)
        return 200


def cut(grants, low, high):
    """Return grants without the keys from ``low`` to ``high``."""
    kept = []
    for a, b, fence, until in grants:
        if b < low or high < a:
            kept.append((a, b, fence, until))
            continue
        if a < low:
            kept.append((a, low - 1, fence, until))
        if high < b:
            kept.append((high + 1, b, fence, until))
    return kept


def run(main, limit=110):
    """Run a case: ``main(trouble)`` returns why the rule was broken, or nothing."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bound():
        # A case that is ended from outside ends its processes too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(main(trouble), limit)

    try:
        broken = asyncio.run(bound())
    except (Exception, asyncio.CancelledError) as error:
        # Also a fault of the script itself: only a broken rule may exit with 1.
        print(f"could not run: {error!r}")
        sys.exit(2)
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
