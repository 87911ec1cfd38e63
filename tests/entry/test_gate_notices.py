"""Tests of servers that leave or ask for a pause, on the product's own port."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest
from urllib3.connection import HTTPConnection

from dragonflyrock.entry.forward import Forwarder, ServerRequest, ServerResponse
from dragonflyrock.entry.gate import (
    LEAVING_GRACE_SECONDS,
    MOVE_LIMIT_SECONDS,
    Gate,
    InFlightRequest,
)
from dragonflyrock.entry.notices import ServerNotices
from dragonflyrock.entry.server_rates import ServerRateAgent
from dragonflyrock.errors import Outcome, Reason, Refusal
from dragonflyrock.hashing import KEY_SPACE
from dragonflyrock.models import (
    Delta,
    QuarantineRow,
    RangeRow,
    RangeState,
    ServerRow,
)
from dragonflyrock.observe import EventRing, HybridClock
from dragonflyrock.observe.events import EventFilter
from dragonflyrock.tables import LeavingRow, LeavingSource
from dragonflyrock.transport.messages import (
    HostUpdate,
    ServerRateDemand,
    ServerRateGrant,
)

SERVER = ServerRow("one", "s", "127.0.0.1:9", "a", 1, 2, 130, True)


class GateHost:
    """A gate with a lease, whose only server owns all keys."""

    def __init__(self) -> None:
        """Start at second 100 with the server's rows."""
        self.now = 100.0
        self.revision = 0
        self.gate = Gate(lambda: self.now, 1000.0, 10)
        self.leaving: list[LeavingRow] = []
        self.gate.on_leaving = self.leaving.append
        self.turned_away: list[tuple[str, str]] = []
        self.gate.on_turned_away = lambda *args: self.turned_away.append(args)
        self.events = EventRing("host", HybridClock())
        self.notices = ServerNotices(self.gate, self.events)
        self.apply(SERVER)

    def apply(self, server: ServerRow) -> None:
        """Send the gate the rows of the server."""
        self.revision += 1
        top, state = KEY_SPACE - 1, RangeState.ACTIVE
        row = RangeRow("s", 0, top, server.holder, 1, state, "", self.revision)
        delta = Delta(0, self.revision, True, (row,), (server,))
        self.gate.apply(HostUpdate(1, "leader", self.now, 1, delta, 0, None))

    def send(self, peer: str, message: ServerRateDemand | ServerRateGrant) -> None:
        """Deliver a message to this host itself."""
        if isinstance(message, ServerRateDemand):
            self.gate.rates.receive_demand(peer, message)
        else:
            self.gate.rates.receive_grant(peer, message)

    def begin(self) -> InFlightRequest | Refusal | None:
        """Begin a dispatch, or return None if it has to wait."""
        return self.gate.try_begin_dispatch("s", 7, "f", self.now + 5)

    def respond(self, status: int, *headers: tuple[str, str]) -> None:
        """Deliver a response of the server."""
        self.notices.receive(SERVER, ServerResponse(status, headers, b""), self.now)


@pytest.fixture
def host() -> GateHost:
    """Return a host that may dispatch."""
    return GateHost()


# Guards against new work for a server that has said that it leaves, longer than its
# keys need to move.
def test_a_server_that_leaves_gets_nothing_after_the_grace_period(
    host: GateHost,
) -> None:
    host.respond(200, ("X-Server-Leaving", "1"))
    assert isinstance(host.begin(), InFlightRequest)
    assert host.gate.list_leaving_servers() == ("one@1",)
    assert [row.holder for row in host.leaving] == ["one@1"]
    assert host.gate.count_leaving(LeavingSource.RESPONSE) == 1
    host.now += LEAVING_GRACE_SECONDS + 0.1
    host.apply(SERVER)
    assert host.begin() is None
    host.apply(SERVER._replace(incarnation=2))
    assert isinstance(host.begin(), InFlightRequest)


# Guards against requests to a server in the pause that it asked for, and against
# callers that are not told when it ends.
def test_a_server_that_asks_for_a_pause_gets_nothing(host: GateHost) -> None:
    host.respond(503, ("Retry-After", "3"), ("X-Outcome", "not-run"))
    host.now += 1.0
    refusal = host.begin()
    assert isinstance(refusal, Refusal)
    assert (refusal.reason, refusal.retry_after_ms) == (Reason.OVERLOADED, 2000)
    assert host.turned_away == [("s", "paused")]
    assert host.gate.count_paused() == 1
    host.now += 2.1
    first = host.begin()
    assert isinstance(first, InFlightRequest)
    assert host.begin() is None
    host.now += 2.0
    assert isinstance(host.begin(), InFlightRequest)


# Guards against a bad value that is ignored, or closes the server for long.
def test_an_unreadable_pause_is_recorded_and_short(host: GateHost) -> None:
    host.respond(503, ("Retry-After", "soon"))
    assert isinstance(host.begin(), Refusal)
    host.now += 1.1
    assert isinstance(host.begin(), InFlightRequest)
    events = host.events.select(EventFilter(), 10)
    details = [event.detail for event in events if event.kind == "server-paused"]
    assert details == ["1.000 s; Retry-After: not a number of seconds"]


# Guards against callers that wait until their deadlines for a key that does not move,
# as when there is no other server.
def test_a_key_that_does_not_move_is_refused_at_once(host: GateHost) -> None:
    host.respond(200, ("X-Server-Leaving", "1"))
    host.now += LEAVING_GRACE_SECONDS + MOVE_LIMIT_SECONDS + 0.1
    host.apply(SERVER)
    refusal = host.begin()
    assert isinstance(refusal, Refusal)
    assert refusal.reason == Reason.NO_OWNER
    assert refusal.retry_after_ms > 0


# Guards against an owner that gets more on the product's own port than it takes.
def test_an_owner_gets_no_more_than_its_limit(host: GateHost) -> None:
    agent = ServerRateAgent("me", host.gate.tables, lambda: host.now, host.send)
    host.gate.share_limits(agent)
    host.gate.tables.hosts = ("me",)
    host.respond(200, ("X-Server-Limit", "5"))
    begun = 0
    for _ in range(80):
        host.now += 0.05
        agent.tick(host.now)
        first = host.begin()
        result = host.begin() if first is None else first
        if isinstance(result, InFlightRequest):
            begun += 1
            host.gate.end_dispatch(result, may_still_run=False)
        else:
            assert isinstance(result, Refusal)
            assert result.reason == Reason.OVERLOADED
            assert 0 < result.retry_after_ms <= 200
    assert 18 <= begun <= 21
    assert ("s", "limited") in host.turned_away
    host.respond(200)
    results = [host.begin() for _ in range(50)]
    assert all(isinstance(result, InFlightRequest) for result in results)


def forward_after(
    host: GateHost, monkeypatch: pytest.MonkeyPatch, change: Callable[[], None]
) -> tuple[ServerResponse | Refusal, bytes]:
    """Forward a request, and make a change while it connects.

    Return the result and what the server has received.
    """
    ours, theirs = socket.socketpair()
    theirs.setblocking(False)

    def connect(connection: HTTPConnection) -> None:
        """Open the connection after the change."""
        change()
        connection.sock = ours

    monkeypatch.setattr(HTTPConnection, "connect", connect)
    forwarder = Forwarder(lambda: host.now, 1000, recheck=host.gate.recheck)
    in_flight = host.begin()
    assert isinstance(in_flight, InFlightRequest)
    request = ServerRequest("GET", "/s/k", (), b"", "id-1")
    with theirs:
        result = forwarder.forward(in_flight, request)
        host.gate.end_dispatch(in_flight, may_still_run=False)
        try:
            return result, theirs.recv(1000)
        except BlockingIOError:
            return result, b""


# Guards against a request on the product's own port that is sent in the pause which
# its server asked for while it connected.
def test_a_pause_during_the_connect_keeps_a_request_back(
    host: GateHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    result, received = forward_after(
        host, monkeypatch, lambda: host.respond(503, ("Retry-After", "3"))
    )
    assert received == b""
    assert isinstance(result, Refusal)
    assert (result.reason, result.outcome) == (Reason.OVERLOADED, Outcome.NOT_RUN)
    assert result.retry_after_ms == 3000


# Guards against a request to an owner whose grace period ended while it connected.
def test_a_grace_period_that_ends_during_the_connect_keeps_a_request_back(
    host: GateHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    host.respond(200, ("X-Server-Leaving", "1"))

    def advance() -> None:
        """Let the grace period end."""
        host.now += LEAVING_GRACE_SECONDS + 0.1

    result, received = forward_after(host, monkeypatch, advance)
    assert received == b""
    assert isinstance(result, Refusal)
    assert (result.reason, result.outcome) == (Reason.OWNER_LOST, Outcome.NOT_RUN)


# Guards against one more server that a request ends which was put in quarantine while
# it connected.
def test_a_quarantine_during_the_connect_keeps_a_request_back(
    host: GateHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    row = QuarantineRow("f", "", "GET", "/s/k", ("a", "b"), True, 0, 9)

    def quarantine() -> None:
        """Put the request in quarantine."""
        host.gate.tables.quarantines["f"] = row

    result, received = forward_after(host, monkeypatch, quarantine)
    assert received == b""
    assert isinstance(result, Refusal)
    assert (result.reason, result.outcome) == (Reason.QUARANTINED, Outcome.NOT_RUN)
