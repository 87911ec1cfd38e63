"""Records of the replicated log and the messages between its members."""

from __future__ import annotations

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
    "TakeOver",
    "Timing",
    "VoteAnswer",
    "VoteRequest",
]


class EntryKind(IntEnum):
    """What an entry of the log holds."""

    NOOP = 0
    COMMAND = 1
    CONFIGURATION = 2


class Role(StrEnum):
    """The part that a member plays in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Member(NamedTuple):
    """A member of the group; the identity is made anew with each data folder."""

    name: str
    identity: str


class Configuration(NamedTuple):
    """The members of a group: those that vote and those that only learn."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    def find(self, name: str) -> Member | None:
        """Return the member of that name."""
        for member in self.voters + self.learners:
            if member.name == name:
                return member
        return None

    def has_voter(self, name: str) -> bool:
        """Return whether the name is a voter's."""
        return any(voter.name == name for voter in self.voters)

    @property
    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.voters) // 2 + 1


class Entry(NamedTuple):
    """One entry of the log."""

    log_index: int
    term: int
    kind: EntryKind
    payload: bytes


class HardState(NamedTuple):
    """What a member must remember of its votes and promises.

    ``leader`` is whom it has acknowledged, or been, as the leader of the term.
    """

    term: int = 0
    voted_for: str = ""
    leader: str = ""


class SnapshotImage(NamedTuple):
    """The state machine's image after the entry at ``index``."""

    log_index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()
    payload: bytes = b""


class Timing(NamedTuple):
    """Time-outs of a group, in seconds; ``drift`` is a share of each of them.

    With ``tells_commits`` followers hear at the next tick what was committed, and
    not with the next entry or heartbeat.
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
        """Return time-outs given in milliseconds."""
        return cls(
            heartbeat / 1000,
            election_min / 1000,
            election_max / 1000,
            drift_percent / 100,
        )


class VoteRequest(NamedTuple):
    """Ask for a vote, or with ``pre`` whether a vote would be given.

    ``forming`` marks the first election of a group whose logs are all empty.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    forming: bool
    transfer: bool = False


class VoteAnswer(NamedTuple):
    """Answer a vote request; ``term`` is the request's when it is granted."""

    term: int
    granted: bool
    pre_vote: bool
    forming: bool


class AppendRequest(NamedTuple):
    """Replicate entries and, when empty, keep the followers' timers from firing.

    ``sent_at`` is the leader's clock in seconds; the answer echoes it.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    sent_at: float


class AppendAnswer(NamedTuple):
    """Acknowledge entries up to ``match_index``, or reject with a hint."""

    term: int
    success: bool
    match_index: int
    sent_at: float


class SnapshotRequest(NamedTuple):
    """Bring a member up to date whose entries have been compacted away."""

    term: int
    snapshot: SnapshotImage
    sent_at: float


class JoinRequest(NamedTuple):
    """Tell the group that a member with an empty log is waiting.

    ``name`` is the member's where another one passes the request on.
    """

    identity: str
    name: str = ""


class TakeOver(NamedTuple):
    """Ask a caught-up voter to stand for election at once."""

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
