"""File operations of a data folder.

They raise ``OSError``. Tests replace them to simulate full disks and power losses.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import BinaryIO

__all__ = ["Files"]


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

    def replace(self, path: Path, data: bytes) -> None:
        """Replace a file in one step; its new name is synced only with its folder."""
        temporary = path.with_name(path.name + ".new")
        try:
            with temporary.open("wb", buffering=0) as file:
                self.append(file, data)
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
