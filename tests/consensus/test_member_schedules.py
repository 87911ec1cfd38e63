"""Random schedules of control hosts that are replaced, wiped, killed or cut off.

At most as many disks are lost at a time as a group tolerates, and the next fault comes
when the group must be whole again: a host counts as lost until four seconds after it is
back.
"""

from __future__ import annotations

from random import Random
from string import ascii_lowercase, ascii_uppercase
from typing import Final

import pytest

from dragonflyrock.consensus import Timing
from dragonflyrock.consensus.membership import LEARNER_TIMEOUT_SECONDS

from .common import Cluster, admit

CATCH_UP_SECONDS: Final = 4.0
REPLACEMENT_DELAY_SECONDS: Final = 1.2
DARK_SECONDS: Final = 3.0
FAULT_COUNT: Final = 6
# Lost disks of hosts that keep their names, in a group whose logs begin with snapshots.
LOST_DISK_COUNT: Final = 8
LOST_DISK_KINDS: Final = ("wipe", "wipe", "wipe", "kill", "cut")
SNAPSHOT_ENTRIES: Final = 40
KINDS: Final = (
    "replace",
    "replace",
    "replace-planned",
    "wipe",
    "kill",
    "freeze",
    "cut",
    "kill-all",
)


class Schedule:
    """A group and the hosts that are in use."""

    def __init__(
        self, seed: int, size: int, target: int = 0, snapshot_entries: int = 0
    ) -> None:
        """Start a group of ``size`` voters; ``target`` is the number aimed at.

        A member takes a snapshot after ``snapshot_entries`` entries, and none with 0.
        """
        self.target = target
        self.snapshot_entries = snapshot_entries
        self.random = Random(seed)
        self.names = list(ascii_lowercase[:size])
        self.new_names = iter(ascii_lowercase[size:] + ascii_uppercase)
        self.cluster = Cluster("".join(self.names), seed)
        for name in self.names:
            self._set_up(name)
        self.run(3.0)

    def _set_up(self, name: str) -> None:
        """Give a member the timing of a node and the seeds of its settings."""
        replica = self.cluster.replicas[name]
        replica.timing = Timing(0.2, 0.45, 0.8, 0.02, True)
        replica.voter_target = self.target
        seeds = self.random.sample(self.names, min(3, len(self.names)))
        replica.join_peers = tuple(sorted(seeds))

    def run(self, seconds: float) -> None:
        """Advance the time, with a change of the state each quarter of a second."""
        for _ in range(round(seconds / 0.25)):
            admit(self.cluster, 0.25)
            self.cluster.propose(b"change")
            self.take_due_snapshots()

    def take_due_snapshots(self) -> None:
        """Take a snapshot of each member that has committed enough since its last."""
        if not self.snapshot_entries:
            return
        for name, replica in self.cluster.replicas.items():
            first = replica.log.snapshot.log_index
            if replica.commit_index - first >= self.snapshot_entries:
                self.cluster.compact(name)

    def start_empty(self, name: str) -> None:
        """Start a host with an empty disk, which joins by its seeds."""
        first, self.cluster.initial_voters = self.cluster.initial_voters, ()
        self.cluster.wipe(name)
        self.cluster.initial_voters = first
        self._set_up(name)

    def restart(self, name: str) -> None:
        """Start a host from its disk."""
        self.cluster.start(name)
        self._set_up(name)

    def remove(self, name: str) -> None:
        """Take a host away for good."""
        self.cluster.stop(name)
        self.names.remove(name)
        del self.cluster.disks[name]

    def add(self) -> None:
        """Add a host with an empty disk."""
        name = next(self.new_names)
        self.start_empty(name)
        self.names.append(name)

    def play(self, kind: str) -> None:
        """Play a fault of a host, most often the leader, and its recovery."""
        leader = self.cluster.leader()
        name = self.random.choice(self.names)
        if leader is not None and self.random.random() < 0.4:
            name = leader.me.name
        match kind:
            case "replace":
                self.remove(name)
                self.run(REPLACEMENT_DELAY_SECONDS)
                self.add()
            case "replace-planned":
                self.add()
                self.run(1.0)
                self.remove(name)
            case "wipe":
                self.cluster.stop(name)
                self.run(DARK_SECONDS)
                self.start_empty(name)
            case "kill":
                self.cluster.stop(name)
                self.run(0.75)
                self.restart(name)
            case "freeze":
                self.cluster.frozen.add(name)
                self.run(DARK_SECONDS)
                self.cluster.frozen.discard(name)
            case "cut":
                self.cluster.isolate(name)
                self.run(DARK_SECONDS)
                self.cluster.cut_links.clear()
            case "kill-all":
                for each in self.names:
                    self.cluster.stop(each)
                self.cluster.run(0.75)
                for each in self.names:
                    self.restart(each)
        self.run(CATCH_UP_SECONDS)


# Guards against a group that loses its quorum for ever, keeps a member that is gone, or
# leaves out one that is there, after faults that it must tolerate.
@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", range(20))
def test_a_group_has_the_hosts_in_use_as_voters(seed: int, size: int) -> None:
    schedule = Schedule(seed, size)
    for _ in range(FAULT_COUNT):
        schedule.play(schedule.random.choice(KINDS))
    schedule.run(2.0)
    members = schedule.cluster.wait_for_leader().configuration
    assert {voter.name for voter in members.voters} == set(schedule.names)
    assert not members.learners


# Guards against faults after which a group with learners that stand by has no leader,
# has an even number of voters, or fewer than it needs.
@pytest.mark.parametrize("size", [4, 5, 8])
@pytest.mark.parametrize("seed", range(16))
def test_a_group_with_learners_has_an_odd_number_of_voters(
    seed: int, size: int
) -> None:
    target = 5 if size > 4 else 3
    schedule = Schedule(100 + seed, size, target)
    for _ in range(FAULT_COUNT):
        schedule.play(schedule.random.choice(KINDS))
    schedule.run(LEARNER_TIMEOUT_SECONDS + 2.0)
    members = schedule.cluster.wait_for_leader().configuration
    assert len(members.voters) == target
    names = {member.name for member in (*members.voters, *members.learners)}
    assert names == set(schedule.names)


# Guards against CONFIG as in incident 68: a member with a new disk gets a snapshot that
# names others by lost disks, never becomes a voter, and the next loss is final.
@pytest.mark.parametrize("seed", range(60))
def test_lost_disks_are_replaced_from_snapshots(seed: int) -> None:
    schedule = Schedule(seed, 3, 3, SNAPSHOT_ENTRIES)
    for _ in range(LOST_DISK_COUNT):
        schedule.play(schedule.random.choice(LOST_DISK_KINDS))
    schedule.run(2.0)
    cluster = schedule.cluster
    members = cluster.wait_for_leader().configuration
    assert set(members.voters) == {replica.me for replica in cluster.replicas.values()}
    assert not members.learners
    assert all(replica.log.snapshot.log_index for replica in cluster.replicas.values())
