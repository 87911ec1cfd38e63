"""Refused calls around elections, with complete members and entry agents."""

from __future__ import annotations

import pytest

from dragonflyrock.control.tables import LeaderTiming

from .members import LEDGER_GROUP, RENEW_INTERVAL_SECONDS, Members

SEEDS = range(30)
LOST_SECONDS = 60.0


def stall_leader(seed: int, seconds: float, sync_seconds: float) -> Members:
    """Stall the leader at some time between two renewals."""
    members = Members(seed, sync_seconds=sync_seconds)
    members.wait_for_leases()
    members.run(0.5 + (seed * 0.037) % 0.4)
    while not members.leader():
        members.run(0.005)
    leader = members.leader()
    members.outages.clear()
    members.min_lease_left.clear()
    members.stall(leader, seconds)
    members.run(4.0)
    members.outages = [outage for outage in members.outages if outage.host != leader]
    members.min_lease_left.pop(leader, None)
    return members


# Guards against issue 4: during an election with a second round or a late renewal,
# leases expired and calls to the ledger timed out.
@pytest.mark.parametrize("sync_seconds", [0.0, 0.02, 0.05])
def test_the_loss_of_a_leader_refuses_no_caller(sync_seconds: float) -> None:
    for seed in SEEDS:
        members = stall_leader(seed, LOST_SECONDS, sync_seconds)
        assert not members.outages, f"seed {seed}: {members.outages[:3]}"


# Guards against a stalled follower that starts an election when it resumes.
@pytest.mark.parametrize("seconds", [0.5, 1.0, 1.5])
def test_a_stalled_follower_causes_no_election(seconds: float) -> None:
    for seed in SEEDS:
        members = Members(seed)
        members.wait_for_leases()
        terms = members.term(), members.term(LEDGER_GROUP)
        leaders = members.leader(), members.leader(LEDGER_GROUP)
        for name in sorted(set(members.names) - set(leaders)):
            members.stall(name, seconds)
            members.run(seconds + 1.0)
            members.outages = [e for e in members.outages if e.host != name]
        assert (members.term(), members.term(LEDGER_GROUP)) == terms
        assert not members.outages, f"seed {seed}: {members.outages[:3]}"


# Guards against a stalled leader that drops the waiting renewals when it resumes, so
# that leases run down by one renewal interval more than the time of the stall.
def test_a_stalled_leader_answers_the_waiting_renewals() -> None:
    stall_seconds = 0.4
    slack = 0.1
    expected = (
        LeaderTiming().entry_lease - RENEW_INTERVAL_SECONDS - stall_seconds - slack
    )
    for seed in SEEDS:
        members = stall_leader(seed, stall_seconds, 0.0)
        assert min(members.min_lease_left.values()) >= expected, f"seed {seed}"
