"""File operations of a data folder.

They raise ``OSError``. Tests replace them to simulate full disks and power losses.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import BinaryIO, Final

__all__ = ["Files"]

# Small parts of a file are written together, up to this size.
WRITE_BLOCK_BYTES: Final = 256 * 1024


class Files:
    """File operations on the disks of this host."""

    def open_log(self, path: Path) -> BinaryIO:
        """Open a file for appending, unbuffered so that no refused write remains."""
        return path.open("ab", buffering=0)

    def append(self, file: BinaryIO, data: bytes) -> None:
        """Write all of the data at the end of an open file."""
        remaining = memoryview(data)
        while remaining:
            # A nearly full disk may accept only a part.
            remaining = remaining[file.write(remaining) :]
        file.flush()

    def sync(self, file: BinaryIO) -> None:
        """Sync the content of an open file to the disk."""
        os.fsync(file.fileno())

    def cut(self, path: Path, size: int) -> None:
        """Truncate a file to a size in bytes and sync it."""
        with path.open("r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def replace(self, path: Path, parts: Iterable[bytes]) -> None:
        """Replace a file in one step; its new name is synced only with its folder.

        The parts are written one by one, so they need not be in memory together.
        """
        temporary = path.with_name(path.name + ".new")
        try:
            with temporary.open("wb", buffering=0) as file:
                for block in _join_parts(parts):
                    self.append(file, block)
                self.sync(file)
            self.rename(temporary, path)
        except OSError:
            # Remove the part that was written, which would take space from the log.
            # Only the first error is raised.
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file, replacing one that has the new name."""
        os.replace(old, new)

    def sync_folder(self, path: Path) -> None:
        """Sync the names in a folder to the disk."""
        folder = os.open(path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def _join_parts(parts: Iterable[bytes]) -> Iterator[bytes]:
    """Yield the parts in blocks of at least ``WRITE_BLOCK_BYTES``, but for the last."""
    block = bytearray()
    for part in parts:
        block += part
        if len(block) >= WRITE_BLOCK_BYTES:
            yield bytes(block)
            block.clear()
    if block:
        yield bytes(block)
