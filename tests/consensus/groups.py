"""Groups with data folders on disks that refuse bytes, on a paused clock."""

from __future__ import annotations

import errno
from pathlib import Path
from random import Random
from typing import BinaryIO, Final

from dragonflyrock.consensus import Group, Role, Timing, open_group
from dragonflyrock.consensus.files import Files

from .common import QueuedMessage

TICK: Final = 0.02
DELAY: Final = 0.005


class FaultyFiles(Files):
    """The files of a disk that may be full, or fail at any operation.

    ``room`` is how many more bytes it takes; None stands for plenty. ``fails`` are
    operations, by their names, that fail with an I/O error.
    """

    def __init__(self) -> None:
        """Start without a fault."""
        self.free_bytes: int | None = None
        self.failing_operations: set[str] = set()

    def append(self, file: BinaryIO, data: bytes) -> None:
        """Write what there is room for, then fail."""
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
        """Sync, or fail after the bytes were written."""
        self._check("sync")
        super().sync(file)

    def cut(self, path: Path, size: int) -> None:
        """Give back the room that is cut off."""
        self._check("cut")
        freed = path.stat().st_size - size
        super().cut(path, size)
        if self.free_bytes is not None:
            self.free_bytes += freed

    def rename(self, old: Path, new: Path) -> None:
        """Rename, or fail."""
        self._check("rename")
        super().rename(old, new)

    def sync_folder(self, path: Path) -> None:
        """Sync names, or fail after they were changed."""
        self._check("sync_folder")
        super().sync_folder(path)

    def _check(self, name: str) -> None:
        """Fail where the operation is to fail."""
        if name in self.failing_operations:
            raise OSError(errno.EIO, "Input/output error")


class RecordingMachine:
    """A state machine: the commands that were applied, in order."""

    def __init__(self) -> None:
        """Start empty."""
        self.commands: list[bytes] = []

    def apply(self, index: int, payload: bytes) -> object:
        """Add a command."""
        self.commands.append(payload)
        return index

    def dump(self) -> bytes:
        """Return the commands."""
        return b"\n".join(self.commands)

    def load(self, payload: bytes) -> None:
        """Replace the commands."""
        self.commands = payload.split(b"\n") if payload else []


class Fleet:
    """Groups by name; time passes only by ``run``."""

    def __init__(self, folder: Path, names: str, seed: int, snapshots: int = 400):
        """Start one member for each letter of the names."""
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
        self.machines[name] = RecordingMachine()
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
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK
            self._deliver()
            for name, group in self.groups.items():
                group.tick(self.now)
                self._flush(name)

    def settle(self, seconds: float = 5.0) -> str:
        """Run until there is one settled leader and return its name."""
        until = self.now + seconds
        while self.now < until:
            self.run(TICK)
            name = self.leader()
            if name:
                return name
        raise AssertionError("no leader was elected")

    def leader(self) -> str:
        """Return the settled leader's name, or none."""
        for name, group in self.groups.items():
            if group.is_settled_leader(self.now):
                return name
        return ""

    def propose(self, payload: bytes, name: str = "") -> None:
        """Propose a command to a member or to the leader, and note its end."""
        name = name or self.leader()

        def notify(result: object) -> None:
            ends = self.refused if result is None else self.acknowledged
            ends.append(payload)

        if not name or not self.groups[name].propose(payload, notify):
            self.refused.append(payload)
            return
        self._flush(name)

    def close(self) -> None:
        """Close all folders."""
        for group in self.groups.values():
            group.close()

    def leading(self) -> list[str]:
        """Return who takes itself for the leader."""
        return [
            name
            for name, group in self.groups.items()
            if group.replica.role == Role.LEADER
        ]

    def _flush(self, name: str) -> None:
        """Flush a member, and put its messages under way."""
        group = self.groups[name]
        for item in group.flush(self.now):
            self._sequence += 1
            queued = QueuedMessage(
                self.now + DELAY,
                self._sequence,
                group.replica.me,
                item.peer,
                item.identity,
                item.message,
            )
            self.sent.append(queued)
            if not {name, item.peer} & self.isolated:
                self._queue.append(queued)

    def _deliver(self) -> None:
        """Hand over the messages whose time has come."""
        due = sorted(queued for queued in self._queue if queued.deliver_at <= self.now)
        self._queue = [queued for queued in self._queue if queued.deliver_at > self.now]
        for queued in due:
            group = self.groups[queued.peer]
            group.receive(queued.sender, queued.identity, queued.message, self.now)
            self._flush(queued.peer)
