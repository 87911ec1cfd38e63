"""Daemons and stand-in backend servers as processes on loopback."""

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
    CALLERS_PORT_OFFSET,
    OPERATORS_PORT_OFFSET,
    PLATFORM_PORT_OFFSET,
    FleetPlan,
    ServicePlan,
    format_settings,
)
from .relays import Relays

__all__ = ["OPERATOR_TOKEN", "Fleet", "FleetPlan", "Process"]

OPERATOR_TOKEN: Final = "operator-token-of-a-trial"
STANDIN_PORT_OFFSET: Final = 400
WAIT_TIMEOUT_SECONDS: Final = 30.0
POLL_INTERVAL_SECONDS: Final = 0.05
TERMINATE_TIMEOUT_SECONDS: Final = 40.0


class Process:
    """A Python module run as a child process, signalled only by its process id."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        """Start the process; its output is appended to a log file."""
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
        """Return whether the process is running."""
        return self._process.poll() is None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def freeze(self) -> None:
        """Pause the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.running:
            self.send_signal(signal.SIGKILL)
        self._process.wait()

    def terminate(self, timeout: float = TERMINATE_TIMEOUT_SECONDS) -> int:
        """Ask the process to end; return its exit status.

        Raise ``subprocess.TimeoutExpired`` after ``timeout`` seconds.
        """
        if self.running:
            self.send_signal(signal.SIGTERM)
        return self._process.wait(timeout)

    def restart(self) -> None:
        """Kill the process if it runs, and start it again."""
        self.kill()
        self._process = self._start()


class Fleet:
    """Daemons and stand-ins whose files are in one folder."""

    def __init__(
        self,
        plan: FleetPlan,
        folder: Path,
        *,
        with_relays: bool = False,
        data_folder: Path | None = None,
    ) -> None:
        """Write the settings of every host; no process is started.

        The hosts' data folders are in ``data_folder``, or else beside their logs.
        With ``with_relays``, each direction of each link runs through a relay that
        can be cut or slowed.
        """
        self.plan = plan
        self.relays = Relays(plan) if with_relays else None
        self.folder = folder
        self.data_folder = data_folder or folder
        self.hosts: dict[str, Process] = {}
        self.servers: dict[str, Process] = {}
        self._next_server_port = plan.first_port + STANDIN_PORT_OFFSET
        folder.mkdir(parents=True, exist_ok=True)
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        for number in range(plan.hosts):
            text = format_settings(plan, number, str(self.data_folder), digest)
            if self.relays is not None:
                text = self.relays.redirect(text, number)
            self.settings_path(plan.host_name(number)).write_text(text)

    def settings_path(self, host: str) -> Path:
        """Return the path of a host's settings file."""
        return self.folder / f"{host}.toml"

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
        """Start one backend server that announces itself at up to ``platforms`` hosts.

        ``extra`` are further arguments of the stand-in's command line.
        """
        number = self._next_server_port - self.plan.first_port
        zone = self.plan.zones[number % len(self.plan.zones)]
        addresses = [
            self.platform_address((number + i) % self.plan.hosts)
            for i in range(min(platforms, self.plan.hosts))
        ]
        arguments = [
            "dragonflyrock.standin.main",
            name,
            service.name,
            f"127.0.0.1:{self._next_server_port}",
            ",".join(addresses),
            f"--zone={zone}",
            f"--slots={self.plan.slots}",
            f"--service-ms={self.plan.service_ms}",
            f"--journal={self.folder / f'{name}.journal'}",
        ]
        if not service.checks_grants:
            arguments.append("--unchecked")
        if service.by_heartbeat:
            arguments.append("--without-pushes")
        if service.loses_answers:
            arguments.append("--lose-answers")
        self._next_server_port += 1
        log = self.folder / f"{name}.log"
        self.servers[name] = Process(name, arguments + list(extra), log)

    def close(self) -> None:
        """Kill every process and close the relays."""
        for process in [*self.servers.values(), *self.hosts.values()]:
            process.kill()
        if self.relays is not None:
            self.relays.close()

    def callers_address(self, number: int) -> str:
        """Return the address of a host's callers' port; hosts count from 0."""
        return self.plan.address(number, CALLERS_PORT_OFFSET)

    def platform_address(self, number: int) -> str:
        """Return the address of a host's platform port."""
        return self.plan.address(number, PLATFORM_PORT_OFFSET)

    def operators_address(self, number: int) -> str:
        """Return the address of a host's operators' port."""
        return self.plan.address(number, OPERATORS_PORT_OFFSET)

    def make_caller(self, token: str, number: int = 0) -> Caller:
        """Return a new caller of a host."""
        return Caller(self.callers_address(number), token)

    def call_operators(
        self, method: str, path: str, body: object = None, host: int = 0
    ) -> Any:
        """Call a host's operators' port; return the decoded response or refusal."""
        request = urllib.request.Request(
            f"http://{self.operators_address(host)}{path}",
            json.dumps(body).encode() if body is not None else None,
            {"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            method=method,
        )
        try:
            with urllib.request.urlopen(request, timeout=8) as response:
                return json.loads(response.read())
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
        """Create or change a contract; ``limits`` replace its wide default limits."""
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

    def wait_for(
        self,
        what: str,
        condition: Callable[[], Any],
        timeout: float = WAIT_TIMEOUT_SECONDS,
    ) -> Any:
        """Wait until a condition returns a true value, and return that value.

        Connection errors and incomplete responses count as false. Raise
        ``DragonflyrockError`` after ``timeout`` seconds.
        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                value = condition()
            except (OSError, KeyError, ValueError):
                value = None
            if value:
                return value
            time.sleep(POLL_INTERVAL_SECONDS)
        raise DragonflyrockError(f"timed out after {timeout} s: {what}", step="wait")

    def wait_ready(self) -> None:
        """Wait until all ranges are owned and all running hosts are up to date."""
        self.wait_for("all ranges owned on all hosts", self._is_ready)

    def _is_ready(self) -> bool:
        """Return whether all ranges are owned, and whether hosts are up to date.

        Each running host must hold a lease and have applied the latest revision.
        """
        status = self.call_operators("GET", "/status")
        owning_services = {
            server["service"] for server in status["servers"] if server["ranges"]
        }
        services = {service.name for service in self.plan.services if service.servers}
        running_hosts = sum(process.running for process in self.hosts.values())
        all_owned = not status["unowned"] and not status["moving"]
        if (
            not all_owned
            or owning_services != services
            or len(status["hosts"]) < running_hosts
        ):
            return False
        return all(host["revision"] >= status["revision"] for host in status["hosts"])

    def read_journals(self) -> Iterator[JournalEntry]:
        """Yield the entries of all stand-ins' journals, one journal after the other."""
        for path in sorted(self.folder.glob("*.journal")):
            for line in path.read_text().splitlines():
                yield JournalEntry(**json.loads(line))
