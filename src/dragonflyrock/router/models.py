"""A request on its way, and what ends it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from ..http import Request
from ..routes import Route

__all__ = ["CrashReporter", "Passage", "Refused"]


@dataclass(slots=True)
class Passage:
    """A request on its way; times in seconds of the runtime's clock."""

    request: Request
    request_id: bytes
    route: Route
    service: str
    key_hash: int | None
    started: float
    deadline: float
    target_at: float
    sends: int = 0
    bounces: int = 0
    may_have_run: bool = False
    misplaced: bool = False
    avoid: set[str] = field(default_factory=set)
    server: str = ""
    detail: str = ""
    fingerprint: str = ""


class CrashReporter(Protocol):
    """Where a request is told of that was at work on a server when it ended."""

    def report_crash(
        self, fingerprint: str, method: str, target: str, server: str
    ) -> None:
        """Tell that a server ended while it ran a request."""

    def clear_suspect(self, fingerprint: str) -> None:
        """Tell that a suspect request was answered."""


class Refused(NamedTuple):
    """A request that has not run and will not: why, and when to come back.

    With ``rows_help`` newer rows may name a server that takes it.
    """

    detail: str
    retry_after: float
    rows_help: bool = False
