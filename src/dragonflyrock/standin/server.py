"""HTTP application of the stand-in: requests, grants, cancels, health and load."""

from __future__ import annotations

import hashlib
import os
import threading
import time
from collections import deque
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final
from urllib.parse import parse_qs, unquote

import msgspec

from ..entry.problem import Environ, StartResponse, format_status_line
from ..hashing import hash_key
from .announcer import Identity
from .grants import GrantBody, Grants
from .models import Behaviour, JournalEvent, JournalLine, LoadReportMode

__all__ = ["StandIn"]

LATE_REPORT_AGE_SECONDS: Final = 5.0
POLL_INTERVAL_SECONDS: Final = 0.005
CRASH_EXIT_STATUS: Final = 70
MAX_CANCELLED_REQUESTS: Final = 10_000


class StandIn:
    """WSGI application that behaves like a backend server that owns its keys.

    ``POST /leave`` makes it say in each response that it leaves, and
    ``POST /pause/SECONDS`` makes it turn requests away for so long.
    """

    def __init__(
        self,
        identity: Identity,
        behaviour: Behaviour,
        grants: Grants,
        journal: Path | None,
    ) -> None:
        """Create the application, with a journal if a path is given."""
        self._identity = identity
        self._behaviour = behaviour
        self._grants = grants
        self._journal = journal.open("ab", buffering=0) if journal else None
        self._started_at = time.monotonic()
        self._slots = threading.Semaphore(behaviour.slots)
        self._lock = threading.Lock()
        self._waiting = 0
        self._running = 0
        self._cancelled: dict[str, None] = {}
        self._load_samples: deque[tuple[float, float]] = deque(maxlen=200)
        self._paused_until = 0.0
        self.is_leaving = False

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle a request of the router."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match method, path.split("/")[1:]:
            case "PUT", ["grants"]:
                return self._receive_grants(environ, start_response)
            case "POST", ["cancel", request]:
                self._cancel(request)
                return _respond_json(start_response, 200, {})
            case "POST", ["leave"]:
                self.is_leaving = True
                return _respond_json(start_response, 200, {})
            case "POST", ["pause", seconds]:
                self._paused_until = time.monotonic() + float(seconds)
                return _respond_json(start_response, 200, {})
            case "GET", ["health"]:
                return _respond_json(start_response, 200, {"ready": True})
            case "GET", ["load"]:
                return _respond_json(start_response, 200, {"load": self.report_load()})
        return self._serve(environ, start_response)

    def report_load(self) -> float:
        """Return the load per slot to report, according to ``load_report``."""
        now = time.monotonic()
        with self._lock:
            load = (self._running + self._waiting) / self._behaviour.slots
            self._load_samples.append((now, load))
            match self._behaviour.load_report:
                case LoadReportMode.IDLE:
                    return 0.0
                case LoadReportMode.LATE:
                    old_samples = [
                        sample
                        for sample in self._load_samples
                        if now - sample[0] >= LATE_REPORT_AGE_SECONDS
                    ]
                    return old_samples[-1][1] if old_samples else 0.0
                case LoadReportMode.TRUE:
                    return load

    @property
    def is_busy(self) -> bool:
        """Return whether requests are running or waiting."""
        with self._lock:
            return bool(self._running or self._waiting)

    def _receive_grants(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Apply grants that the router pushes."""
        if not self._behaviour.takes_pushes:
            detail = "grants are taken from the answers to announcements only"
            return _respond_json(start_response, 405, {"detail": detail})
        try:
            body = msgspec.json.decode(_read_body(environ), type=GrantBody)
        except msgspec.MsgspecError as error:
            return _respond_json(start_response, 400, {"detail": str(error)})
        applied = self._grants.apply(body)
        status = 200 if applied else 409
        return _respond_json(
            start_response, status, {"revision": self._grants.revision}
        )

    def _cancel(self, request: str) -> None:
        """Record a cancelled request, so that it does not run."""
        with self._lock:
            self._cancelled[request] = None
            while len(self._cancelled) > MAX_CANCELLED_REQUESTS:
                del self._cancelled[next(iter(self._cancelled))]

    def _serve(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Run a caller's request in a slot, or refuse it if none gets free in time."""
        request = _Request(environ)
        if time.monotonic() < self._paused_until:
            return self._refuse(request, "paused", start_response)
        with self._lock:
            full = self._waiting >= self._behaviour.queue
            self._waiting += not full
        if full:
            return self._refuse(request, "shed", start_response)
        try:
            acquired = self._slots.acquire(timeout=request.get_seconds_left())
        finally:
            with self._lock:
                self._waiting -= 1
        if not acquired:
            return self._refuse(request, "deadline", start_response)
        try:
            with self._lock:
                self._running += 1
            return self._run(request, start_response)
        finally:
            with self._lock:
                self._running -= 1
            self._slots.release()

    def _run(self, request: _Request, start_response: StartResponse) -> Iterable[bytes]:
        """Wait for the service time, check again whether it may run, and record it."""
        refusal = self._find_refusal(request)
        if refusal:
            return self._refuse(request, refusal, start_response)
        if self._behaviour.crash_marker.encode() in request.body:
            self._write_journal(JournalEvent.CRASHED, request, "")
            os._exit(CRASH_EXIT_STATUS)
        end = time.monotonic() + self._get_service_seconds(request)
        while time.monotonic() < end:
            time.sleep(min(POLL_INTERVAL_SECONDS, max(0.0, end - time.monotonic())))
        refusal = self._find_refusal(request)
        if refusal:
            return self._refuse(request, refusal, start_response)
        self._write_journal(JournalEvent.RAN, request, "")
        return self._respond(request, start_response)

    def _get_service_seconds(self, request: _Request) -> float:
        """Return the service time of a request, longer during a cold start."""
        behaviour = self._behaviour
        seconds = float(request.query.get("work_ms", behaviour.service_ms)) / 1000
        age_ms = (time.monotonic() - self._started_at) * 1000
        if age_ms >= behaviour.cold_start_ms:
            return seconds
        share_left = 1 - age_ms / behaviour.cold_start_ms
        return seconds * (1 + share_left * (behaviour.cold_factor - 1))

    def _find_refusal(self, request: _Request) -> str:
        """Return the reason for which a request may not run, or an empty string."""
        if request.get_seconds_left() <= 0:
            return "deadline"
        with self._lock:
            if request.id in self._cancelled:
                return "cancelled"
        if not self._behaviour.checks_grants:
            return ""
        return (
            ""
            if self._grants.covers(request.key_hash, request.epoch)
            else "not-granted"
        )

    def _refuse(
        self, request: _Request, reason: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Record and respond that a request was not run."""
        self._write_journal(JournalEvent.REFUSED, request, reason)
        status = 409 if reason == "not-granted" else 503
        headers = [("X-Outcome", "not-run"), ("X-Reason", reason)]
        headers.append(("X-Request-Id", request.id))
        seconds_left = self._paused_until - time.monotonic()
        if reason == "paused" and seconds_left > 0:
            headers.append(("Retry-After", f"{seconds_left:.3f}"))
        headers += self._make_leaving_headers()
        return _respond_json(start_response, status, {"reason": reason}, headers)

    def _respond(
        self, request: _Request, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond with the request's identity and as many characters as it asks for."""
        headers = [("X-Request-Id", request.id), *self._make_leaving_headers()]
        fields = {
            "server": self._identity.name,
            "key": request.key,
            "epoch": request.epoch,
            "request": request.id,
            "body": hashlib.sha256(request.body).hexdigest(),
            "content": request.key[:1] * int(request.query.get("size", "0")),
        }
        return _respond_json(start_response, 200, fields, headers)

    def _make_leaving_headers(self) -> list[tuple[str, str]]:
        """Return the header of each response of a server that leaves."""
        return [("X-Server-Leaving", "1")] if self.is_leaving else []

    def _write_journal(
        self, event: JournalEvent, request: _Request, reason: str
    ) -> None:
        """Append a line to the journal."""
        if self._journal is None:
            return
        line = JournalLine(
            event=event,
            server=f"{self._identity.name}@{self._identity.incarnation}",
            request=request.id,
            method=request.method,
            service=self._identity.service,
            key=request.key,
            epoch=request.epoch,
            body=request.body[:200].decode("utf-8", "replace"),
            reason=reason,
            at_ns=time.monotonic_ns(),
        )
        self._journal.write(msgspec.json.encode(line) + b"\n")


class _Request:
    """A caller's request, as forwarded by the router."""

    def __init__(self, environ: Environ) -> None:
        """Read the request; its timeout starts now."""
        self.id: str = environ.get("HTTP_X_REQUEST_ID", "")
        self.method: str = environ["REQUEST_METHOD"]
        parts = environ["REQUEST_URI"].partition("?")[0].split("/")
        self.key = unquote(parts[2]) if len(parts) > 2 else ""
        self.key_hash = hash_key(self.key)
        self.epoch = int(environ.get("HTTP_X_GRANT_EPOCH") or 0)
        timeout_ms = int(environ.get("HTTP_X_REQUEST_TIMEOUT_MS") or 30_000)
        self._deadline = time.monotonic() + timeout_ms / 1000
        self._deadline_ms = int(environ.get("HTTP_X_REQUEST_DEADLINE_MS") or 0)
        query = parse_qs(environ.get("QUERY_STRING", ""))
        self.query = {name: values[-1] for name, values in query.items()}
        self.body = _read_body(environ)

    def get_seconds_left(self) -> float:
        """Return the time until the deadline in seconds, at least 0."""
        seconds_left = self._deadline - time.monotonic()
        if self._deadline_ms:
            seconds_left = min(seconds_left, self._deadline_ms / 1000 - time.time())
        return max(0.0, seconds_left)


def _read_body(environ: Environ) -> bytes:
    """Return the whole body of a request."""
    body: bytes = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
    return body


def _respond_json(
    start_response: StartResponse,
    status: int,
    fields: dict[str, Any],
    headers: list[tuple[str, str]] | None = None,
) -> Iterable[bytes]:
    """Start a response with a JSON object and return its body."""
    body = msgspec.json.encode(fields)
    content_headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(format_status_line(status), content_headers + (headers or []))
    return [body]
