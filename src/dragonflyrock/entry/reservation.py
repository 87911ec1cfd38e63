"""Requests with an idempotency key: run at most once, by way of the ledger."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable
from typing import Final

from ..codec import CodecError
from ..control.calls import CALLS, Propose
from ..errors import Outcome, Reason, Refusal, Step
from ..hashing import hash_key
from ..ledger.commands import (
    LEDGER_COMMANDS,
    LEDGER_RESULTS,
    Complete,
    LedgerRow,
    LedgerState,
    Recorded,
    RecordedAnswer,
    Release,
    Reserve,
    Reserved,
)
from .forward import ServerResponse
from .request import CallerRequest

__all__ = ["Reservations", "ledger_group"]

Call = Callable[[str, bytes, float], bytes | None]
Dispatch = Callable[[CallerRequest], ServerResponse | Refusal]

MAX_RECORDED_BYTES: Final = 64 * 1024
RECORD_SECONDS: Final = 1.0
RESERVE_SECONDS: Final = 1.5
PROGRESS_RETRY_MS: Final = 1000
LEDGER_RETRY_MS: Final = 1000


def ledger_group(key: str, shards: int) -> str:
    """Return the name of the group that keeps a ledger key."""
    return f"ledger-{hash_key(key) % shards}"


class Reservations:
    """Reserve a key, run its request, and record how it ended."""

    def __init__(
        self, call: Call, shards: int, retention_s: float, clock: Callable[[], float]
    ) -> None:
        """Use ``call`` to reach the leader of a ledger group."""
        self._call = call
        self._shards = shards
        self._retention_s = retention_s
        self._clock = clock

    def run(
        self, request: CallerRequest, dispatch: Dispatch
    ) -> ServerResponse | Refusal:
        """Run a request once, or return what became of its first run."""
        if self._is_expired(request.idempotency_key):
            detail = f"keys are kept for {self._retention_s:g} s"
            return Refusal(Reason.NOT_RUN_AGAIN, Step.RESERVE, detail=detail)
        key = f"{request.contract.contract.customer}/{request.idempotency_key}"
        reserve = Reserve(
            key, request.fingerprint, request.request_id, int(time.time() * 1000)
        )
        left = min(request.deadline - self._clock(), RESERVE_SECONDS)
        result = self._command(key, reserve, left)
        match result:
            case Reserved():
                return self._run_reserved(key, request, dispatch)
            case Recorded(row) if row is not None:
                return _recall(row)
            case Refusal():
                return result
        # The key may be reserved now; it is freed, and a resend is safe anyway.
        self._command(key, Release(key, request.request_id), 0.05)
        return Refusal(
            Reason.LEDGER_UNAVAILABLE, Step.RESERVE, retry_after_ms=LEDGER_RETRY_MS
        )

    def _run_reserved(
        self, key: str, request: CallerRequest, dispatch: Dispatch
    ) -> ServerResponse | Refusal:
        """Run a request that holds its reservation, and record the end."""
        result = dispatch(request)
        if isinstance(result, ServerResponse):
            self._command(
                key, Complete(key, request.request_id, _record(result)), RECORD_SECONDS
            )
        elif result.outcome == Outcome.NOT_RUN:
            self._command(key, Release(key, request.request_id), RECORD_SECONDS)
        else:
            complete = Complete(key, request.request_id, None)
            self._command(key, complete, RECORD_SECONDS)
        return result

    def _command(
        self, key: str, command: Reserve | Complete | Release, timeout: float
    ) -> Reserved | Recorded | Refusal | None:
        """Commit a command in the key's group; None when it is not known to be."""
        group = ledger_group(key, self._shards)
        body = CALLS.encode(Propose(LEDGER_COMMANDS.encode(command)))
        answer = self._call(group, body, timeout)
        if answer is None:
            return None
        try:
            result: Reserved | Recorded | Refusal = LEDGER_RESULTS.decode(answer)
        except CodecError:
            return None
        return result

    def _is_expired(self, key: str) -> bool:
        """Return whether a key that tells its time (UUID version 7) is too old."""
        try:
            parsed = uuid.UUID(key)
        except ValueError:
            return False
        if parsed.version != 7:
            return False
        age_ms = time.time() * 1000 - (parsed.int >> 80)
        return age_ms > self._retention_s * 1000


def _record(answer: ServerResponse) -> RecordedAnswer:
    """Return what the ledger keeps of an answer."""
    whole = len(answer.body) <= MAX_RECORDED_BYTES
    body = answer.body if whole else b""
    return RecordedAnswer(answer.status, answer.headers, body, whole)


def _recall(row: LedgerRow) -> ServerResponse | Refusal:
    """Return the first run's answer, or what is known of it."""
    if row.state == LedgerState.RESERVED:
        return Refusal(
            Reason.IN_PROGRESS,
            Step.RESERVE,
            detail=f"request {row.request_id} holds the key; it is not run again",
            outcome=Outcome.UNKNOWN,
            retry_after_ms=PROGRESS_RETRY_MS,
        )
    if row.answer is None:
        return Refusal(
            Reason.NOT_RUN_AGAIN,
            Step.RESERVE,
            detail=f"request {row.request_id} may have run",
            outcome=Outcome.UNKNOWN,
        )
    if not row.answer.whole:
        return Refusal(
            Reason.NOT_RUN_AGAIN,
            Step.RESERVE,
            detail=f"completed with status {row.answer.status}; too large to keep",
            outcome=Outcome.COMPLETED,
        )
    return ServerResponse(row.answer.status, row.answer.headers, row.answer.body)
