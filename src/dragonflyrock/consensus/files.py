"""The operations on files that a data folder needs; each returns when it is done.

They raise ``OSError``. Tests replace them by disks that are full or lose power.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import BinaryIO

__all__ = ["Files"]


class Files:
    """The operations, on the disks of this host."""

    def open_log(self, path: Path) -> BinaryIO:
        """Open a file to append to; nothing that was refused stays in a buffer."""
        return path.open("ab", buffering=0)

    def append(self, file: BinaryIO, data: bytes) -> None:
        """Write all of the data at the end of an open file."""
        remaining = memoryview(data)
        while remaining:
            # A disk that is nearly full takes a part.
            remaining = remaining[file.write(remaining) :]
        file.flush()

    def sync(self, file: BinaryIO) -> None:
        """Have all that was written to an open file reach the disk."""
        os.fsync(file.fileno())

    def cut(self, path: Path, size: int) -> None:
        """Shorten a file and sync it."""
        with path.open("r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def replace(self, path: Path, data: bytes) -> None:
        """Put a file in place whole; its name is synced with its folder."""
        temporary = path.with_name(path.name + ".new")
        try:
            with temporary.open("wb", buffering=0) as file:
                self.append(file, data)
                self.sync(file)
            self.rename(temporary, path)
        except OSError:
            # The part that was written would take room from the log; the error that
            # counts is the first one.
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise

    def rename(self, old: Path, new: Path) -> None:
        """Give a file another one's name."""
        os.replace(old, new)

    def sync_folder(self, path: Path) -> None:
        """Have the names in a folder reach the disk."""
        folder = os.open(path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
