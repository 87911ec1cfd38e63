"""Rows sent to entry hosts: each is sent once, and again only if it was lost."""

from __future__ import annotations

from dragonflyrock.control import commands as c
from dragonflyrock.control.hosts import HostLeases
from dragonflyrock.control.proposals import Proposals
from dragonflyrock.control.state import ControlState
from dragonflyrock.control.tables import LeaderTables, LeaderTiming
from dragonflyrock.models import HostRecord
from dragonflyrock.routes import RouteDocument, RoutedService
from dragonflyrock.transport.messages import HostRenew, HostUpdate

HOST = HostRecord("host", 1, "a", "127.0.0.1:1", "")


class Leader:
    """A leader's leases, and the control state that they depend on."""

    def __init__(self) -> None:
        """Start with a committed host and a document."""
        self.state = ControlState()
        self.index = 0
        self.leases = HostLeases(
            "leader", 1, self.state, LeaderTables(), LeaderTiming(), Proposals()
        )
        self.commit(c.RegisterHost(HOST))
        self.change_document(1)

    def commit(self, command: c.Command) -> None:
        """Apply a command."""
        self.index += 1
        self.state.apply(self.index, c.COMMANDS.encode(command))

    def change_document(self, version: int) -> None:
        """Change the document."""
        services = (RoutedService("s", "/health", 100 + version, True, 0.0),)
        document = RouteDocument(version, (), services)
        self.commit(c.PutRoutes(version - 1, f"change {version}", document))

    def renew(self, sent_at: float, revision: int, answered_at: float) -> HostUpdate:
        """Answer a renewal of the host."""
        renew = HostRenew(HOST, sent_at, revision, (), (), 0, answered_at)
        return self.leases.renew(renew, self.index, sent_at)[0]

    def push(self, now: float) -> list[HostUpdate]:
        """Return what is pushed to the host."""
        effects = self.leases.push_updates(self.index, now)
        return [effect.update for effect in effects]  # type: ignore[union-attr]


# Guards against a new host that renews 20 times a second and gets all rows each time.
def test_rows_in_transit_are_not_sent_again() -> None:
    leader = Leader()
    first = leader.renew(0.5, 0, 0.0)
    assert first.delta.services
    for number in range(1, 5):
        again = leader.renew(0.5 + number / 20, 0, 0.0)
        assert not again.delta.services
        assert again.delta.base == first.delta.revision


# Guards against a change that is pushed to a host again although it is in transit.
def test_each_change_is_pushed_once() -> None:
    leader = Leader()
    first = leader.renew(0.5, 0, 0.0)
    leader.change_document(2)
    pushed = leader.push(0.6)
    assert [update.delta.base for update in pushed] == [first.delta.revision]
    assert leader.push(0.6) == []


# Guards against a lost push that is not repeated, so that the host's rows stay
# outdated.
def test_rows_are_sent_again_when_a_later_answer_has_overtaken_them() -> None:
    leader = Leader()
    seen = leader.renew(0.5, 0, 0.0).delta.revision
    leader.change_document(2)
    leader.push(0.6)
    # This renewal may have crossed the push; the next one shows that the push was lost.
    crossed = leader.renew(0.7, seen, 0.5)
    assert not crossed.delta.services
    repeated = leader.renew(0.8, seen, 0.7)
    assert repeated.delta.base == seen
    assert repeated.delta.services


# Guards against rows that are assumed to be at a host that has ignored them.
def test_an_answer_with_rows_that_was_ignored_is_sent_again() -> None:
    leader = Leader()
    leader.renew(0.5, 0, 0.0)
    again = leader.renew(0.6, 0, 0.5)
    assert again.delta.services
