"""How messages of a replicated group travel in a ``ConsensusMessage``."""

from __future__ import annotations

from typing import Final

from ..codec import Codec
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

CONSENSUS: Final = Codec(
    [
        VoteRequest,
        VoteAnswer,
        AppendRequest,
        AppendAnswer,
        SnapshotRequest,
        JoinRequest,
        TakeOver,
    ]
)
