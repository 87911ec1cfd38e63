"""Simulated replicas with a manual clock, failing links and durable disks."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple

from dragonflyrock.consensus import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Log,
    Member,
    Message,
    Replica,
    Role,
    SnapshotImage,
    Timing,
    make_replica,
    membership,
    propose,
    receive,
    replicate,
    take_output,
    tick,
)
from dragonflyrock.consensus.replica import AddressedMessage

TICK_SECONDS: Final = 0.02


@dataclass(slots=True)
class Disk:
    """The synced state of a member."""

    identity: str
    snapshot: SnapshotImage = field(default_factory=SnapshotImage)
    entries: list[Entry] = field(default_factory=list)
    hard_state: HardState = field(default_factory=HardState)


class QueuedMessage(NamedTuple):
    """A message that is delivered at a later time."""

    deliver_at: float
    sequence: int
    sender: Member
    peer: str
    identity: str
    message: Message


class Cluster:
    """A group of replicas; time advances only in ``run``.

    It checks that committed entries agree and that no two leaders hold leases at once.
    """

    def __init__(self, names: str, seed: int, delay: float = 0.005) -> None:
        """Start one new member for each letter of ``names``."""
        self.now = 0.0
        self.random = Random(seed)
        self.initial_voters = tuple(names)
        self.disks: dict[str, Disk] = {}
        self.replicas: dict[str, Replica] = {}
        self.applied: dict[str, list[Entry]] = {}
        self.frozen: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self.stopped: dict[str, float] = {}
        self.clock_rates: dict[str, float] = {}
        self.clocks: dict[str, float] = {}
        self.leaders_by_term: dict[int, str] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.loss_rate = 0.0
        self._delay = delay
        self._queue: list[QueuedMessage] = []
        self._sequence = 0
        self._identity_count = 0
        for name in names:
            self.wipe(name)

    def wipe(self, name: str) -> None:
        """Start a member with an empty disk and a new identity."""
        self._identity_count += 1
        self.disks[name] = Disk(f"{name}-{self._identity_count}")
        self.start(name)

    def start(self, name: str) -> None:
        """Start, or restart, a member from its disk.

        For a stopped member the new process counts as begun when the old one ended.
        """
        disk = self.disks[name]
        log = Log(disk.snapshot)
        log.append(disk.entries)
        self.clocks.setdefault(name, 0.0)
        self.replicas[name] = make_replica(
            Member(name, disk.identity),
            self.initial_voters,
            Timing(),
            self.random,
            log,
            disk.hard_state,
            self.clocks[name],
            self.stopped.pop(name, self.clocks[name]),
        )
        self.applied[name] = _read_image(disk.snapshot)

    def stop(self, name: str) -> None:
        """Stop a member; only its disk remains."""
        if self.replicas.pop(name, None) is not None:
            self.stopped[name] = self.clocks[name]

    def isolate(self, *names: str) -> None:
        """Cut all links between these members and the others, in both directions."""
        inside = set(names)
        for name in self.disks:
            for peer in self.disks:
                if (name in inside) != (peer in inside):
                    self.cut_links.add((name, peer))

    def run(self, seconds: float) -> None:
        """Advance the time, deliver messages and tick the members."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            for name in self.clocks:
                self.clocks[name] += TICK_SECONDS * self.clock_rates.get(name, 1.0)
            self._deliver()
            for name, replica in self.replicas.items():
                if name not in self.frozen:
                    tick(replica, self.clocks[name])
                    self._flush(name)
            self._check()

    def wait_for_leader(self, seconds: float = 5.0) -> Replica:
        """Run until there is a settled leader and return it."""
        until = self.now + seconds
        while self.now < until:
            self.run(TICK_SECONDS)
            leader = self.leader()
            if leader is not None:
                return leader
        raise AssertionError("no leader was elected")

    def leader(self) -> Replica | None:
        """Return the settled leader with the highest term."""
        leaders = [
            replica
            for name, replica in self.replicas.items()
            if name not in self.frozen and replica.is_settled_leader(self.clocks[name])
        ]
        return max(leaders, key=lambda r: r.hard_state.term) if leaders else None

    def propose(self, payload: bytes, name: str = "") -> int | None:
        """Propose a command to a member, or without a name to the leader."""
        replica = self.replicas[name] if name else self.leader()
        if replica is None:
            return None
        index = propose(replica, payload)
        self._flush(replica.me.name)
        return index

    def commands(self, name: str) -> list[bytes]:
        """Return the commands that a member applied, in order."""
        return [e.payload for e in self.applied[name] if e.kind == EntryKind.COMMAND]

    def compact(self, name: str) -> None:
        """Take a snapshot of a member at its commit index."""
        replica = self.replicas[name]
        log = replica.log
        term = log.term_at(replica.commit_index)
        assert term is not None
        payload = b"\n".join(self.commands(name))
        configuration: Configuration = log.configuration_at(replica.commit_index)
        image = SnapshotImage(replica.commit_index, term, configuration, payload)
        log.compact(image)
        disk = self.disks[name]
        disk.snapshot = image
        disk.entries = [e for e in disk.entries if e.log_index > image.log_index]

    def _flush(self, name: str) -> None:
        """Save a member's output, then send its messages and apply entries."""
        replica = self.replicas[name]
        replicate(replica, self.clocks[name])
        output = take_output(replica)
        disk = self.disks[name]
        if output.snapshot is not None:
            disk.snapshot = output.snapshot
            disk.entries.clear()
            self.applied[name] = _read_image(output.snapshot)
        if output.truncate_from:
            disk.entries = [
                e for e in disk.entries if e.log_index < output.truncate_from
            ]
        disk.entries += output.entries
        disk.hard_state = output.hard_state or disk.hard_state
        for addressed in output.messages:
            self._send(replica, addressed)
        self._apply(name)

    def _send(self, replica: Replica, addressed: AddressedMessage) -> None:
        """Queue a message, unless its link is cut or it is lost."""
        peer, message, identity = addressed
        is_cut = (replica.me.name, peer) in self.cut_links
        if is_cut or self.random.random() < self.loss_rate:
            return
        self._sequence += 1
        deliver_at = self.now + self.random.uniform(0, self._delay)
        queued = QueuedMessage(
            deliver_at, self._sequence, replica.me, peer, identity, message
        )
        self._queue.append(queued)

    def _deliver(self) -> None:
        """Deliver the messages that are due."""
        due = sorted(queued for queued in self._queue if queued.deliver_at <= self.now)
        kept = [queued for queued in self._queue if queued.deliver_at > self.now]
        self._queue = kept
        for queued in due:
            if queued.peer in self.frozen:
                self._queue.append(queued._replace(deliver_at=self.now + TICK_SECONDS))
                continue
            replica = self.replicas.get(queued.peer)
            if replica is None or queued.identity not in ("", replica.me.identity):
                continue
            clock = self.clocks[queued.peer]
            receive(replica, queued.sender, queued.message, clock)
            self._flush(queued.peer)

    def _apply(self, name: str) -> None:
        """Apply committed entries, and check that the others committed the same."""
        replica = self.replicas[name]
        log = replica.log
        applied = self.applied[name]
        applied_index = applied[-1].log_index if applied else 0
        applied_index = max(applied_index, log.snapshot.log_index)
        for entry in log.entries_from(
            applied_index + 1, replica.commit_index - applied_index
        ):
            applied.append(entry)
            committed = self.committed.setdefault(
                entry.log_index, (entry.term, entry.payload)
            )
            assert committed == (entry.term, entry.payload), (
                "two entries were committed"
            )

    def _check(self) -> None:
        """Check that no term has two leaders and that at most one lease is valid."""
        lease_holders = []
        for name, replica in self.replicas.items():
            if replica.role != Role.LEADER:
                continue
            term = replica.hard_state.term
            assert self.leaders_by_term.setdefault(term, name) == name, (
                "two leaders in a term"
            )
            if replica.is_settled_leader(self.clocks[name]) and name not in self.frozen:
                lease_holders.append(name)
        assert len(lease_holders) <= 1, f"two leaders hold leases: {lease_holders}"


def admit(cluster: Cluster, seconds: float) -> None:
    """Let the leader change the members at each tick, as a control node does."""
    for _ in range(int(seconds / 0.1)):
        leader = cluster.leader()
        if leader is not None:
            clock = cluster.clocks[leader.me.name]
            membership.admit_waiting_member(leader, clock)
            membership.remove_unresponsive_voter(leader, clock)
            membership.remove_unresponsive_learner(leader, clock)
            membership.demote_surplus_voter(leader, clock)
        cluster.run(0.1)


def _read_image(snapshot: SnapshotImage) -> list[Entry]:
    """Return the commands in a snapshot as applied entries."""
    lines = snapshot.payload.split(b"\n") if snapshot.payload else []
    return [Entry(0, 0, EntryKind.COMMAND, line) for line in lines]
