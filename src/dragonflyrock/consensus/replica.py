"""The state of one member of a replicated log, without I/O.

Inputs change the state and add to an ``Output`` that the caller has to carry out.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Final, NamedTuple

from ..const import NEVER
from .contacts import Contact
from .log import Log
from .models import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    JoinRequest,
    Member,
    Message,
    Role,
    SnapshotImage,
    Timing,
    VoteRequest,
)
from .replacements import Replacement

__all__ = [
    "AddressedMessage",
    "Output",
    "PeerProgress",
    "Replica",
    "WaitingMember",
    "append_as_leader",
    "become_follower",
    "get_durable_log",
    "make_replica",
    "queue_answer",
    "queue_message",
    "record_leader_commit_index",
    "retain_durable_log",
    "take_output",
    "undo_output",
]

# Fraction of the range of election timeouts over which the first elections after a
# start are spread.
STARTUP_SPREAD_RATIO: Final = 0.6
# A member that was the leader when its process ended stands for election this soon
# after its start. By then its links are open.
FORMER_LEADER_DELAY_SECONDS: Final = 0.02


class AddressedMessage(NamedTuple):
    """A message, and the name and identity of its recipient.

    An empty identity accepts any member of the name.
    """

    peer: str
    message: Message
    identity: str


@dataclass(slots=True)
class Output:
    """What the caller must do, in this order.

    Install the snapshot, truncate the log from index ``truncate_from`` on (0 for no
    truncation), append the entries, save the hard state and sync. Only then send the
    messages and apply entries up to the commit index.

    ``durable_log`` is the log on disk, set when the output drops entries of it.
    """

    snapshot: SnapshotImage | None = None
    truncate_from: int = 0
    entries: list[Entry] = field(default_factory=list)
    hard_state: HardState | None = None
    messages: list[AddressedMessage] = field(default_factory=list)
    durable_log: Log | None = None

    @property
    def needs_sync(self) -> bool:
        """Return whether something must be synced before messages are sent."""
        return bool(
            self.entries or self.hard_state or self.truncate_from or self.snapshot
        )


class WaitingMember(NamedTuple):
    """A member that asks to join, and when its latest request came in seconds."""

    member: Member
    asked_at: float


@dataclass(slots=True)
class PeerProgress:
    """The replication progress of a peer; times in seconds of the leader's clock.

    ``acked_sent_at`` is when the latest request that the peer answered was sent, and
    ``first_sent_at`` when the first request was sent to it in this term.
    ``first_sent_index`` is the first entry that was sent since ``rewound_at``, when a
    rejection last reset ``next_index``.
    """

    next_index: int
    match_index: int = 0
    acked_sent_at: float = NEVER
    sent_at: float = NEVER
    first_sent_at: float = inf
    snapshot_sent_at: float = NEVER
    sent_commit_index: int = 0
    first_sent_index: int = 1
    rewound_at: float = NEVER

    @classmethod
    def begin(cls, next_index: int) -> PeerProgress:
        """Return the progress of a peer to which no entry was sent yet."""
        return cls(next_index, first_sent_index=next_index)


@dataclass(slots=True)
class Replica:
    """The state of one member of a group; times in seconds of its own clock.

    ``term_start_index`` is the index of the first entry that this leader appended in
    its term. ``join_peers`` are members to ask to join besides the configured ones.
    ``waiting_members`` are known only to a leader, by their names; ``replacements``
    ask in the place of a member whose disk they replace, by its name.
    ``vote_refusals`` are the answers to the latest vote request of each candidate, and
    ``contacts`` what was last heard from each member of the configuration.
    ``voter_target`` is the number of voters that a leader aims at, or 0 to promote
    every learner; ``member_zones`` are the availability zones of members, where known.
    ``leader_commit_index`` is the highest commit index that a leader has named.
    """

    me: Member
    initial_voters: tuple[str, ...]
    timing: Timing
    random: Random
    log: Log
    hard_state: HardState
    role: Role = Role.FOLLOWER
    leader: str = ""
    commit_index: int = 0
    leader_commit_index: int = 0
    last_contact_at: float = 0.0
    election_at: float = 0.0
    became_leader_at: float = NEVER
    term_start_index: int = 0
    pre_vote: bool = False
    forming: bool = False
    votes: dict[str, Member] = field(default_factory=dict)
    peers: dict[str, PeerProgress] = field(default_factory=dict)
    waiting_members: dict[str, WaitingMember] = field(default_factory=dict)
    replacements: dict[str, Replacement] = field(default_factory=dict)
    vote_refusals: dict[str, str] = field(default_factory=dict)
    contacts: dict[str, Contact] = field(default_factory=dict)
    output: Output = field(default_factory=Output)
    join_peers: tuple[str, ...] = ()
    voter_target: int = 0
    member_zones: dict[str, str] = field(default_factory=dict)
    has_seen_leader: bool = False
    stopping: bool = False

    @property
    def configuration(self) -> Configuration:
        """Return the latest configuration in the log, committed or not."""
        return self.log.configuration

    @property
    def is_new(self) -> bool:
        """Return whether this member has never been part of a formed group."""
        return self.log.last_index == 0

    @property
    def is_voter(self) -> bool:
        """Return whether this member, and not a former one of its name, votes."""
        return self.me in self.configuration.voters

    @property
    def peer_names(self) -> list[str]:
        """Return the names of all other members."""
        members = self.configuration.voters + self.configuration.learners
        return [member.name for member in members if member.name != self.me.name]

    def lease_until(self, now: float) -> float:
        """Return the time until which no other member can be elected.

        The lease runs from when the latest heartbeat that a quorum answered was sent,
        for ``election_min`` less the allowed clock drift.
        """
        if self.role != Role.LEADER:
            return NEVER
        acked = [
            now if voter.name == self.me.name else self.peers[voter.name].acked_sent_at
            for voter in self.configuration.voters
        ]
        acked.sort(reverse=True)
        quorum_acked_at = acked[self.configuration.quorum - 1]
        return quorum_acked_at + self.timing.election_min * (1 - self.timing.drift)

    def is_settled_leader(self, now: float) -> bool:
        """Return whether this leader may answer from its state and give orders.

        It must have committed an entry of its own term and hold a valid lease.
        """
        if self.role != Role.LEADER or self.commit_index < self.term_start_index:
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
    """Return a new follower with the log and the hard state from its disk.

    ``began_at``, the start of its process, counts as its last contact with a leader:
    the process before may have acknowledged a heartbeat just before it ended, and that
    promise must be kept. The follower stands for election soon after the promise ends,
    since all members may have been lost. A former leader stands almost at once.
    """
    replica = Replica(me, initial_voters, timing, random, log, hard_state)
    replica.commit_index = log.snapshot.log_index
    replica.last_contact_at = now if began_at is None else began_at
    if hard_state.leader == me.name:
        # As the leader it made no promise, and the promises to it end with its
        # leadership.
        replica.election_at = now + FORMER_LEADER_DELAY_SECONDS
        return replica
    promised = replica.last_contact_at + timing.election_min
    spread = STARTUP_SPREAD_RATIO * (timing.election_max - timing.election_min)
    replica.election_at = max(now, promised) + random.uniform(0.0, spread)
    return replica


def reset_election_timer(replica: Replica, now: float) -> None:
    """Set the election timer to a random time within the election timeouts."""
    timing = replica.timing
    wait = replica.random.uniform(timing.election_min, timing.election_max)
    replica.election_at = now + wait


def queue_message(replica: Replica, peer: str, message: Message) -> None:
    """Add a message for a peer to the output, for its identity in the configuration."""
    member = replica.configuration.find(peer)
    identity = member.identity if member else ""
    match message:
        case JoinRequest() | VoteRequest(forming=True):
            identity = ""
    replica.output.messages.append(AddressedMessage(peer, message, identity))


def queue_answer(replica: Replica, sender: Member, message: Message) -> None:
    """Add an answer for the sender of a request to the output.

    The configuration here may be older than the sender's, and not know its identity.
    """
    addressed = AddressedMessage(sender.name, message, sender.identity)
    replica.output.messages.append(addressed)


def record_leader_commit_index(replica: Replica, index: int) -> None:
    """Record a commit index that the leader names; it never decreases."""
    replica.leader_commit_index = max(replica.leader_commit_index, index)


def take_output(replica: Replica) -> Output:
    """Return the output so far and start a new one."""
    output, replica.output = replica.output, Output()
    return output


def get_durable_log(replica: Replica, output: Output) -> Log:
    """Return the log as it is on disk, without the changes of an output."""
    if output.durable_log is not None:
        return output.durable_log
    log = replica.log.copy()
    if output.entries:
        log.truncate(output.entries[0].log_index)
    return log


def retain_durable_log(replica: Replica) -> None:
    """Store a copy of the log on disk in the output, before entries are dropped."""
    replica.output.durable_log = get_durable_log(replica, replica.output)


def undo_output(
    replica: Replica, output: Output, hard_state: HardState, applied_index: int
) -> None:
    """Return to the state on disk after an output could not be saved.

    No message of the output was sent and nothing was applied, so this is as safe as a
    restart. ``hard_state`` is the saved one, ``applied_index`` the last applied index.
    """
    replica.log = get_durable_log(replica, output)
    replica.hard_state = hard_state
    replica.commit_index = applied_index


def set_hard_state(
    replica: Replica, term: int, voted_for: str, leader: str = ""
) -> None:
    """Set the term, vote and leader, to be saved before any message is sent."""
    hard_state = HardState(term, voted_for, leader)
    if hard_state != replica.hard_state:
        replica.hard_state = hard_state
        replica.output.hard_state = hard_state


def become_follower(replica: Replica, term: int, leader: str, now: float) -> None:
    """Become a follower in a term that is not older than the present one.

    ``leader`` is empty while the leader of the term is unknown.
    """
    if term > replica.hard_state.term:
        set_hard_state(replica, term, "")
    if replica.role != Role.FOLLOWER:
        reset_election_timer(replica, now)
    replica.role = Role.FOLLOWER
    replica.leader = leader
    replica.votes.clear()
    replica.waiting_members.clear()


def append_as_leader(replica: Replica, kind: EntryKind, payload: bytes) -> int:
    """Append an entry of the present term as its leader; return its index."""
    index = replica.log.last_index + 1
    entry = Entry(index, replica.hard_state.term, kind, payload)
    replica.log.append([entry])
    replica.output.entries.append(entry)
    return index
