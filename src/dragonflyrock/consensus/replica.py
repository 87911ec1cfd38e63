"""A member of a replicated log, without I/O: messages in, output to carry out."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple

from .log import Log
from .models import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Member,
    Message,
    Role,
    SnapshotImage,
    Timing,
)

__all__ = [
    "AddressedMessage",
    "Output",
    "PeerProgress",
    "Replica",
    "append_as_leader",
    "become_follower",
    "get_durable_log",
    "retain_durable_log",
    "make_replica",
    "queue_message",
    "take_output",
    "undo_output",
]

NEVER: Final = float("-inf")
# Share of the spread of election times in which members stand after their start.
STARTUP_SPREAD_RATIO: Final = 0.6
# A member that led when its process ended stands this long after its start, when
# its links are open.
FORMER_LEADER_DELAY_SECONDS: Final = 0.02


class AddressedMessage(NamedTuple):
    """A message and the name of the member that it goes to."""

    peer: str
    message: Message


@dataclass(slots=True)
class Output:
    """What the caller must do, in this order.

    Install the snapshot, truncate the log, append the entries, save the hard
    state, sync, and only then send the messages and apply up to ``commit``.
    ``durable_log`` is the log as it is on disk, where entries of it are dropped.
    """

    snapshot: SnapshotImage | None = None
    truncate_from: int = 0
    entries: list[Entry] = field(default_factory=list)
    hard_state: HardState | None = None
    messages: list[AddressedMessage] = field(default_factory=list)
    durable_log: Log | None = None

    @property
    def needs_sync(self) -> bool:
        """Return whether anything must reach the disk before sending."""
        return bool(
            self.entries or self.hard_state or self.truncate_from or self.snapshot
        )


@dataclass(slots=True)
class PeerProgress:
    """What the leader knows of a peer; times in seconds of its own clock."""

    next_index: int
    match_index: int = 0
    acked_sent_at: float = NEVER
    sent_at: float = NEVER
    snapshot_sent_at: float = NEVER
    sent_commit: int = 0


@dataclass(slots=True)
class Replica:
    """The state of one member of a group."""

    me: Member
    initial_voters: tuple[str, ...]
    timing: Timing
    random: Random
    log: Log
    hard_state: HardState
    role: Role = Role.FOLLOWER
    leader: str = ""
    commit: int = 0
    last_contact_at: float = 0.0
    election_at: float = 0.0
    became_leader_at: float = NEVER
    term_start_index: int = 0
    pre_vote: bool = False
    forming: bool = False
    votes: dict[str, Member] = field(default_factory=dict)
    peers: dict[str, PeerProgress] = field(default_factory=dict)
    waiting_members: dict[str, Member] = field(default_factory=dict)
    output: Output = field(default_factory=Output)
    join_peers: tuple[str, ...] = ()
    has_seen_leader: bool = False
    stopping: bool = False

    @property
    def configuration(self) -> Configuration:
        """Return the latest configuration in the log."""
        return self.log.configuration

    @property
    def is_new(self) -> bool:
        """Return whether this member has never been part of a formed group."""
        return self.log.last_index == 0

    @property
    def peer_names(self) -> list[str]:
        """Return the names of all other members."""
        members = self.configuration.voters + self.configuration.learners
        return [member.name for member in members if member.name != self.me.name]

    def lease_until(self, now: float) -> float:
        """Return until when no other member can have been elected.

        It counts from when the heartbeats that a quorum answered were sent.
        """
        if self.role != Role.LEADER:
            return NEVER
        acked = [
            now if voter.name == self.me.name else self.peers[voter.name].acked_sent_at
            for voter in self.configuration.voters
        ]
        acked.sort(reverse=True)
        heard = acked[self.configuration.quorum - 1]
        return heard + self.timing.election_min * (1 - self.timing.drift)

    def is_settled_leader(self, now: float) -> bool:
        """Return whether this leader may answer from its state and give orders."""
        if self.role != Role.LEADER or self.commit < self.term_start_index:
            return False
        return now < self.lease_until(now)


def make_replica(
    me: Member,
    initial_voters: tuple[str, ...],
    timing: Timing,
    random: Random,
    log: Log,
    hard_state: HardState,
    now: float,
    began_at: float | None = None,
) -> Replica:
    """Return a follower that has just started with what its disk held.

    It counts as having heard a leader when its process began, ``began_at``: the
    process before may have acknowledged a heartbeat right before it stopped, and
    that promise must be kept. It stands for election soon after the promise ends,
    since all members may have been lost. A member that led last stands at once.
    """
    replica = Replica(me, initial_voters, timing, random, log, hard_state)
    replica.commit = log.snapshot.log_index
    replica.last_contact_at = now if began_at is None else began_at
    if hard_state.leader == me.name:
        # It has promised nothing, and the promises to it end with its leadership.
        replica.election_at = now + FORMER_LEADER_DELAY_SECONDS
        return replica
    promised = replica.last_contact_at + timing.election_min
    spread = STARTUP_SPREAD_RATIO * (timing.election_max - timing.election_min)
    replica.election_at = max(now, promised) + random.uniform(0.0, spread)
    return replica


def reset_election_timer(replica: Replica, now: float) -> None:
    """Draw the time of the next election."""
    timing = replica.timing
    wait = replica.random.uniform(timing.election_min, timing.election_max)
    replica.election_at = now + wait


def queue_message(replica: Replica, peer: str, message: Message) -> None:
    """Queue a message."""
    replica.output.messages.append(AddressedMessage(peer, message))


def take_output(replica: Replica) -> Output:
    """Return what is to be done and start a new output."""
    output, replica.output = replica.output, Output()
    return output


def get_durable_log(replica: Replica, output: Output) -> Log:
    """Return the log without what an output was to change."""
    if output.durable_log is not None:
        return output.durable_log
    log = replica.log.copy()
    if output.entries:
        log.truncate(output.entries[0].log_index)
    return log


def retain_durable_log(replica: Replica) -> None:
    """Keep the log as it is on disk before entries of it are dropped."""
    replica.output.durable_log = get_durable_log(replica, replica.output)


def undo_output(
    replica: Replica, output: Output, hard_state: HardState, applied: int
) -> None:
    """Return to what is on disk, since an output could not be saved.

    Nothing of it was sent or applied, so this is as safe as a restart.
    """
    replica.log = get_durable_log(replica, output)
    replica.hard_state = hard_state
    replica.commit = applied


def set_hard_state(
    replica: Replica, term: int, voted_for: str, leader: str = ""
) -> None:
    """Change the term, vote or leader, to be saved before anything is sent."""
    hard_state = HardState(term, voted_for, leader)
    if hard_state != replica.hard_state:
        replica.hard_state = hard_state
        replica.output.hard_state = hard_state


def become_follower(replica: Replica, term: int, leader: str, now: float) -> None:
    """Follow a leader, known or not, in a term that is not older than ours."""
    if term > replica.hard_state.term:
        set_hard_state(replica, term, "")
    if replica.role != Role.FOLLOWER:
        reset_election_timer(replica, now)
    replica.role = Role.FOLLOWER
    replica.leader = leader
    replica.votes.clear()


def append_as_leader(replica: Replica, kind: EntryKind, payload: bytes) -> int:
    """Append an entry as leader and return its index."""
    index = replica.log.last_index + 1
    entry = Entry(index, replica.hard_state.term, kind, payload)
    replica.log.append([entry])
    replica.output.entries.append(entry)
    return index
