"""The log in memory: the entries after the latest snapshot."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from itertools import islice

import msgspec

from .models import Configuration, Entry, EntryKind, SnapshotImage, StoredEntry

__all__ = ["Log", "decode_configuration", "encode_configuration", "load_entry"]

_DECODER = msgspec.msgpack.Decoder(Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the payload of a configuration entry."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(payload: bytes) -> Configuration:
    """Return the configuration in an entry's payload."""
    return _DECODER.decode(payload)


def load_entry(entry: Entry | StoredEntry) -> Entry:
    """Return an entry with its payload."""
    return entry if isinstance(entry, Entry) else entry.load()


class Log:
    """Entries after a snapshot, and the configurations among them.

    The payloads of some entries may be on disk; they are read at each use.

    >>> log = Log(SnapshotImage())
    >>> log.append([Entry(1, 1, EntryKind.NOOP, b"")])
    >>> log.last_index, log.term_at(1), log.term_at(9)
    (1, 1, None)
    """

    def __init__(self, snapshot: SnapshotImage) -> None:
        """Start with no entries after the snapshot."""
        self.snapshot = snapshot
        self._entries: list[Entry | StoredEntry] = []
        # For each entry, the bytes of all payloads up to it since the log was created.
        self._ends: list[int] = []
        self._compacted_bytes = 0
        self._configurations = [(snapshot.log_index, snapshot.configuration)]

    def copy(self) -> Log:
        """Return a log with the same entries."""
        copied = Log(self.snapshot)
        copied._entries = list(self._entries)
        copied._ends = list(self._ends)
        copied._compacted_bytes = self._compacted_bytes
        copied._configurations = list(self._configurations)
        return copied

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._entries[-1].log_index if self._entries else self.snapshot.log_index

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def payload_bytes(self) -> int:
        """Return the bytes of the payloads of all entries."""
        return self.count_bytes(self.snapshot.log_index, self.last_index)

    def count_bytes(self, after: int, up_to: int) -> int:
        """Return the bytes of the payloads after one index, up to another one."""
        return max(0, self._find_end(up_to) - self._find_end(after))

    def _find_end(self, index: int) -> int:
        """Return the bytes of all payloads up to an index since the log was created."""
        position = min(index - self.snapshot.log_index, len(self._ends))
        return self._ends[position - 1] if position > 0 else self._compacted_bytes

    @property
    def configuration(self) -> Configuration:
        """Return the latest configuration, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Return the index of the latest configuration."""
        return self._configurations[-1][0]

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration in force at an index."""
        return next(c for at, c in reversed(self._configurations) if at <= index)

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, or None if the log lacks it."""
        if index == self.snapshot.log_index:
            return self.snapshot.term
        offset = index - self.snapshot.log_index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def entries_from(
        self, index: int, limit: int, limit_bytes: int | None = None
    ) -> tuple[Entry, ...]:
        """Return up to ``limit`` entries from an index on.

        With ``limit_bytes`` their payloads have no more bytes, but for a single one.
        """
        offset = index - self.snapshot.log_index - 1
        end = offset + limit
        if limit_bytes is not None:
            end_bytes = self._find_end(index - 1) + limit_bytes
            fitting = bisect_right(self._ends, end_bytes, max(offset, 0))
            end = min(end, max(fitting, offset + 1))
        return tuple(map(load_entry, islice(self._entries, offset, end)))

    def iterate_from(self, index: int) -> Iterator[Entry]:
        """Yield all entries from an index on, reading one payload at a time."""
        offset = index - self.snapshot.log_index - 1
        return map(load_entry, self._entries[offset:])

    def append(self, entries: Iterable[Entry | StoredEntry]) -> None:
        """Append entries, which must follow the last one."""
        for entry in entries:
            self._ends.append(self._find_end(self.last_index) + _count_bytes(entry))
            self._entries.append(entry)
            if isinstance(entry, StoredEntry):
                continue
            if entry.kind == EntryKind.CONFIGURATION:
                configuration = decode_configuration(entry.payload)
                self._configurations.append((entry.log_index, configuration))

    def truncate(self, index: int) -> None:
        """Remove the entry at an index and all entries after it."""
        del self._entries[index - self.snapshot.log_index - 1 :]
        del self._ends[index - self.snapshot.log_index - 1 :]
        self._configurations = [c for c in self._configurations if c[0] < index]

    def compact(self, snapshot: SnapshotImage) -> None:
        """Replace the entries that a snapshot covers by the snapshot.

        If the log lacks the last entry that the snapshot covers, all entries are
        removed.
        """
        if self.term_at(snapshot.log_index) == snapshot.term:
            covered = snapshot.log_index - self.snapshot.log_index
        else:
            covered = len(self._entries)
        if covered:
            self._compacted_bytes = self._ends[covered - 1]
        del self._entries[:covered]
        del self._ends[:covered]
        later = [c for c in self._configurations if c[0] > snapshot.log_index]
        if not self._entries:
            later = []
        self._configurations = [(snapshot.log_index, snapshot.configuration), *later]
        self.snapshot = snapshot


def _count_bytes(entry: Entry | StoredEntry) -> int:
    """Return the bytes of an entry's payload."""
    return entry.payload_bytes if isinstance(entry, StoredEntry) else len(entry.payload)
