"""Structured lines about the group of control nodes: members, votes, no leader."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ..consensus import Member, Replica, Role
from ..const import NEVER
from ..observe.lines import LineLog
from ..observe.metrics import Metrics

__all__ = ["GroupLines"]

NO_LEADER_INTERVAL_SECONDS: Final = 2.0
# Shortest interval between two lines about the same candidate.
REFUSAL_INTERVAL_SECONDS: Final = 0.2


class GroupLines:
    """Log each change of what a member believes about its group.

    While no leader is known, lines about it and about each other voter are logged each
    ``NO_LEADER_INTERVAL_SECONDS``.
    """

    def __init__(
        self,
        name: str,
        replica: Replica,
        lines: LineLog,
        metrics: Metrics,
        is_link_open: Callable[[str], bool],
    ) -> None:
        """Initialize for the replica of the group ``name``."""
        self._name = name
        self._replica = replica
        self._lines = lines
        self._metrics = metrics
        self._is_link_open = is_link_open
        self._role = ""
        self._leader_seen_at = NEVER
        self._no_leader_logged_at = NEVER
        self._members_index = -1
        self._are_members_committed = False
        self._snapshot_index = replica.log.snapshot.log_index
        self._waiting: dict[str, str] = {}
        self._refusals: dict[str, tuple[str, float]] = {}
        self._wanted: dict[str, str] = {}

    def tick(self, now: float) -> None:
        """Log what has changed since the last tick; ``now`` is in seconds."""
        self._log_members()
        self._log_snapshot()
        self._log_waiting_members()
        self._log_vote_refusals(now)
        self._log_other_identities()
        self._log_role()
        self._log_missing_leader(now)

    def _log_members(self) -> None:
        """Log a new configuration, and that it is committed."""
        log = self._replica.log
        is_committed = log.configuration_index <= self._replica.commit_index
        state = (log.configuration_index, is_committed)
        if state == (self._members_index, self._are_members_committed):
            return
        self._members_index, self._are_members_committed = state
        members = log.configuration
        self._lines.add(
            "members",
            voters=[member.name for member in members.voters],
            learners=[member.name for member in members.learners],
            log_index=log.configuration_index,
            committed=is_committed,
            term=self._replica.hard_state.term,
        )
        self._metrics.voters.labels(self._name).set(len(members.voters))
        self._metrics.learners.labels(self._name).set(len(members.learners))

    def _log_snapshot(self) -> None:
        """Log a snapshot that was saved or installed, and what the log holds now."""
        log = self._replica.log
        if log.snapshot.log_index == self._snapshot_index:
            return
        self._lines.add(
            "snapshot",
            log_index=log.snapshot.log_index,
            entries=log.snapshot.log_index - self._snapshot_index,
            bytes=len(log.snapshot.payload),
            later_entries=log.last_index - log.snapshot.log_index,
            later_bytes=log.payload_bytes,
        )
        self._snapshot_index = log.snapshot.log_index

    def _log_waiting_members(self) -> None:
        """Log a member that asks to join, and one that is no longer waited for."""
        waiting = self._replica.waiting_members
        if len(waiting) == len(self._waiting) and all(
            self._waiting.get(name) == asked.member.identity
            for name, asked in waiting.items()
        ):
            return
        current = {name: asked.member.identity for name, asked in waiting.items()}
        for name, identity in current.items():
            if self._waiting.get(name) != identity:
                self._lines.add("join-asked", member=name, identity=identity)
        for name in self._waiting.keys() - current.keys():
            self._lines.add("join-ended", member=name)
        self._waiting = current

    def _log_vote_refusals(self, now: float) -> None:
        """Log the answer to a candidate's latest request, if it has changed."""
        refusals = self._replica.vote_refusals
        if self._refusals.keys() - refusals.keys():
            self._refusals.clear()
        for name, refusal in refusals.items():
            logged, logged_at = self._refusals.get(name, ("unknown", NEVER))
            if refusal == logged or now - logged_at < REFUSAL_INTERVAL_SECONDS:
                continue
            self._refusals[name] = (refusal, now)
            self._lines.add(
                "vote-refused" if refusal else "vote-granted",
                candidate=name,
                term=self._replica.hard_state.term,
                log_index=self._replica.log.last_index,
                detail=refusal,
            )

    def _log_other_identities(self) -> None:
        """Log that a peer's messages are meant for another identity of this member."""
        own = self._replica.me.identity
        for name, contact in self._replica.contacts.items():
            wanted = contact.wanted_identity
            if wanted == own:
                self._wanted.pop(name, None)
            elif wanted not in ("", self._wanted.get(name)):
                self._wanted[name] = wanted
                self._lines.add(
                    "identity-unknown",
                    member=name,
                    member_identity=contact.identity,
                    wanted=wanted,
                    identity=own,
                )

    def _log_role(self) -> None:
        """Log a change of the role."""
        replica = self._replica
        if replica.role == self._role:
            return
        self._role = replica.role
        self._lines.add(
            "role",
            role=replica.role,
            term=replica.hard_state.term,
            leader=replica.leader,
        )

    def _log_missing_leader(self, now: float) -> None:
        """Log repeatedly that no leader is known, and the votes of a candidate."""
        replica = self._replica
        if replica.leader:
            self._leader_seen_at = now
            return
        if self._leader_seen_at == NEVER:
            self._leader_seen_at = now
        missing = now - self._leader_seen_at
        is_due = now - self._no_leader_logged_at >= NO_LEADER_INTERVAL_SECONDS
        if missing < NO_LEADER_INTERVAL_SECONDS or not is_due:
            return
        self._no_leader_logged_at = now
        self._lines.add(
            "no-leader",
            seconds=round(missing, 1),
            role=replica.role,
            term=replica.hard_state.term,
            log_index=replica.log.last_index,
            log_term=replica.log.last_term,
            members_index=replica.log.configuration_index,
            identity=replica.me.identity,
            votes=sorted(replica.votes) if replica.role == Role.CANDIDATE else "",
            needed=replica.configuration.quorum,
        )
        for voter in replica.configuration.voters:
            if voter != replica.me:
                self._log_voter(voter, now)

    def _log_voter(self, voter: Member, now: float) -> None:
        """Log a voter that does not make a leader possible, and its last message."""
        contact = self._replica.contacts.get(voter.name)
        self._lines.add(
            "voter",
            voter=voter.name,
            voter_identity=voter.identity,
            link="open" if self._is_link_open(voter.name) else "closed",
            heard=round(now - contact.heard_at, 2) if contact else "",
            heard_identity=contact.identity if contact else "",
            vote=contact.vote if contact else "",
        )
