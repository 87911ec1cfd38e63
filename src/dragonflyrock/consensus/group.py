"""One member of a replicated group: replica, data folder and state machine."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Final, NamedTuple, Protocol

from ..codec import CodecError
from .files import Files
from .log import Log
from .membership import step_down
from .models import (
    EntryKind,
    JoinRequest,
    Member,
    Message,
    Role,
    SnapshotImage,
    TakeOver,
    Timing,
    VoteAnswer,
    VoteRequest,
)
from .replica import (
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

__all__ = ["Group", "OutgoingMessage", "StateMachine", "open_group"]

_LOGGER = logging.getLogger(__name__)

DEFAULT_SNAPSHOT_ENTRIES: Final = 400
# Between two tries to write to a disk that refused it.
DISK_RETRY_SECONDS: Final = 0.5
# Between two tries of a snapshot for which there was no room.
SNAPSHOT_RETRY_SECONDS: Final = 5.0
NEVER: Final = float("-inf")


class StateMachine(Protocol):
    """What a group replicates; it must be deterministic."""

    def apply(self, index: int, payload: bytes) -> object:
        """Carry out the command of the entry at ``index`` and return its result.

        Raise ``CodecError``, with nothing changed, where it is of a newer form.
        """

    def dump(self) -> bytes:
        """Return an image of the state."""

    def load(self, payload: bytes) -> None:
        """Replace the state by an image; empty bytes stand for the first state.

        Raise ``CodecError``, with nothing changed, where it is of a newer form.
        """


class OutgoingMessage(NamedTuple):
    """A message to a member; an empty identity addresses whoever has the name."""

    peer: str
    identity: str
    message: Message


class PendingProposal(NamedTuple):
    """Who waits for the result of the entry that was proposed in ``term``."""

    term: int
    notify: Callable[[object], None]


class Group:
    """Drive a replica: persist before sending, apply in order, snapshot.

    While its disk refuses writes, a member gives up the lead, observes who leads and
    promises nothing: it neither acknowledges nor votes nor stands for election.

    A member that comes to a command of a newer form stops there: skipping it would make
    its state another one than the others'. It goes on saving, acknowledging and voting,
    but it does not lead, until a newer version starts from its disk.
    """

    def __init__(
        self,
        name: str,
        replica: Replica,
        storage: Storage,
        machine: StateMachine,
        snapshot_entries: int = DEFAULT_SNAPSHOT_ENTRIES,
    ) -> None:
        """Restore the state machine from the log's snapshot."""
        self.name = name
        self.replica = replica
        self.machine = machine
        self.applied_index = replica.log.snapshot.log_index
        self.disk_error = ""
        self.disk_failures = 0
        self.apply_error = ""
        self._next_disk_retry_at = NEVER
        self._next_snapshot_at = NEVER
        self._storage = storage
        self._snapshot_entries = snapshot_entries
        self._pending_proposals: dict[int, PendingProposal] = {}
        self._load_snapshot(replica.log.snapshot)

    @property
    def is_degraded(self) -> bool:
        """Return whether what is committed does not reach the state machine here."""
        return bool(self.disk_error or self.apply_error)

    @property
    def sync_count(self) -> int:
        """Return how many times the log was synced since the start."""
        return self._storage.sync_count

    def is_settled_leader(self, now: float) -> bool:
        """Return whether the state machine here is current and ours to act on."""
        replica = self.replica
        settled = self.applied_index >= replica.term_start_index
        return settled and replica.is_settled_leader(now)

    def receive(
        self, sender: Member, identity: str, message: Message, now: float
    ) -> None:
        """Take a message, unless it is meant for an earlier data folder."""
        if identity not in ("", self.replica.me.identity):
            return
        if self.disk_error:
            observe(self.replica, sender, message, now)
        elif not (self.apply_error and isinstance(message, TakeOver)):
            receive(self.replica, sender, message, now)

    def propose(self, payload: bytes, notify: Callable[[object], None]) -> bool:
        """Propose a command; ``notify`` gets its result, or None when it is lost."""
        index = propose(self.replica, payload)
        if index is None:
            return False
        self._pending_proposals[index] = PendingProposal(
            self.replica.hard_state.term, notify
        )
        return True

    def tick(self, now: float) -> None:
        """Let time pass."""
        if not self.is_degraded:
            tick(self.replica, now)

    def flush(self, now: float) -> list[OutgoingMessage]:
        """Persist all that has come together, apply, and return what to send."""
        if self.disk_error:
            self._retry_disk(now)
        replicate(self.replica, now)
        output = take_output(self.replica)
        if not self._persist(output, now):
            # Nothing that the output says may be sent, since it is not saved.
            return self._address_messages(take_output(self.replica))
        if output.snapshot is not None:
            self._install_snapshot(output.snapshot)
        self._apply(now)
        self._fail_pending_proposals()
        self._compact(now)
        return self._address_messages(output)

    def _address_messages(self, output: Output) -> list[OutgoingMessage]:
        """Return the messages of an output with the identities they are meant for."""
        return [
            OutgoingMessage(
                addressed.peer,
                self._get_recipient_identity(addressed.peer, addressed.message),
                addressed.message,
            )
            for addressed in output.messages
        ]

    def _persist(self, output: Output, now: float) -> bool:
        """Save an output; without it, go back to what is on disk."""
        try:
            self._storage.write(output)
        except StorageError as error:
            self._handle_disk_failure(output, error, now)
            return False
        return True

    def _handle_disk_failure(
        self, output: Output, error: StorageError, now: float
    ) -> None:
        """Undo what could not be saved, and give up the lead."""
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
        _LOGGER.error("%s: disk lost at index %d: %s", self.name, last_index, error)

    def _retry_disk(self, now: float) -> None:
        """Try the disk, not more often than its pace, and take part again."""
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
        # A snapshot that is due may be what makes room.
        self._next_snapshot_at = now
        reset_election_timer(self.replica, now)
        last_index = self.replica.log.last_index
        _LOGGER.warning("%s: disk regained at index %d", self.name, last_index)

    def close(self) -> None:
        """Close the data folder."""
        self._storage.close()

    def _get_recipient_identity(self, peer: str, message: Message) -> str:
        """Return the identity that the peer must have to take the message."""
        match message:
            case JoinRequest():
                return ""
            case VoteRequest(forming=True) | VoteAnswer(forming=True):
                return ""
        member = self.replica.configuration.find(peer)
        return member.identity if member else ""

    def _install_snapshot(self, snapshot: SnapshotImage) -> None:
        """Replace the state by a leader's snapshot."""
        _LOGGER.info("%s: installed snapshot %d", self.name, snapshot.log_index)
        self._load_snapshot(snapshot)

    def _load_snapshot(self, snapshot: SnapshotImage) -> None:
        """Set the state machine to an image, or stop where it is of a newer form."""
        self.applied_index = snapshot.log_index
        self.apply_error = ""
        try:
            self.machine.load(snapshot.payload)
        except CodecError as error:
            self._stop_applying(error)

    def _stop_applying(self, error: CodecError) -> None:
        """Note that only a newer version can go on from here."""
        self.apply_error = str(error)
        at = self.applied_index
        _LOGGER.error("%s: stopped after index %d: %s", self.name, at, error)

    def _apply(self, now: float) -> None:
        """Apply what is committed and tell whoever waits for it."""
        log = self.replica.log
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

    def _fail_pending_proposals(self) -> None:
        """Tell waiters when leadership was lost; their entries may still commit."""
        if self.replica.role == Role.LEADER or not self._pending_proposals:
            return
        failed = list(self._pending_proposals.values())
        self._pending_proposals.clear()
        for pending in failed:
            pending.notify(None)

    def _compact(self, now: float) -> None:
        """Take a snapshot every few hundred entries.

        Without room for it the log goes on, and the snapshot is tried again later.
        """
        log = self.replica.log
        if self.applied_index - log.snapshot.log_index < self._snapshot_entries:
            return
        if self.is_degraded or now < self._next_snapshot_at:
            return
        term = log.term_at(self.applied_index)
        assert term is not None
        configuration = log.configuration_at(self.applied_index)
        image = SnapshotImage(
            self.applied_index, term, configuration, self.machine.dump()
        )
        later_entries = log.entries_from(self.applied_index + 1, log.last_index)
        try:
            self._storage.save_snapshot(image, later_entries)
        except StorageError as error:
            self._next_snapshot_at = now + SNAPSHOT_RETRY_SECONDS
            _LOGGER.warning(
                "%s: no snapshot at %d: %s", self.name, self.applied_index, error
            )
            if self._storage.is_broken:
                self._handle_disk_failure(Output(), error, now)
            return
        log.compact(image)
        _LOGGER.debug("%s: snapshot at %d", self.name, image.log_index)


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
    """
    storage, recovered = open_storage(folder, files)
    if recovered.cut_bytes:
        _LOGGER.warning("%s: cut a torn tail: %d bytes", name, recovered.cut_bytes)
    log = Log(recovered.snapshot)
    log.append(recovered.entries)
    me = Member(host, recovered.identity)
    replica = make_replica(
        me, initial_voters, timing, random, log, recovered.hard_state, now, began_at
    )
    _LOGGER.info(
        "%s: start from snapshot %d and %d entries",
        name,
        recovered.snapshot.log_index,
        len(recovered.entries),
    )
    return Group(name, replica, storage, machine, snapshot_entries)
