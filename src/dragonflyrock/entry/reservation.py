"""Requests with an idempotency key, which the request ledger runs at most once."""

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
    RecordedResponse,
    Release,
    Reserve,
    Reserved,
)
from .forward import ServerResponse
from .request import CallerRequest

__all__ = ["Reservations", "get_ledger_group"]

Call = Callable[[str, bytes, float], bytes | None]
Dispatch = Callable[[CallerRequest], ServerResponse | Refusal]

MAX_RECORDED_BODY_BYTES: Final = 64 * 1024
RECORD_TIMEOUT_SECONDS: Final = 1.0
RESERVE_TIMEOUT_SECONDS: Final = 1.5
IN_PROGRESS_RETRY_MS: Final = 1000
LEDGER_RETRY_MS: Final = 1000


def get_ledger_group(key: str, shards: int) -> str:
    """Return the name of the consensus group that stores a ledger key."""
    return f"ledger-{hash_key(key) % shards}"


class Reservations:
    """Reserve idempotency keys, run their requests and record the outcomes."""

    def __init__(
        self, call: Call, shards: int, retention_s: float, clock: Callable[[], float]
    ) -> None:
        """Set up access to the request ledger.

        ``call`` sends a message to a group's leader, with a timeout in seconds, and
        returns the answer or None. Keys expire after ``retention_s`` seconds.
        """
        self._call = call
        self._shards = shards
        self._retention_s = retention_s
        self._clock = clock

    def run(
        self, request: CallerRequest, dispatch: Dispatch
    ) -> ServerResponse | Refusal:
        """Run a request, or return the outcome if its key was used before."""
        if self._is_expired(request.idempotency_key):
            detail = f"idempotency keys expire after {self._retention_s:g} s"
            return Refusal(Reason.NOT_RUN_AGAIN, Step.RESERVE, detail=detail)
        key = f"{request.contract_row.contract.customer}/{request.idempotency_key}"
        reserve = Reserve(
            key, request.fingerprint, request.request_id, int(time.time() * 1000)
        )
        timeout = min(request.deadline - self._clock(), RESERVE_TIMEOUT_SECONDS)
        result = self._commit(key, reserve, timeout)
        match result:
            case Reserved():
                return self._run_reserved(key, request, dispatch)
            case Recorded(row) if row is not None:
                return _replay(row)
            case Refusal():
                return result
        # The reservation may have been committed, so try to release the key. If that
        # fails, a resend is still refused rather than run twice.
        self._commit(key, Release(key, request.request_id), 0.05)
        return Refusal(
            Reason.LEDGER_UNAVAILABLE, Step.RESERVE, retry_after_ms=LEDGER_RETRY_MS
        )

    def _run_reserved(
        self, key: str, request: CallerRequest, dispatch: Dispatch
    ) -> ServerResponse | Refusal:
        """Run a request whose key is reserved and record the outcome."""
        result = dispatch(request)
        if isinstance(result, ServerResponse):
            self._commit(
                key,
                Complete(key, request.request_id, _make_recorded_response(result)),
                RECORD_TIMEOUT_SECONDS,
            )
        elif result.outcome == Outcome.NOT_RUN:
            self._commit(key, Release(key, request.request_id), RECORD_TIMEOUT_SECONDS)
        else:
            complete = Complete(key, request.request_id, None)
            self._commit(key, complete, RECORD_TIMEOUT_SECONDS)
        return result

    def _commit(
        self, key: str, command: Reserve | Complete | Release, timeout: float
    ) -> Reserved | Recorded | Refusal | None:
        """Commit a command in the key's group; return None if the result is unknown."""
        group = get_ledger_group(key, self._shards)
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
        """Return whether a key contains its time (UUID version 7) and is too old."""
        try:
            parsed = uuid.UUID(key)
        except ValueError:
            return False
        if parsed.version != 7:
            return False
        age_ms = time.time() * 1000 - (parsed.int >> 80)
        return age_ms > self._retention_s * 1000


def _make_recorded_response(response: ServerResponse) -> RecordedResponse:
    """Return the record of a response, without the body if it is too large."""
    whole = len(response.body) <= MAX_RECORDED_BODY_BYTES
    body = response.body if whole else b""
    return RecordedResponse(response.status, response.headers, body, whole)


def _replay(row: LedgerRow) -> ServerResponse | Refusal:
    """Return the recorded response, or a refusal if there is none to replay."""
    if row.state == LedgerState.RESERVED:
        return Refusal(
            Reason.IN_PROGRESS,
            Step.RESERVE,
            detail=f"request {row.request_id} holds the same key and has not ended",
            outcome=Outcome.UNKNOWN,
            retry_after_ms=IN_PROGRESS_RETRY_MS,
        )
    if row.response is None:
        return Refusal(
            Reason.NOT_RUN_AGAIN,
            Step.RESERVE,
            detail=f"request {row.request_id} with the same key may have run",
            outcome=Outcome.UNKNOWN,
        )
    if not row.response.whole:
        return Refusal(
            Reason.NOT_RUN_AGAIN,
            Step.RESERVE,
            detail=(
                f"completed with status {row.response.status}; body was not recorded"
            ),
            outcome=Outcome.COMPLETED,
        )
    return ServerResponse(row.response.status, row.response.headers, row.response.body)
