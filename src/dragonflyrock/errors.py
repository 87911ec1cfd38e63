"""Refusals, with their reason and step, and the exceptions of this package."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "DragonflyrockError",
    "Outcome",
    "Reason",
    "Refusal",
    "SettingsError",
    "Step",
]


class Outcome(StrEnum):
    """Whether a backend server has executed a request."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Step(StrEnum):
    """The step at which a request or an order failed."""

    PARSE = "parse"
    AUTHENTICATE = "authenticate"
    ADMIT = "admit"
    LOCATE = "locate"
    RESERVE = "reserve"
    DISPATCH = "dispatch"
    ANSWER = "answer"
    RECORD = "record"
    COMMIT = "commit"
    ANNOUNCE = "announce"


class Reason(StrEnum):
    """The reason for a refusal or failure."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_TOKEN = "unknown-token"
    UNKNOWN_SERVICE = "unknown-service"
    SERVICE_NOT_IN_CONTRACT = "service-not-in-contract"
    BODY_TOO_LARGE = "body-too-large"
    RATE_LIMIT = "rate-limit"
    CONCURRENCY_LIMIT = "concurrency-limit"
    LEASE_LAPSED = "lease-lapsed"
    NO_OWNER = "no-owner"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"
    REFUSED_BY_SERVER = "refused-by-server"
    CONNECTION_FAILED = "connection-failed"
    CONNECTION_LOST = "connection-lost"
    OWNER_LOST = "owner-lost"
    BAD_ANSWER = "bad-answer"
    IN_PROGRESS = "in-progress"
    NOT_RUN_AGAIN = "not-run-again"
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    LEDGER_UNAVAILABLE = "ledger-unavailable"
    LEDGER_FULL = "ledger-full"
    QUARANTINED = "quarantined"
    NO_LEADER = "no-leader"
    NOT_LEADER = "not-leader"
    TIMEOUT = "timeout"
    VERSION_CONFLICT = "version-conflict"
    OUTDATED = "outdated"
    NOT_FOUND = "not-found"
    NOT_ALLOWED = "not-allowed"
    OLD_INCARNATION = "old-incarnation"
    INTERNAL = "internal"


class Refusal(NamedTuple):
    """A refused or failed request, returned as a value instead of raised.

    ``peer`` names the other host or server involved, if any. ``outcome`` says whether
    the request may have been executed. ``retry_after_ms`` is 0 if a retry is useless.
    """

    reason: Reason
    step: Step
    peer: str = ""
    detail: str = ""
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_ms: int = 0


class DragonflyrockError(Exception):
    """An error that ends a daemon or a command of the command line."""

    def __init__(self, detail: str, step: str = "", peer: str = "") -> None:
        """Set the message, the failed step and the peer involved, if any."""
        super().__init__(detail)
        self.step = step
        self.peer = peer


class SettingsError(DragonflyrockError):
    """Invalid settings; the message names the file, key path and value."""
