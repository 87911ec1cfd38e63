"""A follower that sends rows to hosts of its zone while it has a leader."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest

from dragonflyrock.consensus import Entry, EntryKind, Timing, open_group
from dragonflyrock.consensus.log import encode_configuration
from dragonflyrock.consensus.models import AppendRequest, Configuration, Member
from dragonflyrock.consensus.storage import StorageError
from dragonflyrock.control import calls
from dragonflyrock.control import commands as c
from dragonflyrock.control.directed_models import DirectedTiming
from dragonflyrock.control.member import CONTROL_GROUP, ControlMember, MemberConfig
from dragonflyrock.control.near import LEADER_TIMEOUT_SECONDS
from dragonflyrock.control.state import ControlState
from dragonflyrock.control.tables import LeaderTiming
from dragonflyrock.models import HostRecord, ServerRow
from dragonflyrock.observe import EventRing, HybridClock
from dragonflyrock.observe.metrics import Metrics
from dragonflyrock.routes import RouteDocument, RoutedService
from dragonflyrock.transport.consensus import CONSENSUS
from dragonflyrock.transport.messages import (
    CallAnswer,
    CallRequest,
    ConsensusMessage,
    ControlMembers,
    HostRenew,
    HostsNear,
    HostUpdate,
    LeavingServers,
    LinkMessage,
    NearRenew,
    ServeNear,
    ServerLoad,
    ServerLoads,
)

HOST = HostRecord("host", 1, "a", "", "")


class Follower:
    """A member that follows a leader simulated by the test."""

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

    def append(self, *commands: c.Command) -> None:
        """Deliver committed commands of the leader, or an empty request."""
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

    def append_members(self, *names: str) -> None:
        """Deliver a committed configuration of the group."""
        voters = tuple(Member(name, "id") for name in names)
        payload = encode_configuration(Configuration(voters))
        entry = Entry(self.index + 1, 1, EntryKind.CONFIGURATION, payload)
        request = AppendRequest(
            1, self.index, 1 if self.index else 0, (entry,), entry.log_index, self.now
        )
        self.index += 1
        body = CONSENSUS.encode(request)
        message = ConsensusMessage(CONTROL_GROUP, "id", "", body)
        self.member.receive_consensus("leader", message, self.now)
        self.member.flush(self.now)

    def hear_of_commits(self, count: int) -> None:
        """Deliver a request after entries that this member has not received.

        The leader has committed ``count`` entries more.
        """
        last = self.index + count
        request = AppendRequest(1, last, 1, (), last, self.now)
        body = CONSENSUS.encode(request)
        message = ConsensusMessage(CONTROL_GROUP, "id", "", body)
        self.member.receive_consensus("leader", message, self.now)
        self.member.confirm_near_report(self.now)
        self.member.flush(self.now)

    def refuse_writes(self) -> None:
        """Have the disk refuse all writes."""

        def refuse(*args: object) -> None:
            raise StorageError("no space left")

        storage = self.group._storage
        storage.write = refuse  # type: ignore[method-assign, assignment]
        storage.recover = refuse  # type: ignore[method-assign]

    def send_heartbeat(self) -> None:
        """Deliver a heartbeat of the leader without a confirmation of reports."""

        def ignore(now: float, reported_at: float = 0.0) -> None:
            """Confirm nothing."""

        confirmed = self.member.confirm_near_report
        self.member.confirm_near_report = ignore  # type: ignore[method-assign]
        self.append()
        self.member.confirm_near_report = confirmed  # type: ignore[method-assign]

    def pass_time(self, seconds: float) -> None:
        """Advance the clock in small steps."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.member.tick(self.now)
            self.member.flush(self.now)

    def renew(self, *, takes_loads: bool = False) -> None:
        """Deliver a renewal of the host to this member."""
        revision = 0
        for update in self.updates():
            revision = max(revision, update.delta.revision)
        renew = HostRenew(HOST, self.now, revision, (), (), 0, self.now)
        near = NearRenew(renew, takes_loads)
        self.member.receive_near_renewal("host", near, self.now)

    def updates(self) -> list[HostUpdate]:
        """Return the updates that were sent to the host."""
        return [message for _, message in self.sent if isinstance(message, HostUpdate)]


class Leader:
    """A leader that is the only voter of its group."""

    def __init__(self, folder: Path) -> None:
        """Start, and wait until it leads."""
        self.now = 10.0
        self.sent: list[LinkMessage] = []
        self.state = state = ControlState()
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
        """Advance the clock by two seconds."""
        for _ in range(40):
            self.now += 0.05
            self.member.tick(self.now)
            self.member.flush(self.now)

    def call(self, body: object) -> object:
        """Send a call and return its answer."""
        self.sent.clear()
        request = CallRequest(1, CONTROL_GROUP, calls.CALLS.encode(body))
        self.member.receive_call("other", request, self.now)
        self.pass_time()
        answers = [message for message in self.sent if isinstance(message, CallAnswer)]
        return calls.CALLS.decode(answers[0].body)

    def change_document(self, version: int) -> None:
        """Commit a change of the document."""
        command = c.COMMANDS.encode(make_change(version))
        request = CallRequest(
            1, CONTROL_GROUP, calls.CALLS.encode(calls.Propose(command))
        )
        self.member.receive_call("other", request, self.now)
        self.pass_time()


def make_change(version: int) -> c.PutRoutes:
    """Return a change of the document."""
    services = (RoutedService("s", "/health", 100 + version, True, 0.0),)
    document = RouteDocument(version, (), services)
    return c.PutRoutes(version - 1, f"change {version}", document)


# Guards against rows that wait for a renewal and arrive up to 0.7 s late.
def test_a_committed_change_goes_to_the_hosts_of_the_zone(tmp_path: Path) -> None:
    follower = Follower(tmp_path)
    follower.append(c.RegisterHost(HOST), make_change(1))
    follower.renew()
    assert follower.updates()[-1].lease_ms
    assert follower.updates()[-1].delta.services
    follower.append(make_change(2))
    pushed = follower.updates()[-1]
    assert pushed.delta.document is not None
    assert pushed.delta.document.version == 2


# Guards against a follower without a leader whose hosts never get a change.
def test_a_follower_without_a_leader_releases_its_hosts(tmp_path: Path) -> None:
    follower = Follower(tmp_path)
    follower.append(c.RegisterHost(HOST), make_change(1))
    follower.renew()
    follower.pass_time(LEADER_TIMEOUT_SECONDS - 0.1)
    assert ("host", ServeNear("")) not in follower.sent
    follower.pass_time(0.2)
    assert follower.sent.count(("host", ServeNear(""))) == 1
    follower.sent.clear()
    follower.renew()
    assert [peer for peer, _ in follower.sent] == ["leader"]
    assert isinstance(follower.sent[0][1], HostRenew)


# Guards against a leader and a follower that are cut off together: their host got a
# change 2.3 s late, and the limit is 2 s.
def test_a_leader_without_its_quorum_leaves_no_hosts_at_a_follower(
    tmp_path: Path,
) -> None:
    follower = Follower(tmp_path)
    follower.append(c.RegisterHost(HOST), make_change(1))
    follower.renew()
    for _ in range(10):
        follower.pass_time(0.1)
        follower.send_heartbeat()
    assert ("host", ServeNear("")) in follower.sent


# Guards against a follower that resumes after a pause, or starts again, and takes the
# answer to an earlier report for a sign that its leader has a quorum now.
@pytest.mark.parametrize("reported_at", [10.1, 9.0, 5000.0])
def test_an_answer_to_an_earlier_report_does_not_confirm_the_rows(
    tmp_path: Path, reported_at: float
) -> None:
    follower = Follower(tmp_path)
    follower.append(c.RegisterHost(HOST), make_change(1))
    follower.renew()
    for _ in range(10):
        follower.pass_time(0.1)
        follower.send_heartbeat()
        follower.member.confirm_near_report(follower.now, reported_at)
    assert ("host", ServeNear("")) in follower.sent


# Guards against a leader whose answer does not say which report it answers.
def test_a_leader_repeats_the_time_of_a_report(tmp_path: Path) -> None:
    leader = Leader(tmp_path)
    leader.member.receive_near_report("other", HostsNear("b", sent_at=3.5), leader.now)
    assert leader.sent[-1] == ServeNear("other", 3.5)
    follower = Follower(tmp_path / "follower")
    follower.append()
    follower.member.tick(follower.now)
    reports = [sent for _, sent in follower.sent if isinstance(sent, HostsNear)]
    assert [report.sent_at for report in reports] == [follower.now]


def _fall_behind_by_disk(follower: Follower) -> None:
    """Have the leader commit a change that the follower's disk refuses."""
    follower.refuse_writes()
    follower.append(make_change(2))


def _fall_behind_by_version(follower: Follower) -> None:
    """Have the leader commit a command that only a newer build knows."""
    entry = Entry(follower.index + 1, 1, EntryKind.COMMAND, b"\x92\xa3New\x90")
    request = AppendRequest(
        1, follower.index, 1, (entry,), entry.log_index, follower.now
    )
    follower.index += 1
    body = CONSENSUS.encode(request)
    message = ConsensusMessage(CONTROL_GROUP, "id", "", body)
    follower.member.receive_consensus("leader", message, follower.now)
    follower.member.flush(follower.now)


def _fall_behind_by_gap(follower: Follower) -> None:
    """Have the leader commit entries that the follower has not received."""
    follower.hear_of_commits(40)


# Guards against CONFIG: a follower that is in touch with the leader, but applies
# nothing any more, keeps its hosts, and they route by an older document meanwhile.
@pytest.mark.parametrize(
    "fall_behind", [_fall_behind_by_disk, _fall_behind_by_version, _fall_behind_by_gap]
)
def test_a_follower_that_applies_nothing_releases_its_hosts(
    tmp_path: Path, fall_behind: Callable[[Follower], None]
) -> None:
    follower = Follower(tmp_path)
    follower.append(c.RegisterHost(HOST), make_change(1))
    follower.renew()
    fall_behind(follower)
    for _ in range(12):
        follower.pass_time(0.1)
        follower.hear_of_commits(40)
    assert ("host", ServeNear("")) in follower.sent
    follower.sent.clear()
    follower.renew()
    assert [peer for peer, _ in follower.sent] == ["leader"]
    follower.pass_time(0.5)
    reports = [m for _, m in follower.sent if isinstance(m, HostsNear)]
    assert {report.zone for report in reports} == {""}


# Guards against CONFIG: a control node that was replaced or wiped, and has received a
# part of the log, sends a host that restarts a document of long ago.
def test_a_new_member_sends_no_rows_before_it_has_caught_up(tmp_path: Path) -> None:
    follower = Follower(tmp_path)
    follower.hear_of_commits(40)
    follower.append(c.RegisterHost(HOST), make_change(1))
    follower.renew()
    assert follower.updates() == []


# Guards against a follower that takes no hosts again once it has caught up.
def test_a_follower_that_has_caught_up_serves_hosts_again(tmp_path: Path) -> None:
    follower = Follower(tmp_path)
    follower.append(c.RegisterHost(HOST), make_change(1))
    follower.hear_of_commits(1)
    follower.pass_time(1.0)
    follower.append(make_change(2))
    follower.renew()
    follower.pass_time(0.5)
    assert follower.updates()[-1].delta.document is not None
    reports = [m for _, m in follower.sent if isinstance(m, HostsNear)]
    assert reports[-1].zone == "a"


# Guards against hosts that renew at a stopped member: they would detect the stop only
# by a missing answer, and be sent back to this member.
def test_a_follower_that_stops_releases_its_hosts_first(tmp_path: Path) -> None:
    follower = Follower(tmp_path)
    follower.append(c.RegisterHost(HOST), make_change(1))
    follower.renew()
    follower.member.hand_over(follower.now)
    assert ("host", ServeNear("")) in follower.sent
    assert ("leader", HostsNear("")) in follower.sent
    follower.sent.clear()
    follower.renew()
    follower.pass_time(0.5)
    assert [type(message) for _, message in follower.sent] == [HostRenew]


# Guards against a leader that does not know of the follower in a zone and serves all
# hosts there itself.
def test_a_follower_reports_its_zone_before_it_has_hosts(tmp_path: Path) -> None:
    follower = Follower(tmp_path)
    follower.append()
    follower.pass_time(0.1)
    reports = [
        message for _, message in follower.sent if isinstance(message, HostsNear)
    ]
    assert [report.zone for report in reports] == ["a"]


# Guards against sending an unchanged document of 1,400 routes across zones for each
# read.
def test_an_unchanged_document_is_not_sent_again(tmp_path: Path) -> None:
    leader = Leader(tmp_path)
    leader.change_document(1)
    leader.change_document(2)
    assert leader.call(calls.ReadRoutes(2)) == calls.RoutesUnchanged()
    for version in (0, 1):
        answer = leader.call(calls.ReadRoutes(version))
        assert isinstance(answer, RouteDocument)
        assert answer.version == 2


# Guards against a host that was told of the control nodes once, at its start, and knows
# none of those that replaced them.
def test_a_host_is_told_when_the_voters_change(tmp_path: Path) -> None:
    follower = Follower(tmp_path)
    follower.append_members("leader", "me")
    follower.append(c.RegisterHost(HOST), make_change(1))
    for _ in range(3):
        follower.renew()
    follower.append_members("leader", "me", "new")
    for _ in range(3):
        follower.renew()
    told = [m.voters for _, m in follower.sent if isinstance(m, ControlMembers)]
    assert told == [("leader", "me"), ("leader", "me", "new")]


# Guards against a server that leaves and is known to one host only until its next
# heartbeat, and against the word of an earlier incarnation.
def test_a_leader_stops_a_server_that_a_host_reports_as_leaving(
    tmp_path: Path,
) -> None:
    leader = Leader(tmp_path)
    row = ServerRow("one", "s", "127.0.0.1:9", "a", 2, 2, 0, True)
    leader.state.put_server(row)
    leader.member.receive_leaving_servers(LeavingServers(("one@1",)), leader.now)
    leader.pass_time()
    assert not leader.state.servers["one"].stopping
    leader.member.receive_leaving_servers(LeavingServers(("one@2",)), leader.now)
    leader.pass_time()
    assert leader.state.servers["one"].stopping


# Guards against a report that a follower keeps to itself, or that two members which
# take each other for the leader send to and fro.
def test_a_follower_passes_a_report_of_leaving_servers_on_once(tmp_path: Path) -> None:
    follower = Follower(tmp_path)
    follower.append(c.RegisterHost(HOST))
    follower.sent.clear()
    report = LeavingServers(("one@2",))
    follower.member.receive_leaving_servers(report, follower.now)
    follower.member.receive_leaving_servers(
        report._replace(forwarded=True), follower.now
    )
    assert follower.sent == [("leader", report._replace(forwarded=True))]


def select_loads(follower: Follower) -> list[ServerLoads]:
    """Return the backlogs of servers that were sent to the host."""
    return [item for _, item in follower.sent if isinstance(item, ServerLoads)]


# Guards against messages that a host of a version without them drops with a line each.
def test_a_host_is_told_backlogs_only_if_it_takes_them(tmp_path: Path) -> None:
    follower = Follower(tmp_path)
    follower.append()
    follower.renew()
    follower.member.receive_server_loads("host", (ServerLoad("s", 1, 0),), follower.now)
    follower.pass_time(0.5)
    assert select_loads(follower) == []


# Guards against a host that never learns that this node passes backlogs on, and so
# sends none.
def test_a_host_that_takes_backlogs_is_greeted_and_told(tmp_path: Path) -> None:
    follower = Follower(tmp_path)
    follower.append()
    follower.renew(takes_loads=True)
    assert select_loads(follower) == [ServerLoads()]
    load = ServerLoad("s", 1, 0)
    follower.member.receive_server_loads("host", (load,), follower.now)
    follower.pass_time(0.2)
    assert [item.loads[0].name for item in select_loads(follower)[1:]] == ["s"]
