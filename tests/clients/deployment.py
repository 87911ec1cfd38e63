"""A small deployment on loopback: one control node, one entry node and one server.

The machines are small, by the settings of the nodes, so that a small crowd suffices.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

from dragonflyrock.http import (
    HttpServer,
    Request,
    Response,
    WireLimits,
    find_header,
    make_response,
)
from dragonflyrock.platform import names
from soak import wire
from tests.common import free_port

__all__ = [
    "MAX_BODY_BYTES",
    "ROUTES",
    "Deployment",
    "Machine",
    "Node",
    "run",
]

# The size of the machines, and the limit of a body that operators set.
MEMORY_MB: Final = 96
MAX_FDS: Final = 160
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
# The answer to /large/; that to any other path is short.
LARGE_ANSWER_BYTES: Final = 1_000_000
IP: Final = "127.0.0.1"
PROGRAM: Final = Path(__file__).resolve().parents[2] / "deploy" / "node.py"
ROUTES: Final = (
    wire.RouteSpec("short", "/short/", True, wire.PLAIN_SERVICE),
    wire.RouteSpec("large", "/large/", True, wire.PLAIN_SERVICE),
    wire.RouteSpec("put", "/put/", False, wire.PLAIN_SERVICE),
)
HEARTBEAT_SECONDS: Final = 0.5
POLL_SECONDS: Final = 0.05
# Only ends a test that would hang.
TEST_TIMEOUT_SECONDS: Final = 120.0


class Machine(NamedTuple):
    """The size of a node's machine, as its settings say; 0 says nothing."""

    memory_mb: int = MEMORY_MB
    max_fds: int = MAX_FDS


SMALL_MACHINE: Final = Machine()


class Usage(NamedTuple):
    """What a process uses: its peak memory so far, and its descriptors now."""

    peak_mb: float
    fds: int


class Node:
    """The process of a node."""

    def __init__(self, folder: Path, role: str, seed: str, machine: Machine) -> None:
        """Write the settings; ``seed`` is the address of the control node."""
        self.role = role
        self.machine = machine
        self.address = seed if role == "control" else f"{IP}:{free_port()}"
        self.relay = f"{IP}:{free_port()}"
        self.ready = f"{IP}:{free_port()}"
        self.metrics = f"{IP}:{free_port()}"
        link_ip = IP if role == "control" else "127.0.0.2"
        self.link = f"{link_ip}:{folder_port(folder)}"
        self._log = folder / f"{role}.log"
        self._settings = folder / f"{role}.toml"
        self._process: asyncio.subprocess.Process | None = None
        lines = [
            f'seeds = ["{seed}"]',
            "[machine]",
            f"memory_mb = {machine.memory_mb}",
            f"max_fds = {machine.max_fds}",
            "[node]",
            f'name = "{link_ip}"',
            f'label = "{role}-1"',
            f'role = "{role}"',
            'availability_zone = "zone-a"',
        ]
        if role == "control":
            lines += ["forming = true", f'data_folder = "{folder / "data"}"']
        lines += ["[listen]", f'link = "{self.link}"', f'metrics = "{self.metrics}"']
        if role == "control":
            lines += [f'control = "{self.address}"']
        else:
            lines += [f'callers = "{self.address}"', f'relay = "{self.relay}"']
            lines += [f'ready = "{self.ready}"']
        self._settings.write_text("\n".join(lines) + "\n")

    async def start(self) -> None:
        """Start the process."""
        environment = {
            names.SETTINGS_VARIABLE: str(self._settings),
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        with self._log.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, str(PROGRAM), env=environment, stdout=output, stderr=2
            )

    async def stop(self) -> None:
        """Kill the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    @property
    def is_alive(self) -> bool:
        """Return whether the process that was started still runs."""
        return self._process is not None and self._process.returncode is None

    def read_usage(self) -> Usage:
        """Return what the process uses; its memory without what it never touched."""
        assert self._process is not None
        folder = Path(f"/proc/{self._process.pid}")
        status = (folder / "status").read_text().splitlines()
        peak_kb = next(int(row.split()[1]) for row in status if row[:6] == "VmHWM:")
        return Usage(peak_kb / 1024, len(list((folder / "fd").iterdir())))

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace")


_ports: dict[Path, int] = {}


def folder_port(folder: Path) -> int:
    """Return the link port of a deployment, which all of its nodes have."""
    if folder not in _ports:
        _ports[folder] = free_port()
    return _ports[folder]


class Deployment:
    """The nodes, and a stand-in server in this process."""

    def __init__(
        self,
        folder: Path,
        entry_machine: Machine = SMALL_MACHINE,
        max_body_bytes: int = MAX_BODY_BYTES,
        routes: Sequence[wire.RouteSpec] = ROUTES,
    ) -> None:
        """Prepare the nodes, and a configuration with the limit of bodies."""
        seed = f"{IP}:{free_port()}"
        self.control = Node(folder, "control", seed, SMALL_MACHINE)
        self.entry = Node(folder, "entry", seed, entry_machine)
        self._max_body_bytes = max_body_bytes
        self._routes = tuple(routes)
        self.server_address = f"{IP}:{free_port()}"
        self.arrivals = 0
        self.received_bytes: list[int] = []
        self._server = HttpServer(self._answer, WireLimits())
        self._heartbeats: asyncio.Task[None] | None = None
        self._ids = itertools.count()

    async def start(self) -> None:
        """Start everything, and wait until an ordinary request is answered."""
        await self.control.start()
        await self.entry.start()
        await self._server.start(self.server_address)
        config = json.loads(wire.encode_config(1, self._routes))
        config["limits"]["maxBodyBytes"] = self._max_body_bytes
        body = json.dumps(config).encode()
        path = names.CONFIG_PUT_PATH
        await self._wait_for(lambda: self._put(path, body), "the configuration")
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        await self.wait_for_answer()

    async def _put(self, path: str, body: bytes) -> bool:
        """Put the first configuration; return whether it was accepted."""
        response = await wire.call(self.control.address, "POST", path, body, 0)
        return response is not None and response.status == 200

    @staticmethod
    async def _wait_for(attempt: Callable[[], Awaitable[bool]], what: str) -> None:
        """Repeat an attempt until it succeeds."""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not await attempt():
                await asyncio.sleep(POLL_SECONDS)

    async def close(self) -> None:
        """End everything."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        self._server.close()
        await self.entry.stop()
        await self.control.stop()

    async def _send_heartbeats(self) -> None:
        """Announce the server."""
        path = wire.make_announcement_path("server-1", "heartbeat")
        for sequence in itertools.count(1):
            body = wire.encode_heartbeat(
                wire.PLAIN_SERVICE,
                self.server_address,
                "zone-a",
                "ready",
                sequence,
                {},
            )
            await wire.call(self.control.address, "POST", path, body)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _answer(self, request: Request) -> Response:
        """Answer as the server."""
        if request.target != wire.HEALTH_PATH:
            self.arrivals += 1
            self.received_bytes.append(len(request.body))
        is_large = request.target.startswith(b"/large/")
        body = b"x" * (LARGE_ANSWER_BYTES if is_large else 100)
        headers: list[tuple[bytes, bytes]] = [
            (wire.HEADER_NAMES.signature, wire.make_signature(body)),
            (wire.HEADER_NAMES.server_name, b"server-1"),
        ]
        echoed = find_header(request.headers, wire.HEADER_NAMES.request_id)
        if echoed is not None:
            headers.append((wire.HEADER_NAMES.request_id, echoed))
        return make_response(200, body, tuple(headers))

    async def send_request(
        self, method: str = "GET", path: str = "/short/x", body: bytes = b""
    ) -> int:
        """Send an ordinary request on a new connection; return its status or 0."""
        request_id = f"ordinary-{next(self._ids)}"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {wire.HOST}\r\n"
            f"X-Dragonflyrock-Request-Id: {request_id}\r\n"
            "X-Dragonflyrock-Deadline-Ms: 5000\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        host, _, port = self.entry.address.rpartition(":")
        try:
            async with asyncio.timeout(6):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head.encode() + body)
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return 0
        return int(answer.split()[1]) if answer else 0

    async def wait_for_answer(self) -> None:
        """Wait until an ordinary request is answered by the server."""
        await self._wait_for(self._is_answered, "an answer")

    async def _is_answered(self) -> bool:
        """Return whether an ordinary request is answered."""
        return await self.send_request() == 200


def run(
    deployment: Deployment, scenario: Callable[[Deployment], Awaitable[Any]]
) -> None:
    """Run a scenario with a new deployment."""

    async def run_scenario() -> None:
        try:
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await deployment.start()
                await scenario(deployment)
        finally:
            await deployment.close()

    asyncio.run(run_scenario())
