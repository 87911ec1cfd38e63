"""Scenarios: scripts of failures that drive real daemons; see docs/SCENARIOS.md."""

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
    ChangeRecord,
    History,
    PlannedStop,
    Violation,
    check_history,
)
from .plans import SINGLE, FleetPlan, ServicePlan

__all__ = [
    "ScenarioError",
    "ScenarioResult",
    "ScenarioVoidError",
    "parse_scenario",
    "run_scenario",
]

GRAMMAR: Final = r"""
start: _NL* fleet statement+
fleet: "fleet" "hosts" INT "voters" INT "servers" INT [UNCHECKED] _NL
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
TOKEN: Final = "scenario-token"
KEYS: Final = 40
CALL_DEADLINE_MS: Final = 8000
STOP_GRACE_SECONDS: Final = 2.0
SETTLE_SECONDS: Final = 1.0


class ScenarioError(DragonflyrockError):
    """A script that does not parse, or an expectation that was not met."""


class ScenarioVoidError(ScenarioError):
    """A run in which a daemon stood still though the script did not ask for it."""


class ScenarioResult(NamedTuple):
    """How a scenario went."""

    calls: int
    failed: int
    longest_outage_seconds: float
    violations: list[Violation]


class Script(NamedTuple):
    """A parsed script."""

    plan: FleetPlan
    statements: list[lark.Tree[lark.Token]]


def parse_scenario(text: str, first_port: int) -> Script:
    """Return a parsed script, or raise ``ScenarioError`` with the place."""
    parser = lark.Lark(GRAMMAR, parser="earley")
    try:
        tree = parser.parse(text.rstrip() + "\n")
    except lark.exceptions.UnexpectedInput as error:
        raise ScenarioError(f"line {error.line}: {error}", step="parse") from error
    fleet = tree.children[0]
    assert isinstance(fleet, lark.Tree)
    hosts, voters, servers, unchecked = fleet.children
    service = ServicePlan(SERVICE, int(str(servers)), 32, checks_grants=not unchecked)
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
    text: str, folder: Path, first_port: int, seed: int = 1
) -> ScenarioResult:
    """Run a script and check its history."""
    script = parse_scenario(text, first_port)
    run = _Run(script.plan, folder, seed)
    try:
        run.start()
        for statement in script.statements:
            run.carry_out(statement)
        return run.finish()
    except DragonflyrockError as error:
        detail = f"{error}\nseed {seed}\n{text}\n{run.describe()}"
        if run.has_stalled():
            raise ScenarioVoidError(detail, step="stalled") from error
        raise ScenarioError(detail, step=error.step) from error
    finally:
        run.close()


def _is_served(caller: Caller) -> bool:
    """Return whether a caller is known and served."""
    return caller.call("GET", f"/{SERVICE}/k").status == 200


class _Run:
    """A running scenario."""

    def __init__(self, plan: FleetPlan, folder: Path, seed: int) -> None:
        """Prepare the fleet."""
        self._fleet = Fleet(plan, folder, with_relays=True)
        self._random = random.Random(seed)
        self._history = History()
        self._loading = threading.Event()
        self._threads: list[threading.Thread] = []
        self._version = 0
        self._first_call = 0
        self._tokens = 0

    def start(self) -> None:
        """Start everything and put a contract."""
        self._fleet.start_hosts()
        self._fleet.start_servers()
        self._fleet.wait_ready()
        self._put_contract()
        for number in range(self._fleet.plan.hosts):
            caller = self._fleet.make_caller(TOKEN, number)
            self._fleet.wait_for("contract", partial(_is_served, caller))

    def close(self) -> None:
        """End everything."""
        self._quiet()
        self._fleet.close()

    def finish(self) -> ScenarioResult:
        """Let what is under way end, and check the history."""
        self._quiet()
        time.sleep(SETTLE_SECONDS)
        self._history.journal = list(self._fleet.read_journals())
        row = self._ask("GET", f"/contracts/{CUSTOMER}")["contracts"][0]
        held = (row["version"], row["contract"]["requests_per_second"])
        violations = check_history(self._history, STOP_GRACE_SECONDS, held)
        calls = self._history.calls
        failed = sum(call.status != 200 for call in calls)
        return ScenarioResult(len(calls), failed, self._find_unavailable(), violations)

    def describe(self) -> str:
        """Return the merged events of all hosts that answer."""
        lines = []
        for number in range(self._fleet.plan.hosts):
            try:
                events = self._fleet.call_operators(
                    "GET", "/events?limit=200", host=number
                )
                lines += [str(event) for event in events["events"]]
            except (OSError, ValueError):
                lines.append(f"host {number} has no events")
        return "\n".join(sorted(lines))

    def has_stalled(self) -> bool:
        """Return whether a daemon's log tells of a stall."""
        logs = self._fleet.folder.glob("host-*.log")
        return any(" stalled: " in log.read_text() for log in logs)

    # Statements

    def carry_out(self, statement: lark.Tree[lark.Token]) -> None:
        """Carry out one statement."""
        words = [str(word) if word is not None else "" for word in statement.children]
        match str(statement.data), words:
            case "load", [count, posts]:
                self._load(int(count), bool(posts))
            case "quiet", []:
                self._quiet()
            case "wait", [seconds]:
                time.sleep(float(seconds))
            case "freeze", [name]:
                self._process(name).freeze()
            case "thaw", [name]:
                self._process(name).thaw()
            case "kill", [name]:
                self._process(name).kill()
            case "restart", [name]:
                self._process(name).restart()
            case "wipe", [name]:
                self._wipe(name)
            case "stop", [name]:
                status = self._process(name).terminate()
                self._expect(status == 0, f"{name} ended with status {status}")
            case "cut", [source, target]:
                self._relays.cut(self._number(source), self._number(target))
            case "isolate", [name]:
                self._isolate(self._number(name))
            case "slow", [name, seconds]:
                self._slow(self._number(name), float(seconds))
            case "heal", []:
                self._relays.heal()
            case "plan_stop", [name]:
                self._plan_stop(name)
            case "put", [count]:
                for _ in range(int(count)):
                    self._put_contract()
            case "repair", [name]:
                self._repair(name)
            case "post", [key, token, host, status]:
                self._post(key, token, int(host), int(status))
            case "crash", [key]:
                self._crash(key)
            case _:
                self._check(str(statement.data), words)

    def _check(self, kind: str, words: list[str]) -> None:
        """Carry out an expectation."""
        match kind, words:
            case "unavailable", [seconds]:
                found = self._find_unavailable()
                self._expect(found <= float(seconds), f"unavailable for {found:.2f} s")
            case "failed", [count]:
                calls = self._history.calls[self._first_call :]
                bad = [call for call in calls if call.status != 200]
                seen = {(call.status, call.outcome, call.reason) for call in bad}
                self._expect(len(bad) <= int(count), f"{len(bad)} failed: {seen}")
            case "ready", []:
                self._fleet.wait_for("ready", self._is_ready)
            case "leader", []:
                self._fleet.wait_for("leader", lambda: self._ask("GET", "/status"))
            case "lost", [count]:
                lost = [p for p in self._fleet.servers.values() if not p.running]
                names = [process.name for process in lost]
                self._expect(len(names) <= int(count), f"servers lost: {names}")
            case _:
                raise ScenarioError(f"no statement {kind}", step="run")

    @staticmethod
    def _expect(met: object, detail: str) -> None:
        """Raise unless an expectation is met."""
        if not met:
            raise ScenarioError(detail, step="expect")

    # Hosts and servers

    @property
    def _relays(self) -> Any:
        """Return the relays."""
        return self._fleet.relays

    def _number(self, name: str) -> int:
        """Return a host's number; ``leader`` is the present one."""
        if name == "leader":
            name = self._ask("GET", "/status")["leader"]
        return int(name.partition("-")[2]) - 1

    def _process(self, name: str) -> Any:
        """Return the process of a host or a server."""
        if name.startswith("server-"):
            return self._fleet.servers[f"{SERVICE}-{name.partition('-')[2]}"]
        return self._fleet.hosts[f"host-{self._number(name) + 1}"]

    def _wipe(self, name: str) -> None:
        """Kill a voter and remove its data."""
        process = self._process(name)
        process.kill()
        for path in sorted((self._fleet.folder / process.name).rglob("*")):
            if path.is_file():
                path.unlink()

    def _isolate(self, number: int) -> None:
        """Cut a host off from all others, silently."""
        for other in range(self._fleet.plan.hosts):
            self._relays.cut(number, other)
            self._relays.cut(other, number)

    def _slow(self, number: int, seconds: float) -> None:
        """Slow the links of a host down, in each direction."""
        for other in range(self._fleet.plan.hosts):
            self._relays.slow(number, other, seconds)
            self._relays.slow(other, number, seconds)

    def _repair(self, name: str) -> None:
        """Replace a wiped voter that runs again, until it votes."""
        for method in ("DELETE", "PUT"):
            self._change_member(method, name)
        self._fleet.wait_for("voter", lambda: name in self._voters())

    def _change_member(self, method: str, name: str) -> None:
        """Remove or add a member, once no other change is under way."""
        path = f"/members/{name}"

        def is_begun() -> bool:
            return "log_index" in self._ask(method, path)

        self._fleet.wait_for(f"{method} {name}", is_begun)

    def _voters(self) -> list[str]:
        """Return the names of the voters."""
        members = self._ask("GET", "/status")["members"]
        roles = ("voter", "leader")
        return [member["name"] for member in members if member["role"] in roles]

    def _is_ready(self) -> bool:
        """Return whether every range has a live owner and nothing moves."""
        status = self._ask("GET", "/status")
        lost = [s for s in status["servers"] if s["state"] != "ready" and s["ranges"]]
        return not (lost or status["moving"] or status["unowned"])

    def _ask(self, method: str, path: str, body: object = None) -> Any:
        """Call the operators' port of the first host that gives an answer."""
        for number in range(self._fleet.plan.hosts):
            if not self._fleet.hosts[f"host-{number + 1}"].running:
                continue
            try:
                answer = self._fleet.call_operators(method, path, body, number)
            except OSError:
                continue
            if answer.get("reason") != "no-leader":
                return answer
        return {}

    def _plan_stop(self, name: str) -> None:
        """Plan the stop of a server."""
        server = f"{SERVICE}-{name.partition('-')[2]}"
        change = {"change_id": f"stop-{server}", "operator": "scenario"}
        answer = self._ask("PUT", f"/stops/{server}", change)
        self._expect("revision" in answer, f"the stop was refused: {answer}")
        self._history.stops.append(PlannedStop(server, time.monotonic()))

    def _put_contract(self) -> None:
        """Change the contract, and send the change again until it is answered."""
        version = self._version
        value = 100_000.0 + version
        contract = {
            "customer": CUSTOMER,
            "token_sha256": [hashlib.sha256(TOKEN.encode()).hexdigest()],
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
        answer = self._fleet.wait_for(
            "contract", lambda: self._ask("PUT", f"/contracts/{CUSTOMER}", body)
        )
        self._expect("version" in answer, f"the contract was refused: {answer}")
        self._version = answer["version"]
        self._history.changes.append(
            ChangeRecord(CUSTOMER, answer["version"], value, time.monotonic())
        )

    # Calls

    def _load(self, callers: int, posts: bool) -> None:
        """Call from some threads until quiet."""
        self._first_call = len(self._history.calls)
        self._loading.set()
        for number in range(callers):
            thread = threading.Thread(target=self._call_on, args=(number, posts))
            self._threads.append(thread)
            thread.start()

    def _quiet(self) -> None:
        """End the calls."""
        self._loading.clear()
        for thread in self._threads:
            thread.join()
        self._threads.clear()

    def _call_on(self, number: int, posts: bool) -> None:
        """Call random keys, by another host after a refused connection."""
        chosen = random.Random(self._random.random())
        host = number % self._fleet.plan.hosts
        caller = self._fleet.make_caller(TOKEN, host)
        count = 0
        while self._loading.is_set():
            count += 1
            key = f"key-{chosen.randrange(KEYS)}"
            token = f"token-{number}-{count}" if posts else ""
            for _ in range(3):
                result = self._send(caller, host, key, token)
                if result.status == 200 or not self._loading.is_set():
                    break
                caller.close()
                host = self._next_host(host)
                caller = self._fleet.make_caller(TOKEN, host)
        caller.close()

    def _next_host(self, host: int) -> int:
        """Return the next host that a balancer would choose."""
        for _ in range(self._fleet.plan.hosts):
            host = (host + 1) % self._fleet.plan.hosts
            if self._fleet.hosts[f"host-{host + 1}"].running:
                return host
        return host

    def _send(self, caller: Caller, host: int, key: str, token: str) -> CallResult:
        """Send one attempt and record it."""
        method = "POST" if token else "GET"
        headers = {"Idempotency-Key": token} if token else {}
        path = f"/{SERVICE}/{key}"
        result = caller.call(method, path, token.encode(), headers)
        if result.status == 0 and not self._fleet.hosts[f"host-{host + 1}"].running:
            # The balancer would not have chosen a host that is gone.
            return result
        self._history.add_call(
            CallRecord(
                method,
                SERVICE,
                key,
                host,
                token,
                result.status,
                result.outcome,
                result.reason,
                result.body,
                result.sent_at,
                result.ended_at,
            )
        )
        return result

    def _post(self, key: str, token: str, host: int, status: int) -> None:
        """Send one booking and expect a status."""
        caller = self._fleet.make_caller(TOKEN, host - 1)
        result = self._send(caller, host - 1, key, token)
        caller.close()
        seen = f"{result.status} {result.outcome} {result.reason}"
        self._expect(result.status == status, f"{token} got {seen}")

    def _crash(self, key: str) -> None:
        """Send a request that crashes its server until it is refused."""
        for _ in range(10):
            host = self._next_host(self._random.randrange(self._fleet.plan.hosts))
            caller = self._fleet.make_caller(TOKEN, host)
            result = caller.call("POST", f"/{SERVICE}/{key}", b"crash-server")
            caller.close()
            if result.reason == "quarantined":
                return
        self._expect(False, "the request was never quarantined")

    def _find_unavailable(self) -> float:
        """Return the longest time for which a caller of a key was not served."""
        longest = 0.0
        served: dict[str, float] = {}
        calls = sorted(
            self._history.calls[self._first_call :], key=lambda call: call.ended_at
        )
        for call in calls:
            since = min(served.get(call.key, call.sent_at), call.sent_at)
            if call.status == 200:
                longest = max(longest, call.ended_at - call.sent_at)
                served.pop(call.key, None)
            else:
                served[call.key] = since
                longest = max(longest, call.ended_at - since)
        return longest
