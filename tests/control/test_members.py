"""What callers are refused around elections, with whole members and entry agents."""

from __future__ import annotations

import pytest

from dragonflyrock.control.tables import LeaderTiming

from .members import LEDGER_GROUP, RENEW, Members

SEEDS = range(30)
LOST_FOR = 60.0


def stall_leader(seed: int, seconds: float, sync_seconds: float) -> Members:
    """Have the leader stand still at some moment between two renewals."""
    members = Members(seed, sync_seconds=sync_seconds)
    members.settle()
    members.run(0.5 + (seed * 0.037) % 0.4)
    while not members.leader():
        members.run(0.005)
    leader = members.leader()
    members.lapses.clear()
    members.least_left.clear()
    members.stall(leader, seconds)
    members.run(4.0)
    members.lapses = [lapse for lapse in members.lapses if lapse.host != leader]
    members.least_left.pop(leader, None)
    return members


# Guards against issue 4: an election, of which a second round or a late renewal took
# so long that leases lapsed and the ledger was given up on.
@pytest.mark.parametrize("sync_seconds", [0.0, 0.02, 0.05])
def test_the_loss_of_a_leader_has_no_caller_refused(sync_seconds: float) -> None:
    for seed in SEEDS:
        members = stall_leader(seed, LOST_FOR, sync_seconds)
        assert not members.lapses, f"seed {seed}: {members.lapses[:3]}"


# Guards against: a follower that stood still calls for an election when it wakes.
@pytest.mark.parametrize("seconds", [0.5, 1.0, 1.5])
def test_a_follower_that_stood_still_causes_no_election(seconds: float) -> None:
    for seed in SEEDS:
        members = Members(seed)
        members.settle()
        terms = members.term(), members.term(LEDGER_GROUP)
        leaders = members.leader(), members.leader(LEDGER_GROUP)
        for name in sorted(set(members.names) - set(leaders)):
            members.stall(name, seconds)
            members.run(seconds + 1.0)
            members.lapses = [e for e in members.lapses if e.host != name]
        assert (members.term(), members.term(LEDGER_GROUP)) == terms
        assert not members.lapses, f"seed {seed}: {members.lapses[:3]}"


# Guards against: a leader that stood still drops the renewals that waited for it, and
# leases run down by one renewal time more than it stood still.
def test_a_leader_that_stood_still_answers_the_renewals_that_waited() -> None:
    stood = 0.4
    slack = 0.1
    expected = LeaderTiming().entry_lease - RENEW - stood - slack
    for seed in SEEDS:
        members = stall_leader(seed, stood, 0.0)
        assert min(members.least_left.values()) >= expected, f"seed {seed}"
