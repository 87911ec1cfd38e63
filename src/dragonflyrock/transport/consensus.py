"""The codec of the body of a ``ConsensusMessage``."""

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

# Entries, snapshots and members are stored in the log, so they must keep all
# fields that were sent.
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
