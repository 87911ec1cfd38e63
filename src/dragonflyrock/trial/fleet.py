"""A fleet of daemons and stand-ins as processes on loopback."""

from __future__ import annotations

import hashlib
import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Final

from ..errors import DragonflyrockError
from .caller import Caller
from .history import JournalEntry
from .plans import (
    CALLERS_OFFSET,
    OPERATORS_OFFSET,
    PLATFORM_OFFSET,
    FleetPlan,
    ServicePlan,
    write_settings,
)
from .relays import Relays

__all__ = ["OPERATOR_TOKEN", "Fleet", "FleetPlan", "Process"]

OPERATOR_TOKEN: Final = "operator-token-of-a-trial"
STANDIN_OFFSET: Final = 400
WAIT_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.05
END_SECONDS: Final = 40.0


class Process:
    """A process that this fleet started, ended only by its own id."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        """Start it, with its output in a log file."""
        self.name = name
        self._arguments = arguments
        self._log = log
        self._process = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        """Start the process."""
        with self._log.open("ab") as output:
            return subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.poll() is None

    @property
    def pid(self) -> int:
        """Return the process's id."""
        return self._process.pid

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self._process.send_signal(number)

    def freeze(self) -> None:
        """Stop the process where it is."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process at once."""
        if self.running:
            self.signal(signal.SIGKILL)
        self._process.wait()

    def terminate(self, timeout: float = END_SECONDS) -> int:
        """Ask the process to end and return its status."""
        if self.running:
            self.signal(signal.SIGTERM)
        return self._process.wait(timeout)

    def restart(self) -> None:
        """Start the ended process again."""
        self.kill()
        self._process = self._start()


class Fleet:
    """Daemons and stand-ins under one folder."""

    def __init__(
        self, plan: FleetPlan, folder: Path, *, cuttable: bool = False
    ) -> None:
        """Write the settings; nothing is started yet.

        With ``cuttable``, each direction of each link runs through a relay.
        """
        self.plan = plan
        self.relays = Relays(plan) if cuttable else None
        self.folder = folder
        self.hosts: dict[str, Process] = {}
        self.servers: dict[str, Process] = {}
        self._next_server_port = plan.first_port + STANDIN_OFFSET
        folder.mkdir(parents=True, exist_ok=True)
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        for number in range(plan.hosts):
            text = write_settings(plan, number, str(folder), digest)
            if self.relays is not None:
                text = self.relays.redirect(text, number)
            self.settings_path(plan.host_name(number)).write_text(text)

    def settings_path(self, host: str) -> Path:
        """Return a host's settings file."""
        return self.folder / f"{host}.toml"

    # Starting

    def start_hosts(self) -> None:
        """Start every daemon."""
        for number in range(self.plan.hosts):
            self.start_host(self.plan.host_name(number))

    def start_host(self, name: str) -> None:
        """Start one daemon."""
        self.hosts[name] = Process(
            name,
            ["dragonflyrock.daemon", str(self.settings_path(name))],
            self.folder / f"{name}.log",
        )

    def start_servers(self) -> None:
        """Start every backend server."""
        for service in self.plan.services:
            for number in range(service.servers):
                self.start_server(service, f"{service.name}-{number + 1}")

    def start_server(
        self, service: ServicePlan, name: str, *extra: str, platforms: int = 3
    ) -> None:
        """Start one backend server that knows a few platform ports."""
        number = self._next_server_port - self.plan.first_port
        zone = self.plan.zones[number % len(self.plan.zones)]
        known = [
            self.platform_address((number + i) % self.plan.hosts)
            for i in range(min(platforms, self.plan.hosts))
        ]
        arguments = [
            "dragonflyrock.standin.main",
            name,
            service.name,
            f"127.0.0.1:{self._next_server_port}",
            ",".join(known),
            f"--zone={zone}",
            f"--slots={self.plan.slots}",
            f"--service-ms={self.plan.service_ms}",
            f"--journal={self.folder / f'{name}.journal'}",
        ]
        if not service.checks_grants:
            arguments.append("--unchecked")
        self._next_server_port += 1
        log = self.folder / f"{name}.log"
        self.servers[name] = Process(name, arguments + list(extra), log)

    def close(self) -> None:
        """End every process."""
        for process in [*self.servers.values(), *self.hosts.values()]:
            process.kill()
        if self.relays is not None:
            self.relays.close()

    # Addresses

    def callers_address(self, number: int) -> str:
        """Return the callers' port of a host, counted from 0."""
        return self.plan.address(number, CALLERS_OFFSET)

    def platform_address(self, number: int) -> str:
        """Return the platform port of a host."""
        return self.plan.address(number, PLATFORM_OFFSET)

    def operators_address(self, number: int) -> str:
        """Return the operators' port of a host."""
        return self.plan.address(number, OPERATORS_OFFSET)

    def make_caller(self, token: str, number: int = 0) -> Caller:
        """Return a caller of a host."""
        return Caller(self.callers_address(number), token)

    # Operators

    def call_operators(
        self, method: str, path: str, body: object = None, host: int = 0
    ) -> Any:
        """Call a host's operators' port; return status and decoded answer."""
        request = urllib.request.Request(
            f"http://{self.operators_address(host)}{path}",
            json.dumps(body).encode() if body is not None else None,
            {"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            method=method,
        )
        try:
            with urllib.request.urlopen(request, timeout=8) as answer:
                return json.loads(answer.read())
        except urllib.error.HTTPError as error:
            return json.loads(error.read())

    def put_contract(
        self,
        customer: str,
        token: str,
        *,
        version: int = 0,
        change_id: str = "",
        host: int = 0,
        **limits: Any,
    ) -> Any:
        """Create or change a contract with wide limits, unless given otherwise."""
        contract = {
            "customer": customer,
            "token_sha256": [hashlib.sha256(token.encode()).hexdigest()],
            "services": [service.name for service in self.plan.services],
            "requests_per_second": 100_000.0,
            "burst_requests": 100_000,
            "concurrent_requests": 10_000,
            "body_bytes": 1_000_000,
            "deadline_ms": 10_000,
            "retry_percent": 20.0,
        } | limits
        body = {
            "change_id": change_id or f"{customer}-{version}-{os.urandom(4).hex()}",
            "operator": "trial",
            "expected_version": version,
            "contract": contract,
        }
        return self.call_operators("PUT", f"/contracts/{customer}", body, host)

    # Waiting

    def wait_for(
        self, what: str, condition: Callable[[], Any], timeout: float = WAIT_SECONDS
    ) -> Any:
        """Wait until a condition is true and return its value."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            try:
                value = condition()
            except (OSError, KeyError, ValueError):
                value = None
            if value:
                return value
            time.sleep(POLL_SECONDS)
        raise DragonflyrockError(f"not within {timeout} s: {what}", step="wait")

    def wait_ready(self) -> None:
        """Wait until every range has an owner and all hosts hold leases."""
        self.wait_for("all ranges owned on all hosts", self._is_ready)

    def _is_ready(self) -> bool:
        """Return whether the system is complete."""
        status = self.call_operators("GET", "/status")
        owners = {server["service"] for server in status["servers"] if server["ranges"]}
        services = {service.name for service in self.plan.services if service.servers}
        hosts = sum(process.running for process in self.hosts.values())
        settled = not status["unowned"] and not status["moving"]
        if not settled or owners != services or len(status["hosts"]) < hosts:
            return False
        return all(host["revision"] >= status["revision"] for host in status["hosts"])

    def read_journals(self) -> Iterator[JournalEntry]:
        """Yield the journals of all stand-ins, each in its own order."""
        for path in sorted(self.folder.glob("*.journal")):
            for line in path.read_text().splitlines():
                yield JournalEntry(**json.loads(line))
