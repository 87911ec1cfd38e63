"""Entry hosts that get their rows from a member in their own availability zone."""

from __future__ import annotations

import pytest

from dragonflyrock.control import commands as c
from dragonflyrock.control.effects import PushUpdate
from dragonflyrock.control.hosts import NEAR_REPORT_TIMEOUT_SECONDS, HostLeases
from dragonflyrock.control.near import REPORT_INTERVAL_SECONDS, NearHosts
from dragonflyrock.control.proposals import Proposals
from dragonflyrock.control.state import ControlState
from dragonflyrock.control.tables import LeaderTables, LeaderTiming
from dragonflyrock.entry.agent import AgentConfig, EntryAgent
from dragonflyrock.entry.tables import EntryTables
from dragonflyrock.models import HostRecord, RangeRef
from dragonflyrock.routes import RouteDocument, RoutedService
from dragonflyrock.transport.messages import (
    HostRenew,
    HostsNear,
    HostUpdate,
    LinkMessage,
    NearRenew,
    RangeLoad,
    ServerNeed,
    ServerSpeed,
)

TICK_SECONDS = 0.05
RENEW_INTERVAL_SECONDS = 0.7


class HostState:
    """The rows of a host, and its reports."""

    def __init__(self) -> None:
        """Start without rows."""
        self.tables = EntryTables()

    def apply(self, update: HostUpdate) -> bool:
        """Apply an update."""
        return self.tables.apply(update, update.lease_ms / 1000, 0.0)

    def find_draining_ranges(self) -> tuple[RangeRef, ...]:
        """Return no ranges."""
        return ()

    def pop_loads(self) -> tuple[RangeLoad, ...]:
        """Return a load of one request of a key."""
        return (RangeLoad("s", 7, 1, 0),)

    def pop_speeds(self) -> tuple[ServerSpeed, ...]:
        """Return a server's speed."""
        return (ServerSpeed("server", 3, 30.0),)

    def pop_ended_servers(self) -> tuple[str, ...]:
        """Return no servers."""
        return ()

    def pop_server_needs(self) -> tuple[ServerNeed, ...]:
        """Return no needs."""
        return ()

    def list_leaving_servers(self) -> tuple[str, ...]:
        """Return no servers."""
        return ()


class NearWorld:
    """A leader, a follower in the hosts' zone, and hosts, without delays."""

    def __init__(self, hosts: int = 3) -> None:
        """Start with a document and committed hosts."""
        self.now = 10.0
        self.index = 0
        self.leader_state = ControlState()
        self.near_state = ControlState()
        self.leader = HostLeases(
            "leader",
            1,
            self.leader_state,
            LeaderTables(),
            LeaderTiming(entry_lease=4.0),
            Proposals(),
            awaits_renewal=True,
        )
        self.near = NearHosts("a", self.near_state, 4000)
        self.near_running = True
        self.lost_answers = 0
        self.loses_updates = False
        self.pushed_by_leader = 0
        self.loads = 0
        self.renewed: list[str] = []
        self.hosts = {f"h{n}": self._make_host(f"h{n}") for n in range(hosts)}
        self.version = 0
        self.change_document()

    def _make_host(self, name: str) -> EntryAgent:
        """Start a host whose record is committed."""
        record = HostRecord(name, 1, "a", "", "")
        self.commit(c.RegisterHost(record))
        config = AgentConfig(
            record,
            ("leader", "near"),
            RENEW_INTERVAL_SECONDS,
            acknowledge_at_once=False,
        )
        self.rows = getattr(self, "rows", {})
        self.rows[name] = HostState()
        return EntryAgent(config, self.rows[name], self.receive, lambda: self.now)

    def commit(self, command: c.Command) -> None:
        """Apply a command at both members."""
        self.index += 1
        for state in (self.leader_state, self.near_state):
            state.apply(self.index, c.COMMANDS.encode(command))

    def change_document(self) -> None:
        """Change the document, and push the change as the members do."""
        self.version += 1
        services = (RoutedService("s", "/health", 100 + self.version, True, 0.0),)
        document = RouteDocument(self.version, (), services)
        self.commit(c.PutRoutes(self.version - 1, f"c{self.version}", document))
        for effect in self.leader.push_updates(self.index, self.now):
            assert isinstance(effect, PushUpdate)
            self.pushed_by_leader += bool(effect.update.delta.revision)
            self._deliver(effect.host, effect.update, "leader")
        if self.near_running:
            for name, update in self.near.push(1, "leader", self.index, self.now):
                self._deliver(name, update, "near")

    def _deliver(self, name: str, update: HostUpdate, sender: str) -> None:
        """Deliver an update to a host, unless it is lost."""
        if not self.loses_updates:
            self.hosts[name].receive(update, self.now, sender)

    def receive(self, node: str, message: LinkMessage) -> None:
        """Answer a renewal at a member."""
        match node, message:
            case "leader", HostRenew() as renew:
                self.renewed.append("leader")
                update, _ = self.leader.renew(renew, self.index, self.now)
                if self.lost_answers:
                    self.lost_answers -= 1
                    return
                self._deliver(renew.host.name, update, "leader")
                near = self.leader.choose_near_member(renew.host, self.now)
                if near:
                    self.hosts[renew.host.name].set_near_member(
                        near, self.now, "leader"
                    )
            case "near", NearRenew(renew) if self.near_running:
                self.renewed.append("near")
                update = self.near.renew(renew, 1, "leader", self.index, self.now)
                self._deliver(renew.host.name, update, "near")

    def run(self, seconds: float) -> None:
        """Advance the clock in ticks."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            for agent in self.hosts.values():
                agent.tick(self.now)
            report = self.near.make_report(self.now) if self.near_running else None
            if report is not None:
                self.leader.receive_near_report("near", report, self.now)
                self.loads += sum(report.loads.get("s", {}).values())

    @property
    def revisions(self) -> set[int]:
        """Return the revisions of all hosts."""
        return {rows.tables.revision for rows in self.rows.values()}


# Guards against updates for each host that all cross zones: the leader sent each move
# to each of 80 hosts, which made up a sixth of all bytes.
def test_rows_of_a_zone_come_from_its_own_member_and_not_from_the_leader() -> None:
    world = NearWorld()
    world.run(2.0)
    before = world.pushed_by_leader
    world.renewed.clear()
    for _ in range(5):
        world.change_document()
        assert world.revisions == {world.index}
        world.run(0.5)
    assert world.pushed_by_leader == before
    assert set(world.renewed) == {"near"}


# Guards against hosts that get no newer rows after their member has ended.
def test_hosts_leave_a_member_that_is_lost() -> None:
    world = NearWorld()
    world.run(2.0)
    world.near_running = False
    world.change_document()
    assert world.revisions == {world.index - 1}
    world.run(2 * RENEW_INTERVAL_SECONDS + NEAR_REPORT_TIMEOUT_SECONDS / 2)
    assert world.revisions == {world.index}
    world.run(NEAR_REPORT_TIMEOUT_SECONDS)
    world.change_document()
    assert world.revisions == {world.index}


# Guards against a host that has lost its member and sends to a server that has left.
# Such a host sent a request 2.3 s after the server had left.
def test_a_change_arrives_soon_although_a_member_and_an_answer_are_lost() -> None:
    world = NearWorld()
    world.run(2.0)
    world.near_running = False
    world.lost_answers = len(world.hosts)
    world.change_document()
    world.run(1.5 * RENEW_INTERVAL_SECONDS + 0.4)
    assert world.lost_answers == 0
    assert world.revisions == {world.index}


# Guards against hosts that keep using old rows because their member has no leader.
def test_released_hosts_renew_elsewhere_at_once() -> None:
    world = NearWorld()
    world.run(2.0)
    world.near_running = False
    world.change_document()
    for name in world.near.release_hosts():
        world.hosts[name].set_near_member("", world.now, "near")
    world.run(2 * TICK_SECONDS)
    assert world.revisions == {world.index}
    assert world.near.push(1, "leader", world.index, world.now) == []


# Guards against a resumed member that releases hosts of another member.
def test_a_resumed_member_does_not_release_the_hosts_of_another() -> None:
    world = NearWorld()
    world.run(2.0)
    world.renewed.clear()
    for agent in world.hosts.values():
        agent.set_near_member("", world.now, "other")
    world.run(2.0)
    assert set(world.renewed) == {"near"}


# Guards against lost loads: the leader moves keys by the sum of all reports.
def test_all_loads_of_hosts_reach_the_leader() -> None:
    world = NearWorld(hosts=2)
    world.run(1.0)
    world.loads = 0
    world.renewed.clear()
    world.run(20 * RENEW_INTERVAL_SECONDS)
    world.run(REPORT_INTERVAL_SECONDS + TICK_SECONDS)
    assert abs(world.loads - world.renewed.count("near")) <= 2
    assert world.loads >= 30


# Guards against a member that sends older rows to a host that had its rows from the
# leader.
def test_a_host_ahead_of_its_member_keeps_its_rows() -> None:
    world = NearWorld(hosts=1)
    world.run(2.0)
    renew = HostRenew(
        HostRecord("h0", 1, "a", "", ""), world.now, world.index + 3, (), ()
    )
    update = world.near.renew(renew, 1, "leader", world.index, world.now)
    assert not update.delta.full
    assert update.lease_ms
    assert not update.delta.services


# Guards against a new leader's first answer that is lost, because the link to the host
# is not open yet.
def test_a_new_leader_sends_its_name_once_to_the_hosts_of_earlier_terms() -> None:
    world = NearWorld()
    timing = LeaderTiming(entry_lease=4.0)
    leases = HostLeases(
        "next",
        2,
        world.leader_state,
        LeaderTables(),
        timing,
        Proposals(),
        awaits_renewal=True,
    )
    leases.assume_leases(world.now + 4.0)
    greeted = leases.push_updates(world.index, world.now)
    assert [item.host for item in greeted if isinstance(item, PushUpdate)] == [
        "h0",
        "h1",
        "h2",
    ]
    assert leases.push_updates(world.index, world.now) == []


# Guards against voters that are chosen as if a member that takes no hosts for a while
# were in no availability zone.
def test_a_member_that_takes_no_hosts_keeps_its_zone() -> None:
    hosts = HostLeases(
        "leader", 1, ControlState(), LeaderTables(), LeaderTiming(), Proposals()
    )
    record = HostRecord("host", 1, "a", "", "")
    hosts.receive_near_report("member", _make_report("a"), 1.0)
    assert hosts.choose_near_member(record, 1.0) == "member"
    hosts.receive_near_report("member", _make_report(""), 2.0)
    assert hosts.choose_near_member(record, 2.0) == ""
    assert hosts.get_member_zones() == {"member": "a"}


def _make_report(zone: str) -> HostsNear:
    """Return a member's report without hosts."""
    report = NearHosts(zone, ControlState(), 1000).make_report(1.0)
    assert report is not None
    return report


# Guards against CONFIG: hosts that missed one push of rows and never get it, as rows
# change faster than they renew; they lose their leases and go on by old rows.
@pytest.mark.parametrize("near_running", [True, False])
def test_a_lost_push_is_sent_again_while_rows_change_at_each_tick(
    near_running: bool,
) -> None:
    world = NearWorld()
    world.near_running = near_running
    world.run(2.0)
    world.loses_updates = True
    world.change_document()
    world.loses_updates = False
    for _ in range(round(3.0 / TICK_SECONDS)):
        world.change_document()
        world.run(TICK_SECONDS)
    assert min(world.revisions) >= world.index - 2
