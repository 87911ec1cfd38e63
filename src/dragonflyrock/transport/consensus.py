"""How messages of a replicated group travel in a ``ConsensusMessage``."""

from __future__ import annotations

from typing import Final

from ..codec import Codec, UnknownFields
from ..consensus.models import (
    AppendAnswer,
    AppendRequest,
    JoinRequest,
    SnapshotRequest,
    TakeOver,
    VoteAnswer,
    VoteRequest,
)

__all__ = ["CONSENSUS"]

# Entries, images and members must reach the log as they were sent.
CONSENSUS: Final = Codec(
    [
        VoteRequest,
        VoteAnswer,
        AppendRequest,
        AppendAnswer,
        SnapshotRequest,
        JoinRequest,
        TakeOver,
    ],
    UnknownFields.IGNORE_TOP_LEVEL,
)
