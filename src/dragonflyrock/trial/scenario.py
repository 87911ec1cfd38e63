"""Scenarios: scripts of failures on real daemons; see docs/SCENARIOS.md."""

from __future__ import annotations

import hashlib
import random
import threading
import time
from functools import partial
from pathlib import Path
from typing import Any, Final, NamedTuple

import lark

from ..errors import DragonflyrockError
from .caller import Caller, CallResult
from .fleet import Fleet
from .history import (
    CallRecord,
    ContractChange,
    History,
    PlannedStop,
    Violation,
    check_history,
    measure_longest_outage,
)
from .plans import SINGLE, FleetPlan, ServicePlan

__all__ = [
    "ScenarioError",
    "ScenarioResult",
    "ScenarioStalledError",
    "parse_scenario",
    "run_scenario",
]

GRAMMAR: Final = r"""
start: _NL* fleet statement+
fleet: "fleet" "hosts" INT "voters" INT "servers" INT _options _NL
_options: [UNCHECKED] [BY_HEARTBEAT] [LOST_ANSWERS]
statement: "load" INT "callers" [POSTS]          _NL -> load
    | "quiet"                                     _NL -> quiet
    | "wait" NUMBER "s"                           _NL -> wait
    | "freeze" NAME                               _NL -> freeze
    | "return" NAME                               _NL -> thaw
    | "kill" NAME                                 _NL -> kill
    | "restart" NAME                              _NL -> restart
    | "wipe" NAME                                 _NL -> wipe
    | "stop" NAME                                 _NL -> stop
    | "cut" NAME "from" NAME                      _NL -> cut
    | "isolate" NAME                              _NL -> isolate
    | "slow" NAME "by" NUMBER "s"                 _NL -> slow
    | "heal"                                      _NL -> heal
    | "plan" "stop" NAME                          _NL -> plan_stop
    | "put" "contract" INT "times"                _NL -> put
    | "repair" NAME                               _NL -> repair
    | "post" KEY TOKEN "by" "host" INT "expect" INT _NL -> post
    | "crash" KEY "until" "quarantined"           _NL -> crash
    | "expect" "unavailable" "at" "most" NUMBER "s" _NL -> unavailable
    | "expect" "failed" "at" "most" INT           _NL -> failed
    | "expect" "ready"                            _NL -> ready
    | "expect" "leader"                           _NL -> leader
    | "expect" "lost" "servers" INT               _NL -> lost
POSTS: "with posts"
UNCHECKED: "unchecked"
BY_HEARTBEAT: "by heartbeat"
LOST_ANSWERS: "with lost answers"
NAME: /(leader|host-\d+|server-\d+)/
KEY: /key-[a-z0-9]+/
TOKEN: /token-[a-z0-9]+/
COMMENT: /#[^\n]*/
%import common.INT
%import common.NUMBER
%import common.NEWLINE -> _NL
%import common.WS_INLINE
%ignore WS_INLINE
%ignore COMMENT
"""

SERVICE: Final = "finder"
CUSTOMER: Final = "scenario"
CUSTOMER_TOKEN: Final = "scenario-token"
KEY_COUNT: Final = 40
CALL_DEADLINE_MS: Final = 8000
STOP_GRACE_SECONDS: Final = 2.0
SETTLE_SECONDS: Final = 1.0


class ScenarioError(DragonflyrockError):
    """A script that does not parse, or a statement of it that failed."""


class ScenarioStalledError(ScenarioError):
    """A failed run in which a daemon stalled although the script did not pause it.

    The machine was then too busy, so the failure proves nothing.
    """


class ScenarioResult(NamedTuple):
    """The outcome of a scenario.

    ``calls`` and ``failed`` count attempts of calls; those that got no status 200
    have failed. The outage is the longest one of any key since the last load began.
    """

    calls: int
    failed: int
    longest_outage_seconds: float
    violations: list[Violation]


class Script(NamedTuple):
    """A parsed script: the fleet and the statements to execute."""

    plan: FleetPlan
    statements: list[lark.Tree[lark.Token]]


def parse_scenario(text: str, first_port: int) -> Script:
    """Return a parsed script; raise ``ScenarioError`` with the line of an error."""
    parser = lark.Lark(GRAMMAR, parser="earley")
    try:
        tree = parser.parse(text.rstrip() + "\n")
    except lark.exceptions.UnexpectedInput as error:
        raise ScenarioError(f"line {error.line}: {error}", step="parse") from error
    fleet = tree.children[0]
    assert isinstance(fleet, lark.Tree)
    hosts, voters, servers, unchecked, by_heartbeat, lost_answers = fleet.children
    service = ServicePlan(
        SERVICE,
        int(str(servers)),
        32,
        checks_grants=not unchecked,
        by_heartbeat=bool(by_heartbeat),
        loses_answers=bool(lost_answers),
    )
    plan = SINGLE._replace(
        name="scenario",
        zones=("host",),
        hosts=int(str(hosts)),
        voters=int(str(voters)),
        services=(service,),
        first_port=first_port,
    )
    return Script(plan, [s for s in tree.children[1:] if isinstance(s, lark.Tree)])


def run_scenario(
    text: str,
    folder: Path,
    first_port: int,
    seed: int = 1,
    data_folder: Path | None = None,
) -> ScenarioResult:
    """Run a script and return its result, with the history checked.

    The hosts' data folders are in ``data_folder``, or else in ``folder``.
    Raise ``ScenarioError`` if a statement fails, or ``ScenarioStalledError`` if a
    daemon also logged a stall.
    """
    script = parse_scenario(text, first_port)
    run = _ScenarioRun(script.plan, folder, seed, data_folder)
    try:
        run.start()
        for statement in script.statements:
            run.execute(statement)
        return run.finish()
    except DragonflyrockError as error:
        detail = f"{error}\nseed {seed}\n{text}\n{run.describe()}"
        if run.has_stalled():
            raise ScenarioStalledError(detail, step="stalled") from error
        raise ScenarioError(detail, step=error.step) from error
    finally:
        run.close()


def _can_call(caller: Caller) -> bool:
    """Return whether a call succeeds, so that the contract is in force."""
    return caller.call("GET", f"/{SERVICE}/k").status == 200


class _ScenarioRun:
    """A run of a scenario on a fleet."""

    def __init__(
        self,
        plan: FleetPlan,
        folder: Path,
        seed: int,
        data_folder: Path | None = None,
    ) -> None:
        """Prepare the fleet; ``seed`` decides which keys and hosts are called."""
        self._fleet = Fleet(plan, folder, with_relays=True, data_folder=data_folder)
        self._random = random.Random(seed)
        self._history = History()
        self._load_active = threading.Event()
        self._threads: list[threading.Thread] = []
        self._version = 0
        self._load_start_index = 0
        self._restarted: set[str] = set()

    def start(self) -> None:
        """Start the fleet, put a contract, and wait until all hosts have applied it."""
        self._fleet.start_hosts()
        self._fleet.start_servers()
        self._fleet.wait_ready()
        self._put_contract()
        for number in range(self._fleet.plan.hosts):
            caller = self._fleet.make_caller(CUSTOMER_TOKEN, number)
            self._fleet.wait_for("contract", partial(_can_call, caller))

    def close(self) -> None:
        """Stop the load and the fleet."""
        self._stop_load()
        self._fleet.close()

    def finish(self) -> ScenarioResult:
        """Stop the load, wait for running requests, and check the history."""
        self._stop_load()
        time.sleep(SETTLE_SECONDS)
        self._history.journal = list(self._fleet.read_journals())
        row = self._call_operators("GET", f"/contracts/{CUSTOMER}")["contracts"][0]
        in_force = (row["version"], row["contract"]["requests_per_second"])
        violations = check_history(self._history, STOP_GRACE_SECONDS, in_force)
        calls = self._history.calls
        failed = sum(call.status != 200 for call in calls)
        return ScenarioResult(len(calls), failed, self._measure_outage(), violations)

    def describe(self) -> str:
        """Return the latest events of all hosts that respond, sorted."""
        lines = []
        for number in range(self._fleet.plan.hosts):
            try:
                events = self._fleet.call_operators(
                    "GET", "/events?limit=200", host=number
                )
                lines += [str(event) for event in events["events"]]
            except (OSError, ValueError):
                lines.append(f"cannot read events of host {number}")
        return "\n".join(sorted(lines))

    def has_stalled(self) -> bool:
        """Return whether a daemon has logged a stall."""
        logs = self._fleet.folder.glob("host-*.log")
        return any(" stalled: " in log.read_text() for log in logs)

    def execute(self, statement: lark.Tree[lark.Token]) -> None:
        """Execute one statement."""
        arguments = [
            str(child) if child is not None else "" for child in statement.children
        ]
        match str(statement.data), arguments:
            case "load", [count, posts]:
                self._start_load(int(count), bool(posts))
            case "quiet", []:
                self._stop_load()
            case "wait", [seconds]:
                time.sleep(float(seconds))
            case "freeze", [name]:
                self._get_process(name).freeze()
            case "thaw", [name]:
                self._get_process(name).thaw()
            case "kill", [name]:
                self._get_process(name).kill()
            case "restart", [name]:
                self._get_process(name).restart()
                self._restarted.add(name)
            case "wipe", [name]:
                self._wipe(name)
            case "stop", [name]:
                status = self._get_process(name).terminate()
                self._expect(status == 0, f"{name} ended with status {status}")
            case "cut", [source, target]:
                self._relays.cut(
                    self._get_host_number(source), self._get_host_number(target)
                )
            case "isolate", [name]:
                self._isolate(self._get_host_number(name))
            case "slow", [name, seconds]:
                self._slow(self._get_host_number(name), float(seconds))
            case "heal", []:
                self._relays.heal()
            case "plan_stop", [name]:
                self._plan_stop(name)
            case "put", [count]:
                for _ in range(int(count)):
                    self._put_contract()
            case "repair", [name]:
                self._repair(name)
            case "post", [key, idempotency_key, host, status]:
                self._post(key, idempotency_key, int(host), int(status))
            case "crash", [key]:
                self._crash_until_quarantined(key)
            case _:
                self._check_expectation(str(statement.data), arguments)

    def _check_expectation(self, kind: str, arguments: list[str]) -> None:
        """Check one expectation."""
        match kind, arguments:
            case "unavailable", [seconds]:
                outage = self._measure_outage()
                self._expect(
                    outage <= float(seconds), f"unavailable for {outage:.2f} s"
                )
            case "failed", [count]:
                calls = self._history.calls[self._load_start_index :]
                failures = [call for call in calls if call.status != 200]
                causes = {(call.status, call.outcome, call.reason) for call in failures}
                self._expect(
                    len(failures) <= int(count), f"{len(failures)} failed: {causes}"
                )
            case "ready", []:
                self._fleet.wait_for("ready", self._is_ready)
            case "leader", []:
                self._fleet.wait_for(
                    "leader", lambda: self._call_operators("GET", "/status")
                )
            case "lost", [count]:
                lost = [p for p in self._fleet.servers.values() if not p.running]
                names = [process.name for process in lost]
                self._expect(len(names) <= int(count), f"servers lost: {names}")
            case _:
                raise ScenarioError(f"unknown statement {kind}", step="run")

    @staticmethod
    def _expect(met: object, detail: str) -> None:
        """Raise ``ScenarioError`` unless an expectation is met."""
        if not met:
            raise ScenarioError(detail, step="expect")

    @property
    def _relays(self) -> Any:
        """Return the fleet's relays."""
        return self._fleet.relays

    def _get_host_number(self, name: str) -> int:
        """Return a host's number, counted from 0; ``leader`` is the current leader."""
        if name == "leader":
            name = self._call_operators("GET", "/status")["leader"]
        return int(name.partition("-")[2]) - 1

    def _get_process(self, name: str) -> Any:
        """Return the process of a host or a backend server."""
        if name.startswith("server-"):
            return self._fleet.servers[f"{SERVICE}-{name.partition('-')[2]}"]
        return self._fleet.hosts[f"host-{self._get_host_number(name) + 1}"]

    def _wipe(self, name: str) -> None:
        """Kill a voter and delete its data."""
        process = self._get_process(name)
        process.kill()
        for path in sorted((self._fleet.data_folder / process.name).rglob("*")):
            if path.is_file():
                path.unlink()

    def _isolate(self, number: int) -> None:
        """Cut both directions between a host and all others."""
        for other in range(self._fleet.plan.hosts):
            self._relays.cut(number, other)
            self._relays.cut(other, number)

    def _slow(self, number: int, seconds: float) -> None:
        """Delay the links of a host in both directions."""
        for other in range(self._fleet.plan.hosts):
            self._relays.slow(number, other, seconds)
            self._relays.slow(other, number, seconds)

    def _repair(self, name: str) -> None:
        """Remove a wiped voter that runs again, add it, and wait until it votes."""
        for method in ("DELETE", "PUT"):
            self._change_member(method, name)
        self._fleet.wait_for("voter", lambda: name in self._list_voters())

    def _change_member(self, method: str, name: str) -> None:
        """Remove or add a member; retry while another change is in progress."""
        path = f"/members/{name}"

        def is_accepted() -> bool:
            return "log_index" in self._call_operators(method, path)

        self._fleet.wait_for(f"{method} {name}", is_accepted)

    def _list_voters(self) -> list[str]:
        """Return the names of the voters."""
        members = self._call_operators("GET", "/status")["members"]
        roles = ("voter", "leader")
        return [member["name"] for member in members if member["role"] in roles]

    def _is_ready(self) -> bool:
        """Return whether every range has a ready owner and none is moving.

        Hosts that were restarted must answer too: the others serve without them.
        """
        if not all(self._answers(host) for host in self._restarted):
            return False
        status = self._call_operators("GET", "/status")
        not_ready = [
            s for s in status["servers"] if s["state"] != "ready" and s["ranges"]
        ]
        return not (not_ready or status["moving"] or status["unowned"])

    def _answers(self, name: str) -> bool:
        """Return whether a host answers its operators' port; True if it is stopped."""
        host = self._fleet.hosts.get(name)
        if host is None or not host.running:
            return True
        number = int(name.partition("-")[2]) - 1
        try:
            self._fleet.call_operators("GET", "/status", host=number)
        except OSError:
            return False
        return True

    def _call_operators(self, method: str, path: str, body: object = None) -> Any:
        """Return the response of the first running host that has a leader, or {}."""
        for number in range(self._fleet.plan.hosts):
            if not self._fleet.hosts[f"host-{number + 1}"].running:
                continue
            try:
                response = self._fleet.call_operators(method, path, body, number)
            except OSError:
                continue
            if response.get("reason") != "no-leader":
                return response
        return {}

    def _plan_stop(self, name: str) -> None:
        """Plan the stop of a server and record its acceptance."""
        server = f"{SERVICE}-{name.partition('-')[2]}"
        change = {"change_id": f"stop-{server}", "operator": "scenario"}
        response = self._call_operators("PUT", f"/stops/{server}", change)
        self._expect("revision" in response, f"the stop was refused: {response}")
        self._history.stops.append(PlannedStop(server, time.monotonic()))

    def _put_contract(self) -> None:
        """Change the contract; retry the change until there is a response."""
        version = self._version
        value = 100_000.0 + version
        contract = {
            "customer": CUSTOMER,
            "token_sha256": [hashlib.sha256(CUSTOMER_TOKEN.encode()).hexdigest()],
            "services": [SERVICE],
            "requests_per_second": value,
            "burst_requests": 100_000,
            "concurrent_requests": 10_000,
            "body_bytes": 100_000,
            "deadline_ms": CALL_DEADLINE_MS,
            "retry_percent": 20.0,
        }
        body = {
            "change_id": f"change-{version}",
            "operator": "scenario",
            "expected_version": version,
            "contract": contract,
        }
        response = self._fleet.wait_for(
            "contract",
            lambda: self._call_operators("PUT", f"/contracts/{CUSTOMER}", body),
        )
        self._expect("version" in response, f"the contract was refused: {response}")
        self._version = response["version"]
        self._history.changes.append(
            ContractChange(CUSTOMER, response["version"], value, time.monotonic())
        )

    def _start_load(self, callers: int, posts: bool) -> None:
        """Start threads that call until the load is stopped."""
        self._load_start_index = len(self._history.calls)
        self._load_active.set()
        for number in range(callers):
            thread = threading.Thread(
                target=self._call_until_stopped, args=(number, posts)
            )
            self._threads.append(thread)
            thread.start()

    def _stop_load(self) -> None:
        """Stop the calls and wait for their threads."""
        self._load_active.clear()
        for thread in self._threads:
            thread.join()
        self._threads.clear()

    def _call_until_stopped(self, number: int, posts: bool) -> None:
        """Call random keys until the load is stopped.

        A failed call is retried through the next host, up to three attempts.
        """
        generator = random.Random(self._random.random())
        host = number % self._fleet.plan.hosts
        caller = self._fleet.make_caller(CUSTOMER_TOKEN, host)
        count = 0
        while self._load_active.is_set():
            count += 1
            key = f"key-{generator.randrange(KEY_COUNT)}"
            idempotency_key = f"token-{number}-{count}" if posts else ""
            for _ in range(3):
                result = self._send(caller, host, key, idempotency_key)
                if result.status == 200 or not self._load_active.is_set():
                    break
                caller.close()
                host = self._choose_next_host(host)
                caller = self._fleet.make_caller(CUSTOMER_TOKEN, host)
        caller.close()

    def _choose_next_host(self, host: int) -> int:
        """Return the next running host, as a load balancer would choose."""
        for _ in range(self._fleet.plan.hosts):
            host = (host + 1) % self._fleet.plan.hosts
            if self._fleet.hosts[f"host-{host + 1}"].running:
                return host
        return host

    def _send(
        self, caller: Caller, host: int, key: str, idempotency_key: str
    ) -> CallResult:
        """Send one attempt and record it."""
        method = "POST" if idempotency_key else "GET"
        headers = {"Idempotency-Key": idempotency_key} if idempotency_key else {}
        path = f"/{SERVICE}/{key}"
        result = caller.call(method, path, idempotency_key.encode(), headers)
        if result.status == 0 and not self._fleet.hosts[f"host-{host + 1}"].running:
            # A load balancer would not have chosen a host that has stopped.
            return result
        self._history.add_call(
            CallRecord(
                method,
                SERVICE,
                key,
                host,
                idempotency_key,
                result.status,
                result.outcome,
                result.reason,
                result.body,
                result.sent_at,
                result.ended_at,
            )
        )
        return result

    def _post(self, key: str, idempotency_key: str, host: int, status: int) -> None:
        """Send a POST with an idempotency key to a host and expect a status."""
        caller = self._fleet.make_caller(CUSTOMER_TOKEN, host - 1)
        result = self._send(caller, host - 1, key, idempotency_key)
        caller.close()
        actual = f"{result.status} {result.outcome} {result.reason}"
        self._expect(result.status == status, f"{idempotency_key} got {actual}")

    def _crash_until_quarantined(self, key: str) -> None:
        """Send a request that crashes its server until it is quarantined."""
        for _ in range(10):
            host = self._choose_next_host(
                self._random.randrange(self._fleet.plan.hosts)
            )
            caller = self._fleet.make_caller(CUSTOMER_TOKEN, host)
            result = caller.call("POST", f"/{SERVICE}/{key}", b"crash-server")
            caller.close()
            if result.reason == "quarantined":
                return
        self._expect(False, "the request was never quarantined")

    def _measure_outage(self) -> float:
        """Return the longest outage of a key in seconds since the load began."""
        return measure_longest_outage(self._history.calls[self._load_start_index :])
