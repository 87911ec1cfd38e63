"""Suspect requests that several hosts send to one server."""

from __future__ import annotations

import random
from typing import cast

import pytest

from dragonflyrock.clock import read_clock
from dragonflyrock.control import commands as c
from dragonflyrock.control.calls import BeginSuspectRun
from dragonflyrock.control.state import ControlState
from dragonflyrock.control.suspect_runs import SuspectRun, begin_suspect_run
from dragonflyrock.entry.dispatch import Dispatcher
from dragonflyrock.entry.forward import Forwarder, ServerRequest, ServerResponse
from dragonflyrock.entry.gate import Gate, InFlightRequest
from dragonflyrock.entry.request import CallerRequest
from dragonflyrock.errors import Outcome, Reason, Refusal, Step
from dragonflyrock.hashing import KEY_SPACE
from dragonflyrock.models import (
    Contract,
    ContractRow,
    Delta,
    QuarantineRow,
    RangeRow,
    RangeState,
    ServerRow,
)
from dragonflyrock.observe import EventFilter, EventRing, HybridClock
from dragonflyrock.observe.metrics import Metrics
from dragonflyrock.transport.messages import HostUpdate

CONTRACT = ContractRow(
    Contract("clerks", ("t",), ("finder",), 10.0, 5, 5, 100, 1000), 1, "op", 1
)
READ, BOOKING = "read", "booking"


class Hosts:
    """Two hosts of one group: the first sends the read, the second the booking.

    The booking ends each server that runs it. While the first host's read runs on a
    server, the second host sends the booking there; its report of the lost server
    comes after the first host's.
    """

    def __init__(self) -> None:
        """Start two hosts without servers."""
        self.state = ControlState()
        self.runs: dict[str, SuspectRun] = {}
        self.server = 0
        self.lost: list[str] = []
        self.is_reading = False
        self.late_reports: list[c.ReportCrash] = []
        self.events = EventRing("host", HybridClock(), 100)
        self.gates = [self.start_gate(), self.start_gate()]
        self.dispatchers = [self.start_dispatcher(gate) for gate in self.gates]

    def start_gate(self) -> Gate:
        """Return a gate with a lease."""
        return Gate(read_clock, 1000.0, 10)

    def start_dispatcher(self, gate: Gate) -> Dispatcher:
        """Return a dispatcher whose servers are these hosts' own."""
        return Dispatcher(
            gate,
            cast(Forwarder, self),
            self.events,
            Metrics(),
            read_clock,
            random.Random(1),
            self.report_crash,
            lambda request: self.apply(c.ClearSuspect(request.fingerprint)),
            self.begin_run,
            lambda address: True,
        )

    def start_server(self) -> None:
        """Let a new server own all keys, in the tables of both hosts."""
        self.server += 1
        row = ServerRow(f"f{self.server}", "finder", "a:1", "z", 1, 9, 9, True)
        owned = RangeRow(
            "finder", 0, KEY_SPACE - 1, row.holder, 1, RangeState.ACTIVE, "", 1
        )
        for gate in self.gates:
            delta = Delta(0, self.server, True, (owned,), (row,))
            now = read_clock()
            gate.apply(HostUpdate(1, "leader", now, self.server, delta, 0, None))
            gate.tables.quarantines.update(self.state.quarantines)

    def apply(self, command: c.Command) -> None:
        """Commit a command; all hosts have its rows at once."""
        self.state.apply(self.state.revision + 1, c.COMMANDS.encode(command))
        for gate in self.gates:
            gate.tables.quarantines.clear()
            gate.tables.quarantines.update(self.state.quarantines)

    def report_crash(self, request: CallerRequest, holder: str) -> None:
        """Commit the report of a lost server, the booking's after the read's."""
        name = request.fingerprint
        report = c.ReportCrash(name, "clerks", "GET", "/finder/k", holder, 0)
        if self.is_reading:
            self.late_reports.append(report)
            return
        self.apply(report)
        for late in self.late_reports:
            self.apply(late)
        self.late_reports.clear()

    def begin_run(self, request: CallerRequest, holder: str) -> bool:
        """Ask the leader whether a suspect may be sent now."""
        call = BeginSuspectRun(request.fingerprint, holder, 1000)
        return begin_suspect_run(self.runs, self.state.quarantines, call, read_clock())

    def forward(
        self, in_flight: InFlightRequest, request: ServerRequest
    ) -> ServerResponse | Refusal:
        """Run a request; a booking ends the server and every request on it."""
        holder = in_flight.server.holder
        if holder in self.lost:
            return Refusal(Reason.CONNECTION_FAILED, Step.DISPATCH)
        if request.target == BOOKING:
            self.lost.append(holder)
        else:
            self.is_reading = True
            self.send(1, BOOKING)
            self.is_reading = False
        if holder in self.lost:
            return Refusal(
                Reason.CONNECTION_LOST, Step.DISPATCH, "", outcome=Outcome.UNKNOWN
            )
        return ServerResponse(200, (), b"")

    def send(self, host: int, target: str) -> ServerResponse | Refusal:
        """Send a request once through a host."""
        deadline = read_clock() + 0.2
        request = CallerRequest(
            "id", "finder", "k", 7, "GET", target, (), b"", "", False, CONTRACT,
            target, deadline,
        )  # fmt: skip
        return self.dispatchers[host].dispatch(request)


@pytest.fixture
def hosts() -> Hosts:
    """Return two hosts."""
    return Hosts()


def send_to_three_servers(hosts: Hosts) -> None:
    """Send the read and the booking at once, then the booking, three times."""
    for _ in range(3):
        hosts.start_server()
        hosts.send(0, READ)
        hosts.send(1, BOOKING)


# Guards against a third server lost to a request, and a read that is refused for an
# hour, after another host's read ran on the same two servers.
def test_suspects_of_two_hosts_do_not_run_on_one_server_at_a_time(
    hosts: Hosts,
) -> None:
    send_to_three_servers(hosts)
    assert len(hosts.lost) == 2
    assert hosts.state.quarantines[BOOKING].refused
    read = hosts.state.quarantines.get(READ)
    assert read is None or not read.refused


# Guards against a ring of events that holds nothing but one waiting request.
def test_a_suspect_that_waits_is_recorded_once(hosts: Hosts) -> None:
    hosts.start_server()
    for fingerprint in (READ, "other"):
        hosts.apply(c.ReportCrash(fingerprint, "clerks", "GET", "/", "f0@1", 0))
    call = BeginSuspectRun("other", "f1@1", 60_000)
    begin_suspect_run(hosts.runs, hosts.state.quarantines, call, read_clock())
    result = hosts.send(0, READ)
    assert isinstance(result, Refusal)
    assert (result.reason, result.outcome) == (Reason.DEADLINE, Outcome.NOT_RUN)
    events = hosts.events.select(EventFilter(), 100)
    assert [event.kind for event in events].count("suspect-waits") == 1


def make_suspect(fingerprint: str, *holders: str) -> QuarantineRow:
    """Return the row of a suspect."""
    refused = len(holders) > 1
    return QuarantineRow(fingerprint, "clerks", "GET", "/", holders, refused, 0, 1)


# Guards against a server that no suspect may run on any more, after a run that ended in
# one of the ways it can.
@pytest.mark.parametrize(
    ("rows", "now"),
    [
        ([], 1.0),
        ([make_suspect("a", "f1@1", "f2@1")], 1.0),
        ([make_suspect("a", "f2@1")], 1.0),
        ([make_suspect("a", "f1@1")], 9.0),
    ],
    ids=["answered", "quarantined", "server lost", "limit passed"],
)
def test_another_suspect_may_run_once_the_first_run_has_ended(
    rows: list[QuarantineRow], now: float
) -> None:
    runs: dict[str, SuspectRun] = {}
    first, second = (BeginSuspectRun(name, "f2@1", 5000) for name in "ab")
    suspects = {name: make_suspect(name, "f1@1") for name in "ab"}
    assert begin_suspect_run(runs, suspects, first, 0.0)
    assert not begin_suspect_run(runs, suspects, second, 1.0)
    assert begin_suspect_run(runs, suspects, first, 1.0)
    left = {row.fingerprint: row for row in rows}
    assert begin_suspect_run(runs, left, second, now)


# Guards against a run that is kept for as long as a host asks, or a negative time.
@pytest.mark.parametrize("limit_ms", [-5, 10**12])
def test_the_time_of_a_run_is_bounded(limit_ms: int) -> None:
    runs: dict[str, SuspectRun] = {}
    suspects = {name: make_suspect(name, "f1@1") for name in "ab"}
    assert begin_suspect_run(runs, suspects, BeginSuspectRun("a", "x", limit_ms), 0.0)
    assert begin_suspect_run(runs, suspects, BeginSuspectRun("b", "x", 1000), 60.0)
