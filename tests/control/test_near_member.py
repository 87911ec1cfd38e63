"""A follower that gives rows to hosts of its zone while it hears its leader."""

from __future__ import annotations

from pathlib import Path
from random import Random

from dragonflyrock.consensus import Entry, EntryKind, Timing, open_group
from dragonflyrock.consensus.models import AppendRequest
from dragonflyrock.control import calls
from dragonflyrock.control import commands as c
from dragonflyrock.control.directed_models import DirectedTiming
from dragonflyrock.control.member import CONTROL_GROUP, ControlMember, MemberConfig
from dragonflyrock.control.near import LEADER_TIMEOUT_SECONDS
from dragonflyrock.control.state import ControlState
from dragonflyrock.control.tables import LeaderTiming
from dragonflyrock.models import HostRecord
from dragonflyrock.observe import EventRing, HybridClock
from dragonflyrock.observe.metrics import Metrics
from dragonflyrock.routes import RouteDocument, RoutedService
from dragonflyrock.transport.consensus import CONSENSUS
from dragonflyrock.transport.messages import (
    CallAnswer,
    CallRequest,
    ConsensusMessage,
    HostRenew,
    HostsNear,
    HostUpdate,
    LinkMessage,
    ServeNear,
)

HOST = HostRecord("host", 1, "a", "", "")


class Follower:
    """A member that follows a leader played by the test."""

    def __init__(self, folder: Path) -> None:
        """Start at second 10 with an empty log."""
        self.now = 10.0
        self.sent: list[tuple[str, LinkMessage]] = []
        self.index = 0
        self.state = ControlState()
        timing = Timing(election_min=90.0, election_max=99.0)
        self.group = open_group(
            CONTROL_GROUP, "me", folder, (), timing, Random(1), self.state, self.now
        )
        self.member = ControlMember(
            MemberConfig("me", {}, LeaderTiming(), DirectedTiming(), "a"),
            {CONTROL_GROUP: self.group},
            self.state,
            EventRing("me", HybridClock(lambda: self.now)),
            Metrics(),
            lambda peer, message: self.sent.append((peer, message)),
            lambda task: task(),
            lambda: self.now,
        )

    def hear(self, *commands: c.Command) -> None:
        """Have the leader append committed commands, or just speak."""
        entries = tuple(
            Entry(self.index + n, 1, EntryKind.COMMAND, c.COMMANDS.encode(command))
            for n, command in enumerate(commands, 1)
        )
        last = self.index + len(entries)
        request = AppendRequest(
            1, self.index, 1 if self.index else 0, entries, last, self.now
        )
        self.index = last
        body = CONSENSUS.encode(request)
        message = ConsensusMessage(CONTROL_GROUP, "id", "", body)
        self.member.receive_consensus("leader", message, self.now)
        self.member.confirm_near_report(self.now)
        self.member.flush(self.now)

    def beat(self) -> None:
        """Have the leader send a heartbeat, but take no report."""
        confirmed = self.member.confirm_near_report
        self.member.confirm_near_report = lambda now: None  # type: ignore[method-assign]
        self.hear()
        self.member.confirm_near_report = confirmed  # type: ignore[method-assign]

    def pass_time(self, seconds: float) -> None:
        """Let time pass in small steps."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.member.tick(self.now)
            self.member.flush(self.now)

    def renew(self) -> None:
        """Have the host renew here."""
        revision = 0
        for update in self.updates():
            revision = max(revision, update.delta.revision)
        renew = HostRenew(HOST, self.now, revision, (), (), 0, self.now)
        self.member.receive_near_renewal("host", renew, self.now)

    def updates(self) -> list[HostUpdate]:
        """Return the updates that were sent to the host."""
        return [message for _, message in self.sent if isinstance(message, HostUpdate)]


class Leader:
    """The only voter of a group."""

    def __init__(self, folder: Path) -> None:
        """Start, and lead."""
        self.now = 10.0
        self.sent: list[LinkMessage] = []
        state = ControlState()
        group = open_group(
            CONTROL_GROUP, "me", folder, ("me",), Timing(), Random(1), state, self.now
        )
        self.member = ControlMember(
            MemberConfig("me", {}, LeaderTiming(), DirectedTiming(), "a"),
            {CONTROL_GROUP: group},
            state,
            EventRing("me", HybridClock(lambda: self.now)),
            Metrics(),
            lambda _, message: self.sent.append(message),
            lambda task: task(),
            lambda: self.now,
        )
        self.pass_time()

    def pass_time(self) -> None:
        """Let two seconds pass."""
        for _ in range(40):
            self.now += 0.05
            self.member.tick(self.now)
            self.member.flush(self.now)

    def ask(self, call: object) -> object:
        """Return the answer to a call."""
        self.sent.clear()
        request = CallRequest(1, CONTROL_GROUP, calls.CALLS.encode(call))
        self.member.receive_call("other", request, self.now)
        self.pass_time()
        answers = [message for message in self.sent if isinstance(message, CallAnswer)]
        return calls.CALLS.decode(answers[0].body)

    def put(self, version: int) -> None:
        """Have a change of the document committed."""
        command = c.COMMANDS.encode(change(version))
        request = CallRequest(
            1, CONTROL_GROUP, calls.CALLS.encode(calls.Propose(command))
        )
        self.member.receive_call("other", request, self.now)
        self.pass_time()


def change(version: int) -> c.PutRoutes:
    """Return a change of the document."""
    services = (RoutedService("s", "/health", 100 + version, True, 0.0),)
    document = RouteDocument(version, (), services)
    return c.PutRoutes(version - 1, f"change {version}", document)


def test_a_committed_change_goes_to_the_hosts_of_the_zone(tmp_path: Path) -> None:
    """Rows that wait for a renewal would be in force up to 0.7 s late."""
    follower = Follower(tmp_path)
    follower.hear(c.RegisterHost(HOST), change(1))
    follower.renew()
    assert follower.updates()[-1].lease_ms
    assert follower.updates()[-1].delta.services
    follower.hear(change(2))
    pushed = follower.updates()[-1]
    assert pushed.delta.document is not None
    assert pushed.delta.document.version == 2


def test_a_follower_that_hears_no_leader_lets_its_hosts_go(tmp_path: Path) -> None:
    """Cut off from the leader, it would keep hosts from a change for good."""
    follower = Follower(tmp_path)
    follower.hear(c.RegisterHost(HOST), change(1))
    follower.renew()
    follower.pass_time(LEADER_TIMEOUT_SECONDS - 0.1)
    assert ("host", ServeNear("")) not in follower.sent
    follower.pass_time(0.2)
    assert follower.sent.count(("host", ServeNear(""))) == 1
    follower.sent.clear()
    follower.renew()
    assert [peer for peer, _ in follower.sent] == ["leader"]
    assert isinstance(follower.sent[0][1], HostRenew)


def test_a_leader_without_its_quorum_keeps_no_hosts_at_a_follower(
    tmp_path: Path,
) -> None:
    """Cut off together they kept a host from a change for 2.3 s; the bound is 2 s."""
    follower = Follower(tmp_path)
    follower.hear(c.RegisterHost(HOST), change(1))
    follower.renew()
    for _ in range(10):
        follower.pass_time(0.1)
        follower.beat()
    assert ("host", ServeNear("")) in follower.sent


def test_a_follower_that_stops_hands_its_hosts_over_first(tmp_path: Path) -> None:
    """They would find out after a renewal without an answer, and be sent back here."""
    follower = Follower(tmp_path)
    follower.hear(c.RegisterHost(HOST), change(1))
    follower.renew()
    follower.member.hand_over(follower.now)
    assert ("host", ServeNear("")) in follower.sent
    assert ("leader", HostsNear("")) in follower.sent
    follower.sent.clear()
    follower.renew()
    follower.pass_time(0.5)
    assert [type(message) for _, message in follower.sent] == [HostRenew]


def test_a_follower_tells_its_zone_before_it_has_hosts(tmp_path: Path) -> None:
    """A leader that did not know of it would serve every host itself."""
    follower = Follower(tmp_path)
    follower.hear()
    follower.pass_time(0.1)
    reports = [
        message for _, message in follower.sent if isinstance(message, HostsNear)
    ]
    assert [report.zone for report in reports] == ["a"]


def test_a_document_that_the_reader_has_does_not_travel(tmp_path: Path) -> None:
    """Each read of 1,400 routes by an operator crossed the zones whole."""
    leader = Leader(tmp_path)
    leader.put(1)
    leader.put(2)
    assert leader.ask(calls.ReadRoutes(2)) == calls.RoutesUnchanged()
    for known in (0, 1):
        answer = leader.ask(calls.ReadRoutes(known))
        assert isinstance(answer, RouteDocument)
        assert answer.version == 2
