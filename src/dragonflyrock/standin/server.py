"""The stand-in's port: requests, grants, cancels, health and load."""

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

from ..entry.problem import Environ, StartResponse, status_line
from ..hashing import hash_key
from .announcer import Identity
from .grants import GrantBody, Grants
from .models import Behaviour, JournalEvent, JournalLine, LoadReport

__all__ = ["StandIn"]

LATE_REPORT_SECONDS: Final = 5.0
POLL_SECONDS: Final = 0.005
CRASH_STATUS: Final = 70
MAX_CANCELLED: Final = 10_000


class StandIn:
    """A WSGI application that behaves like a backend server with state by key."""

    def __init__(
        self,
        identity: Identity,
        behaviour: Behaviour,
        grants: Grants,
        journal: Path | None,
    ) -> None:
        """Append to the journal, if there is one."""
        self._identity = identity
        self._behaviour = behaviour
        self._grants = grants
        self._journal = journal.open("ab", buffering=0) if journal else None
        self._started = time.monotonic()
        self._slots = threading.Semaphore(behaviour.slots)
        self._lock = threading.Lock()
        self._waiting = 0
        self._running = 0
        self._cancelled: dict[str, None] = {}
        self._loads: deque[tuple[float, float]] = deque(maxlen=200)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match method, path.split("/")[1:]:
            case "PUT", ["grants"]:
                return self._take_grants(environ, start_response)
            case "POST", ["cancel", request]:
                self._cancel(request)
                return _json(start_response, 200, {})
            case "GET", ["health"]:
                return _json(start_response, 200, {"ready": True})
            case "GET", ["load"]:
                return _json(start_response, 200, {"load": self.find_load()})
        return self._serve(environ, start_response)

    def find_load(self) -> float:
        """Return what this stand-in says of its load."""
        now = time.monotonic()
        with self._lock:
            load = (self._running + self._waiting) / self._behaviour.slots
            self._loads.append((now, load))
            match self._behaviour.load_report:
                case LoadReport.IDLE:
                    return 0.0
                case LoadReport.LATE:
                    old = [
                        at for at in self._loads if now - at[0] >= LATE_REPORT_SECONDS
                    ]
                    return old[-1][1] if old else 0.0
                case LoadReport.TRUE:
                    return load

    @property
    def busy(self) -> bool:
        """Return whether requests are running or waiting."""
        with self._lock:
            return bool(self._running or self._waiting)

    def _take_grants(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Take pushed grants."""
        try:
            body = msgspec.json.decode(_read(environ), type=GrantBody)
        except msgspec.MsgspecError as error:
            return _json(start_response, 400, {"detail": str(error)})
        taken = self._grants.apply(body)
        status = 200 if taken else 409
        return _json(start_response, status, {"revision": self._grants.revision})

    def _cancel(self, request: str) -> None:
        """Remember that a request is not to be run any more."""
        with self._lock:
            self._cancelled[request] = None
            while len(self._cancelled) > MAX_CANCELLED:
                del self._cancelled[next(iter(self._cancelled))]

    def _serve(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Run a caller's request in a slot."""
        request = _Request(environ)
        with self._lock:
            full = self._waiting >= self._behaviour.queue
            self._waiting += not full
        if full:
            return self._refuse(request, "shed", start_response)
        try:
            entered = self._slots.acquire(timeout=request.left())
        finally:
            with self._lock:
                self._waiting -= 1
        if not entered:
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
        """Work for the service time, check once more, and commit."""
        why = self._why_not(request)
        if why:
            return self._refuse(request, why, start_response)
        if self._behaviour.crash_marker.encode() in request.body:
            self._write(JournalEvent.CRASHED, request, "")
            os._exit(CRASH_STATUS)
        end = time.monotonic() + self._service_seconds(request)
        while time.monotonic() < end:
            time.sleep(min(POLL_SECONDS, max(0.0, end - time.monotonic())))
        why = self._why_not(request)
        if why:
            return self._refuse(request, why, start_response)
        self._write(JournalEvent.RAN, request, "")
        return self._answer(request, start_response)

    def _service_seconds(self, request: _Request) -> float:
        """Return how long a request takes here and now."""
        behaviour = self._behaviour
        seconds = float(request.query.get("work_ms", behaviour.service_ms)) / 1000
        age_ms = (time.monotonic() - self._started) * 1000
        if age_ms >= behaviour.cold_start_ms:
            return seconds
        left = 1 - age_ms / behaviour.cold_start_ms
        return seconds * (1 + left * (behaviour.cold_factor - 1))

    def _why_not(self, request: _Request) -> str:
        """Return why a request may not run, or an empty text."""
        if request.left() <= 0:
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
        """Answer that a request was not run."""
        self._write(JournalEvent.REFUSED, request, reason)
        status = 409 if reason == "not-granted" else 503
        headers = [("X-Outcome", "not-run"), ("X-Reason", reason)]
        headers.append(("X-Request-Id", request.id))
        return _json(start_response, status, {"reason": reason}, headers)

    def _answer(
        self, request: _Request, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer with whose request it was, and as much content as was asked for."""
        headers = [("X-Request-Id", request.id)]
        fields = {
            "server": self._identity.name,
            "key": request.key,
            "epoch": request.epoch,
            "request": request.id,
            "body": hashlib.sha256(request.body).hexdigest(),
            "content": request.key[:1] * int(request.query.get("size", "0")),
        }
        return _json(start_response, 200, fields, headers)

    def _write(self, event: JournalEvent, request: _Request, reason: str) -> None:
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
    """A caller's request as the router forwarded it."""

    def __init__(self, environ: Environ) -> None:
        """Read the request; its deadline counts from now."""
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
        self.body = _read(environ)

    def left(self) -> float:
        """Return the time left in seconds, not below 0."""
        left = self._deadline - time.monotonic()
        if self._deadline_ms:
            left = min(left, self._deadline_ms / 1000 - time.time())
        return max(0.0, left)


def _read(environ: Environ) -> bytes:
    """Return the whole body."""
    body: bytes = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
    return body


def _json(
    start_response: StartResponse,
    status: int,
    fields: dict[str, Any],
    headers: list[tuple[str, str]] | None = None,
) -> Iterable[bytes]:
    """Answer with a JSON object."""
    body = msgspec.json.encode(fields)
    own = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(status_line(status), own + (headers or []))
    return [body]
