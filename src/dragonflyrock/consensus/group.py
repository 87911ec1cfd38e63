"""A member of a replicated group: its replica, data folder and state machine."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Final, NamedTuple, Protocol

from ..codec import CodecError
from ..const import NEVER
from .contacts import record_contact
from .files import Files
from .log import Log
from .membership import step_down
from .models import (
    EntryKind,
    Member,
    Message,
    Role,
    SnapshotImage,
    TakeOver,
    Timing,
)
from .replica import (
    AddressedMessage,
    Output,
    Replica,
    become_follower,
    make_replica,
    reset_election_timer,
    take_output,
    undo_output,
)
from .replication import propose, replicate
from .step import observe, receive, tick
from .storage import Storage, StorageError, open_storage

__all__ = ["Group", "StateMachine", "open_group"]

_LOGGER = logging.getLogger(__name__)

DEFAULT_SNAPSHOT_ENTRIES: Final = 400
# Commands of this size are replaced by a snapshot, however few they are. Fewer bytes
# than the snapshot itself has are not: it would be written more often than they.
SNAPSHOT_LOG_BYTES: Final = 8 * 1024 * 1024
# Commands that are applied between two passes of the caller's loop.
MAX_APPLIED_BYTES_PER_FLUSH: Final = 4 * 1024 * 1024
# A leader accepts no command while so many bytes are not committed.
MAX_UNCOMMITTED_BYTES: Final = 32 * 1024 * 1024
# Delay before a disk that refused a write is tried again.
DISK_RETRY_SECONDS: Final = 0.5
# Delay before a snapshot that could not be saved is tried again.
SNAPSHOT_RETRY_SECONDS: Final = 5.0


class StateMachine(Protocol):
    """The state machine that a group replicates; it must be deterministic."""

    def apply(self, index: int, payload: bytes) -> object:
        """Apply the command of the entry at ``index`` and return its result.

        Raise ``CodecError``, without any change, for a command of a newer version.
        """

    def dump(self) -> bytes:
        """Return an encoded snapshot of the state."""

    def load(self, payload: bytes) -> None:
        """Replace the state by a snapshot; empty bytes stand for the initial state.

        Raise ``CodecError``, without any change, for a snapshot of a newer version.
        """


class PendingProposal(NamedTuple):
    """The callback for the result of an entry that was proposed in ``term``."""

    term: int
    notify: Callable[[object], None]


class Group:
    """Run a replica: save its output before sending, apply entries, take snapshots.

    While its disk refuses writes, a member steps down and only records who the leader
    is. It does not acknowledge entries, vote or stand for election.

    A member stops applying at a command of a newer version, since skipping it would
    make its state differ from the other members'. It continues to save, acknowledge and
    vote, but does not lead, until a newer version starts from its data folder.

    ``disk_error`` and ``apply_error`` are empty while there is no such error.
    ``caught_up_at`` is the last time at which this member had applied all that its
    leader had named as committed.
    """

    def __init__(
        self,
        name: str,
        replica: Replica,
        storage: Storage,
        machine: StateMachine,
        snapshot_entries: int = DEFAULT_SNAPSHOT_ENTRIES,
    ) -> None:
        """Load the log's snapshot into the state machine."""
        self.name = name
        self.replica = replica
        self.machine = machine
        self.applied_index = replica.log.snapshot.log_index
        self.disk_error = ""
        self.disk_failures = 0
        self.apply_error = ""
        self.caught_up_at = NEVER
        self._next_disk_retry_at = NEVER
        self._next_snapshot_at = NEVER
        self._storage = storage
        self._snapshot_entries = snapshot_entries
        self._pending_proposals: dict[int, PendingProposal] = {}
        self._load_snapshot(replica.log.snapshot)

    @property
    def is_degraded(self) -> bool:
        """Return whether this member cannot apply what the group commits."""
        return bool(self.disk_error or self.apply_error)

    @property
    def sync_count(self) -> int:
        """Return the number of log syncs since the start."""
        return self._storage.sync_count

    def is_settled_leader(self, now: float) -> bool:
        """Return whether this leader may answer from its state machine and act on it.

        It must also have applied all entries of earlier terms.
        """
        replica = self.replica
        is_current = self.applied_index >= replica.term_start_index
        return is_current and replica.is_settled_leader(now)

    def receive(
        self, sender: Member, recipient_identity: str, message: Message, now: float
    ) -> None:
        """Handle a message, unless it is for another identity of this member."""
        record_contact(self.replica, sender, recipient_identity, message, now)
        if recipient_identity not in ("", self.replica.me.identity):
            return
        if self.disk_error:
            observe(self.replica, sender, message, now)
        elif not (self.apply_error and isinstance(message, TakeOver)):
            receive(self.replica, sender, message, now)

    def propose(self, payload: bytes, notify: Callable[[object], None]) -> bool:
        """Propose a command; return whether this leader has taken it.

        It is not taken by a member that does not lead, or by a leader whose log has too
        many bytes that are not committed. ``notify`` is called with the result, or with
        None if the leadership was lost before the result was known.
        """
        log = self.replica.log
        waiting = log.count_bytes(self.replica.commit_index, log.last_index)
        if waiting + len(payload) > MAX_UNCOMMITTED_BYTES and waiting:
            return False
        index = propose(self.replica, payload)
        if index is None:
            return False
        replaced = self._pending_proposals.pop(index, None)
        if replaced is not None:
            # Its entry was lost together with an earlier leadership.
            replaced.notify(None)
        self._pending_proposals[index] = PendingProposal(
            self.replica.hard_state.term, notify
        )
        return True

    def tick(self, now: float) -> None:
        """Run what is due: timeouts, membership changes and heartbeats."""
        if not self.is_degraded:
            tick(self.replica, now)

    def flush(self, now: float) -> list[AddressedMessage]:
        """Save the pending output, apply entries, and return the messages to send."""
        if self.disk_error:
            self._retry_disk(now)
        replicate(self.replica, now)
        output = take_output(self.replica)
        if not self._persist(output, now):
            # The output was not saved, so its messages must not be sent, only those
            # of the step-down.
            return take_output(self.replica).messages
        if output.snapshot is not None:
            self._install_snapshot(output.snapshot)
        self._apply(now)
        self._record_progress(now)
        self._fail_pending_proposals()
        self._compact(now)
        return output.messages

    def _persist(self, output: Output, now: float) -> bool:
        """Save an output; return whether the disk accepted it.

        If not, the replica returns to the state on disk.
        """
        try:
            self._storage.write(output)
        except StorageError as error:
            self._handle_disk_failure(output, error, now)
            return False
        return True

    def _handle_disk_failure(
        self, output: Output, error: StorageError, now: float
    ) -> None:
        """Undo the output that could not be saved, and step down."""
        replica = self.replica
        self.disk_error = str(error)
        self.disk_failures += 1
        self._next_disk_retry_at = now + DISK_RETRY_SECONDS
        undo_output(replica, output, self._storage.hard_state, self.applied_index)
        step_down(replica, now)
        leader = replica.leader if replica.role == Role.FOLLOWER else ""
        become_follower(replica, replica.hard_state.term, leader, now)
        self._fail_pending_proposals()
        last_index = replica.log.last_index
        _LOGGER.error(
            "%s: disk failed at log index %d: %s", self.name, last_index, error
        )

    def _retry_disk(self, now: float) -> None:
        """Try to recover the disk after the retry delay, and take part again."""
        if now < self._next_disk_retry_at:
            return
        try:
            self._storage.recover()
        except StorageError as error:
            self.disk_error = str(error)
            self.disk_failures += 1
            self._next_disk_retry_at = now + DISK_RETRY_SECONDS
            return
        self.disk_error = ""
        # A due snapshot may free space on the disk, so it is not delayed.
        self._next_snapshot_at = now
        reset_election_timer(self.replica, now)
        last_index = self.replica.log.last_index
        _LOGGER.warning("%s: disk recovered at log index %d", self.name, last_index)

    def close(self) -> None:
        """Close the data folder."""
        self._storage.close()

    def _install_snapshot(self, snapshot: SnapshotImage) -> None:
        """Replace the state by the leader's snapshot."""
        _LOGGER.info(
            "%s: installed snapshot at log index %d", self.name, snapshot.log_index
        )
        self._load_snapshot(snapshot)

    def _load_snapshot(self, snapshot: SnapshotImage) -> None:
        """Load a snapshot into the state machine.

        If the snapshot is of a newer version, applying stops.
        """
        self.applied_index = snapshot.log_index
        self.apply_error = ""
        try:
            self.machine.load(snapshot.payload)
        except CodecError as error:
            self._stop_applying(error)

    def _stop_applying(self, error: CodecError) -> None:
        """Apply no more entries, since this needs a newer version."""
        self.apply_error = str(error)
        index = self.applied_index
        _LOGGER.error(
            "%s: stopped applying after log index %d: %s", self.name, index, error
        )

    def _apply(self, now: float) -> None:
        """Apply committed entries and notify their proposers of the results.

        The rest is applied at the next flush if there is much of it, so that a member
        with a long log answers in between.
        """
        log = self.replica.log
        began_at = self.applied_index
        while self.applied_index < self.replica.commit_index and not self.apply_error:
            entry = log.entries_from(self.applied_index + 1, 1)[0]
            result: object = None
            if entry.kind == EntryKind.COMMAND:
                try:
                    result = self.machine.apply(entry.log_index, entry.payload)
                except CodecError as error:
                    self._stop_applying(error)
                    step_down(self.replica, now)
                    return
            self.applied_index = entry.log_index
            pending = self._pending_proposals.pop(entry.log_index, None)
            if pending is not None:
                pending.notify(result if pending.term == entry.term else None)
            if log.count_bytes(began_at, entry.log_index) > MAX_APPLIED_BYTES_PER_FLUSH:
                return

    def _record_progress(self, now: float) -> None:
        """Record the time if all entries are applied that are known to be committed."""
        replica = self.replica
        if (
            replica.has_seen_leader
            and self.applied_index >= replica.leader_commit_index
        ):
            self.caught_up_at = now

    def _fail_pending_proposals(self) -> None:
        """Notify all proposers with None when this member is no longer the leader.

        Their entries may still be committed.
        """
        if self.replica.role == Role.LEADER or not self._pending_proposals:
            return
        failed = list(self._pending_proposals.values())
        self._pending_proposals.clear()
        for pending in failed:
            pending.notify(None)

    def _is_snapshot_due(self) -> bool:
        """Return whether enough was applied since the last snapshot.

        Few entries with many bytes are enough too, unless what a snapshot would leave
        in the log, which is written again with it, or the snapshot itself is larger.
        """
        log = self.replica.log
        first = log.snapshot.log_index
        if self.applied_index - first >= self._snapshot_entries:
            return True
        applied_bytes = log.count_bytes(first, self.applied_index)
        later_bytes = log.count_bytes(self.applied_index, log.last_index)
        snapshot_bytes = len(log.snapshot.payload)
        return applied_bytes >= max(SNAPSHOT_LOG_BYTES, snapshot_bytes, later_bytes)

    def _compact(self, now: float) -> None:
        """Take a snapshot if it is due.

        If it cannot be saved, it is tried again later, and the log grows until then.
        """
        if not self._is_snapshot_due():
            return
        if self.is_degraded or now < self._next_snapshot_at:
            return
        log = self.replica.log
        term = log.term_at(self.applied_index)
        assert term is not None
        configuration = log.configuration_at(self.applied_index)
        snapshot = SnapshotImage(
            self.applied_index, term, configuration, self.machine.dump()
        )
        later_entries = log.iterate_from(self.applied_index + 1)
        try:
            self._storage.save_snapshot(snapshot, later_entries)
        except StorageError as error:
            self._next_snapshot_at = now + SNAPSHOT_RETRY_SECONDS
            _LOGGER.warning(
                "%s: cannot save snapshot at log index %d: %s",
                self.name,
                self.applied_index,
                error,
            )
            if self._storage.is_broken:
                self._handle_disk_failure(Output(), error, now)
            return
        log.compact(snapshot)
        _LOGGER.debug(
            "%s: saved snapshot at log index %d", self.name, snapshot.log_index
        )


def open_group(
    name: str,
    host: str,
    folder: Path,
    initial_voters: tuple[str, ...],
    timing: Timing,
    random: Random,
    machine: StateMachine,
    now: float,
    snapshot_entries: int = DEFAULT_SNAPSHOT_ENTRIES,
    began_at: float | None = None,
    files: Files | None = None,
) -> Group:
    """Open the data folder of a group and return its member on this host.

    ``began_at`` is a time since which no earlier process can have used the folder.
    Raise ``StorageError`` if the folder cannot be read or is damaged.
    """
    storage, recovered = open_storage(folder, files)
    if recovered.torn_bytes:
        _LOGGER.warning(
            "%s: removed a torn write of %d bytes", name, recovered.torn_bytes
        )
    log = Log(recovered.snapshot)
    log.append(recovered.entries)
    me = Member(host, recovered.identity)
    replica = make_replica(
        me, initial_voters, timing, random, log, recovered.hard_state, now, began_at
    )
    _LOGGER.info(
        "%s: started from the snapshot at log index %d and %d entries",
        name,
        recovered.snapshot.log_index,
        len(recovered.entries),
    )
    return Group(name, replica, storage, machine, snapshot_entries)
