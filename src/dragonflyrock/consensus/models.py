"""Records of the replicated log and messages between its members."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum, StrEnum
from typing import NamedTuple

__all__ = [
    "AppendAnswer",
    "AppendRequest",
    "Configuration",
    "Entry",
    "EntryKind",
    "HardState",
    "JoinRequest",
    "Member",
    "Message",
    "Role",
    "SnapshotImage",
    "SnapshotRequest",
    "StoredEntry",
    "TakeOver",
    "Timing",
    "VoteAnswer",
    "VoteRequest",
]


class EntryKind(IntEnum):
    """The kind of a log entry's payload."""

    NOOP = 0
    COMMAND = 1
    CONFIGURATION = 2


class Role(StrEnum):
    """The role of a member in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Member(NamedTuple):
    """A member of the group; each new data folder gets a new identity."""

    name: str
    identity: str


class Configuration(NamedTuple):
    """The members of a group: voters, and learners that only replicate the log."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    def find(self, name: str) -> Member | None:
        """Return the member with the name, or None."""
        for member in self.voters + self.learners:
            if member.name == name:
                return member
        return None

    def has_voter(self, name: str) -> bool:
        """Return whether a voter has the name."""
        return any(voter.name == name for voter in self.voters)

    @property
    def quorum(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters) // 2 + 1


class Entry(NamedTuple):
    """One entry of the log."""

    log_index: int
    term: int
    kind: EntryKind
    payload: bytes


class StoredEntry(NamedTuple):
    """An entry of the log whose payload stays on disk until ``load`` reads it."""

    log_index: int
    term: int
    kind: EntryKind
    payload_bytes: int
    load: Callable[[], Entry]


class HardState(NamedTuple):
    """The state that a member must save before it answers.

    ``leader`` is the leader that it acknowledged in the term, which may be itself.
    """

    term: int = 0
    voted_for: str = ""
    leader: str = ""


class SnapshotImage(NamedTuple):
    """A snapshot of the state machine after the entry at ``log_index``."""

    log_index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()
    payload: bytes = b""


class Timing(NamedTuple):
    """Timeouts of a group in seconds.

    ``drift`` is the allowed clock drift as a fraction of a timeout. With
    ``push_commit_index`` the leader sends a new commit index at the next tick instead
    of with the next entry or heartbeat.
    """

    heartbeat: float = 0.1
    election_min: float = 0.3
    election_max: float = 0.6
    drift: float = 0.02
    push_commit_index: bool = False

    @classmethod
    def from_ms(
        cls,
        heartbeat: float,
        election_min: float,
        election_max: float,
        drift_percent: float = 2.0,
    ) -> Timing:
        """Return the timing from milliseconds and a drift in percent."""
        return cls(
            heartbeat / 1000,
            election_min / 1000,
            election_max / 1000,
            drift_percent / 100,
        )


class VoteRequest(NamedTuple):
    """Request a vote, or with ``pre_vote`` ask whether it would be granted.

    ``forming`` marks the first election of a group, when all logs are empty.
    ``transfer`` marks an election that the leader asked for.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    forming: bool
    transfer: bool = False


class VoteAnswer(NamedTuple):
    """Answer a vote request.

    ``term`` is the term of the request if the vote is granted, else that of the voter.
    ``refusal`` is the reason of a refusal; a former build names none.
    """

    term: int
    granted: bool
    pre_vote: bool
    forming: bool
    refusal: str = ""


class AppendRequest(NamedTuple):
    """Replicate entries; without entries it is a heartbeat.

    ``sent_at`` is the leader's clock in seconds, which the answer repeats.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at: float


class AppendAnswer(NamedTuple):
    """Acknowledge entries up to ``match_index``, or reject the request.

    In a rejection ``match_index`` is a hint: the leader should continue after it.
    """

    term: int
    success: bool
    match_index: int
    sent_at: float


class SnapshotRequest(NamedTuple):
    """Send the snapshot to a member that needs entries which were compacted."""

    term: int
    snapshot: SnapshotImage
    sent_at: float


class JoinRequest(NamedTuple):
    """Ask to be added to the group.

    ``name`` is the name of the member if another member forwards its request.
    """

    identity: str
    name: str = ""


class TakeOver(NamedTuple):
    """Ask a voter to start an election at once, for a leadership transfer."""

    term: int


Message = (
    VoteRequest
    | VoteAnswer
    | AppendRequest
    | AppendAnswer
    | SnapshotRequest
    | JoinRequest
    | TakeOver
)
