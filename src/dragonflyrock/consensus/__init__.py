"""A replicated log: elections, replication, membership changes and storage.

Only ``Group`` and ``Storage`` do I/O.
"""

from __future__ import annotations

from .group import Group, StateMachine, open_group
from .log import Log
from .models import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Member,
    Message,
    Role,
    SnapshotImage,
    Timing,
)
from .replica import Output, Replica, make_replica, take_output
from .replication import propose, replicate
from .step import receive, tick
from .storage import Storage, StorageError, open_storage

__all__ = [
    "Configuration",
    "Entry",
    "EntryKind",
    "Group",
    "HardState",
    "Log",
    "Member",
    "Message",
    "Output",
    "Replica",
    "Role",
    "SnapshotImage",
    "StateMachine",
    "Storage",
    "StorageError",
    "Timing",
    "make_replica",
    "open_group",
    "open_storage",
    "propose",
    "receive",
    "replicate",
    "take_output",
    "tick",
]
