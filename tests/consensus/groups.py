"""Groups with data folders on simulated faulty disks and a manual clock."""

from __future__ import annotations

import errno
from pathlib import Path
from random import Random
from typing import BinaryIO, Final

from dragonflyrock.consensus import Group, Role, Timing, open_group
from dragonflyrock.consensus.files import Files

from .common import QueuedMessage

TICK_SECONDS: Final = 0.02
DELAY_SECONDS: Final = 0.005


class FaultyFiles(Files):
    """Files on a disk that may be full or fail at any operation.

    ``free_bytes`` is the free space; None is unlimited. ``failing_operations`` are the
    names of operations that fail with an I/O error.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.free_bytes: int | None = None
        self.failing_operations: set[str] = set()

    def append(self, file: BinaryIO, data: bytes) -> None:
        """Write the data, or as much as there is space for and then fail."""
        self._check("append")
        if self.free_bytes is None or len(data) <= self.free_bytes:
            super().append(file, data)
            if self.free_bytes is not None:
                self.free_bytes -= len(data)
            return
        super().append(file, data[: self.free_bytes])
        self.free_bytes = 0
        raise OSError(errno.ENOSPC, "No space left on device")

    def sync(self, file: BinaryIO) -> None:
        """Sync a file, or fail with its bytes written."""
        self._check("sync")
        super().sync(file)

    def cut(self, path: Path, size: int) -> None:
        """Truncate a file and free the space."""
        self._check("cut")
        freed = path.stat().st_size - size
        super().cut(path, size)
        if self.free_bytes is not None:
            self.free_bytes += freed

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file, or fail."""
        self._check("rename")
        super().rename(old, new)

    def sync_folder(self, path: Path) -> None:
        """Sync a folder, or fail with its names changed."""
        self._check("sync_folder")
        super().sync_folder(path)

    def _check(self, name: str) -> None:
        """Raise an I/O error if the operation must fail."""
        if name in self.failing_operations:
            raise OSError(errno.EIO, "Input/output error")


class RecordingMachine:
    """A state machine that records the applied commands in order."""

    def __init__(self) -> None:
        """Start empty."""
        self.commands: list[bytes] = []

    def apply(self, index: int, payload: bytes) -> object:
        """Record a command and return its index."""
        self.commands.append(payload)
        return index

    def dump(self) -> bytes:
        """Return the commands as a snapshot."""
        return b"\n".join(self.commands)

    def load(self, payload: bytes) -> None:
        """Replace the commands by those of a snapshot."""
        self.commands = payload.split(b"\n") if payload else []


class Fleet:
    """The members of one group, by name; time advances only in ``run``.

    ``acknowledged`` and ``refused`` are the commands by the outcome of their proposals.
    """

    def __init__(
        self,
        folder: Path,
        names: str,
        seed: int,
        snapshots: int = 400,
        machine_type: type[RecordingMachine] = RecordingMachine,
    ):
        """Start one member for each letter of ``names``."""
        self._machine_type = machine_type
        self.now = 0.0
        self.random = Random(seed)
        self.folder = folder
        self.names = tuple(names)
        self.disks: dict[str, FaultyFiles] = {}
        self.groups: dict[str, Group] = {}
        self.machines: dict[str, RecordingMachine] = {}
        self.acknowledged: list[bytes] = []
        self.refused: list[bytes] = []
        self.isolated: set[str] = set()
        self.sent: list[QueuedMessage] = []
        self._snapshots = snapshots
        self._queue: list[QueuedMessage] = []
        self._sequence = 0
        for name in names:
            self.disks[name] = FaultyFiles()
            self.start(name)

    def start(self, name: str) -> None:
        """Start, or restart, a member from its folder."""
        if name in self.groups:
            self.groups[name].close()
        self.machines[name] = self._machine_type()
        self.groups[name] = open_group(
            "group",
            name,
            self.folder / name,
            self.names,
            Timing(),
            self.random,
            self.machines[name],
            self.now,
            self._snapshots,
            files=self.disks[name],
        )

    def run(self, seconds: float) -> None:
        """Advance the time, deliver messages and tick the members."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            self._deliver()
            for name, group in self.groups.items():
                group.tick(self.now)
                self._flush(name)

    def wait_for_leader(self, seconds: float = 5.0) -> str:
        """Run until there is a settled leader and return its name."""
        until = self.now + seconds
        while self.now < until:
            self.run(TICK_SECONDS)
            name = self.leader()
            if name:
                return name
        raise AssertionError("no leader was elected")

    def leader(self) -> str:
        """Return the settled leader's name, or an empty name."""
        for name, group in self.groups.items():
            if group.is_settled_leader(self.now):
                return name
        return ""

    def propose(self, payload: bytes, name: str = "") -> None:
        """Propose a command to a member or the leader, and record the outcome."""
        name = name or self.leader()

        def notify(result: object) -> None:
            outcome = self.refused if result is None else self.acknowledged
            outcome.append(payload)

        if not name or not self.groups[name].propose(payload, notify):
            self.refused.append(payload)
            return
        self._flush(name)

    def close(self) -> None:
        """Close all data folders."""
        for group in self.groups.values():
            group.close()

    def find_leaders(self) -> list[str]:
        """Return the members that consider themselves the leader."""
        return [
            name
            for name, group in self.groups.items()
            if group.replica.role == Role.LEADER
        ]

    def _flush(self, name: str) -> None:
        """Flush a member and queue its messages."""
        group = self.groups[name]
        for outgoing in group.flush(self.now):
            self._sequence += 1
            queued = QueuedMessage(
                self.now + DELAY_SECONDS,
                self._sequence,
                group.replica.me,
                outgoing.peer,
                outgoing.identity,
                outgoing.message,
            )
            self.sent.append(queued)
            if not {name, outgoing.peer} & self.isolated:
                self._queue.append(queued)

    def _deliver(self) -> None:
        """Deliver the messages that are due."""
        due = sorted(queued for queued in self._queue if queued.deliver_at <= self.now)
        self._queue = [queued for queued in self._queue if queued.deliver_at > self.now]
        for queued in due:
            group = self.groups[queued.peer]
            group.receive(queued.sender, queued.identity, queued.message, self.now)
            self._flush(queued.peer)
