"""The WSGI application for callers: parses, authenticates, admits and dispatches."""

from __future__ import annotations

import hashlib
import hmac
import logging
import threading
import uuid
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple
from urllib.parse import unquote

from ..errors import Outcome, Reason, Refusal, Step
from ..hashing import hash_key
from ..models import ContractRow
from ..observe.metrics import Metrics
from .admission import Admission
from .dispatch import Dispatcher
from .forward import HOP_BY_HOP_HEADERS, ServerResponse
from .gate import Gate
from .problem import Environ, StartResponse, format_status_line, respond_with_problem
from .request import CallerRequest, make_fingerprint
from .reservation import Reservations

__all__ = ["CallersApp", "CallersConfig", "compute_deadline"]

_LOGGER = logging.getLogger(__name__)

MAX_KEY_LENGTH: Final = 1024
MAX_IDEMPOTENCY_KEY_LENGTH: Final = 256
ROUTER_HEADERS: Final = frozenset(
    (
        "authorization",
        "idempotency-key",
        "x-request-timeout-ms",
        "x-request-deadline-ms",
        "x-request-id",
        "x-grant-epoch",
    )
)
RETRY_AFTER_MS: Final = 1000


class CallersConfig(NamedTuple):
    """Settings of the callers' port.

    ``body_bytes`` is the largest body that this host accepts, and
    ``idempotent_methods`` has the methods that may be retried, by service.
    ``longest_deadline_ms`` bounds the deadlines of all contracts.
    """

    body_bytes: int
    idempotent_methods: Mapping[str, frozenset[str]]
    longest_deadline_ms: int = 30_000


class CallersApp:
    """A WSGI application for callers.

    Each request runs in a thread of the web server.
    """

    def __init__(
        self,
        config: CallersConfig,
        gate: Gate,
        admission: Admission,
        dispatcher: Dispatcher,
        reservations: Reservations,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        """Set up an application that reads contracts from the gate's tables.

        ``clock`` returns the time in seconds.
        """
        self._config = config
        self._gate = gate
        self._admission = admission
        self._dispatcher = dispatcher
        self._reservations = reservations
        self._metrics = metrics
        self._clock = clock
        self._active = 0
        self._stopping = False
        self._idle_condition = threading.Condition()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        started = self._clock()
        request_id = uuid.uuid4().hex
        if not self._begin_request():
            refusal = Refusal(
                Reason.STOPPING, Step.PARSE, retry_after_ms=RETRY_AFTER_MS
            )
            return respond_with_problem(refusal, start_response, request_id)
        service = "unknown"
        result: ServerResponse | Refusal
        try:
            request = self._parse(environ, request_id, started)
            if isinstance(request, Refusal):
                result = request
            else:
                service = request.service
                result = self._run(request)
        except Exception:
            _LOGGER.exception("step=answer request=%s: internal error", request_id)
            result = Refusal(Reason.INTERNAL, Step.ANSWER, outcome=Outcome.UNKNOWN)
        finally:
            self._end_request()
        self._record_metrics(service, result, started)
        return _write_response(result, start_response, request_id)

    def stop(self, timeout: float) -> bool:
        """Refuse new requests and wait for the active ones.

        Return whether all of them ended within ``timeout`` seconds.
        """
        with self._idle_condition:
            self._stopping = True
            return self._idle_condition.wait_for(lambda: self._active == 0, timeout)

    def _begin_request(self) -> bool:
        """Count a request as active, unless this host is stopping."""
        with self._idle_condition:
            if self._stopping:
                return False
            self._active += 1
            return True

    def _end_request(self) -> None:
        """Count a request as ended."""
        with self._idle_condition:
            self._active -= 1
            self._idle_condition.notify_all()

    def _record_metrics(
        self, service: str, result: ServerResponse | Refusal, started: float
    ) -> None:
        """Record the outcome and duration of a request in the metrics."""
        outcome, reason = Outcome.COMPLETED, ""
        if isinstance(result, Refusal):
            outcome, reason = result.outcome, result.reason
        self._metrics.requests.labels(service, outcome, reason).inc()
        elapsed = self._clock() - started
        self._metrics.request_seconds.labels(service).observe(elapsed)

    def _run(self, request: CallerRequest) -> ServerResponse | Refusal:
        """Admit and dispatch a request, once per idempotency key if it has one."""
        stopping = self._gate.check_deadline(request.deadline)
        if stopping is not None:
            return stopping
        quarantine = self._gate.find_quarantine(request.fingerprint)
        if quarantine is not None and quarantine.refused:
            detail = f"fingerprint {quarantine.fingerprint}"
            return Refusal(Reason.QUARANTINED, Step.ADMIT, detail=detail)
        if self._gate.lease_left() <= 0:
            # The lease may have ended while the body was read.
            return Refusal(
                Reason.LEASE_LAPSED, Step.ADMIT, retry_after_ms=RETRY_AFTER_MS
            )
        refusal = self._admission.admit(request.contract_row, request.deadline)
        if refusal is not None:
            return refusal
        try:
            if request.idempotency_key:
                return self._reservations.run(request, self._dispatcher.dispatch)
            return self._dispatcher.dispatch(request)
        finally:
            self._admission.release(request.contract_row.contract.customer)

    def _parse(
        self, environ: Environ, request_id: str, started: float
    ) -> CallerRequest | Refusal:
        """Return the validated and authenticated request, or a refusal."""
        row = self._authenticate(environ.get("HTTP_AUTHORIZATION", ""))
        if isinstance(row, Refusal):
            return row
        if self._gate.lease_left() <= 0:
            # A newer contract may allow what this one refuses. Nor may the request wait
            # for the limiter and the ledger, from which this host may be cut off.
            return Refusal(
                Reason.LEASE_LAPSED, Step.ADMIT, retry_after_ms=RETRY_AFTER_MS
            )
        target = environ["REQUEST_URI"]
        parts = target.partition("?")[0].split("/")
        if len(parts) < 3 or not parts[1] or not parts[2]:
            return _refuse_bad_request("the path must be /{service}/{key}")
        service, key = parts[1], unquote(parts[2])
        if len(key) > MAX_KEY_LENGTH:
            return _refuse_bad_request(
                f"the key is longer than {MAX_KEY_LENGTH} characters"
            )
        if service not in row.contract.services:
            if not self._gate.has_service(service):
                return Refusal(Reason.UNKNOWN_SERVICE, Step.LOCATE, detail=service)
            return Refusal(Reason.SERVICE_NOT_IN_CONTRACT, Step.ADMIT, detail=service)
        deadline = compute_deadline(
            environ.get("HTTP_X_REQUEST_TIMEOUT_MS", ""),
            row,
            self._config.longest_deadline_ms,
            started,
        )
        if isinstance(deadline, Refusal):
            return deadline
        body = self._read_body(environ, row)
        if isinstance(body, Refusal):
            return body
        return self._make_request(
            environ, request_id, row, service, key, target, body, deadline
        )

    def _make_request(
        self,
        environ: Environ,
        request_id: str,
        row: ContractRow,
        service: str,
        key: str,
        target: str,
        body: bytes,
        deadline: float,
    ) -> CallerRequest | Refusal:
        """Build the request from its parsed parts."""
        method = environ["REQUEST_METHOD"]
        idempotency_key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_LENGTH:
            return _refuse_bad_request("Idempotency-Key is too long")
        idempotent_methods = self._config.idempotent_methods.get(service, frozenset())
        customer = row.contract.customer
        return CallerRequest(
            request_id,
            service,
            key,
            hash_key(key),
            method,
            target,
            _make_forwarded_headers(environ),
            body,
            idempotency_key,
            method in idempotent_methods,
            row,
            make_fingerprint(customer, method, target, body),
            deadline,
        )

    def _authenticate(self, header: str) -> ContractRow | Refusal:
        """Return the contract that a bearer token belongs to, or a refusal."""
        scheme, _, token = header.partition(" ")
        if scheme.lower() != "bearer" or not token:
            return Refusal(Reason.UNKNOWN_TOKEN, Step.AUTHENTICATE)
        digest = hashlib.sha256(token.encode("latin-1", "replace")).hexdigest()
        row = self._gate.tables.find_contract(digest)
        if row is None:
            if self._gate.lease_left() <= 0:
                # The contract may exist and this host may not have received it yet.
                return Refusal(
                    Reason.LEASE_LAPSED,
                    Step.AUTHENTICATE,
                    retry_after_ms=RETRY_AFTER_MS,
                )
            return Refusal(Reason.UNKNOWN_TOKEN, Step.AUTHENTICATE)
        token_hashes = row.contract.token_sha256
        if not any(
            hmac.compare_digest(digest, token_hash) for token_hash in token_hashes
        ):
            return Refusal(Reason.UNKNOWN_TOKEN, Step.AUTHENTICATE)
        return row

    def _read_body(self, environ: Environ, row: ContractRow) -> bytes | Refusal:
        """Return the body, or a refusal if it is malformed or too large."""
        limit = min(row.contract.body_bytes, self._config.body_bytes)
        text = environ.get("CONTENT_LENGTH", "")
        chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
        if not text and not chunked:
            return b""
        if text and (not text.isascii() or not text.isdecimal()):
            return _refuse_bad_request("Content-Length must be a number")
        if text and int(text[:18]) > limit:
            return _refuse_too_large(limit)
        length = int(text) if text else limit + 1
        body: bytes = environ["wsgi.input"].read(length)
        if len(body) > limit:
            return _refuse_too_large(limit)
        if text and len(body) < length:
            return _refuse_bad_request("the body is shorter than Content-Length")
        return body


def compute_deadline(
    text: str, row: ContractRow, longest_ms: int, started: float
) -> float | Refusal:
    """Return a request's deadline by this host's clock in seconds, or a refusal.

    ``text`` is the timeout that the caller asks for, or empty. The contract limits it,
    and ``longest_ms`` limits every contract.
    """
    limit_ms = min(row.contract.deadline_ms, longest_ms)
    if not text:
        return started + limit_ms / 1000
    if not text.isascii() or not text.isdecimal() or not 0 < int(text[:12]) < 10**9:
        return _refuse_bad_request(
            "X-Request-Timeout-Ms must be a number of milliseconds"
        )
    return started + min(int(text[:12]), limit_ms) / 1000


def _refuse_bad_request(detail: str) -> Refusal:
    """Return a refusal of a malformed request."""
    return Refusal(Reason.BAD_REQUEST, Step.PARSE, detail=detail)


def _refuse_too_large(limit: int) -> Refusal:
    """Return a refusal of a body that exceeds ``limit`` bytes."""
    return Refusal(Reason.BODY_TOO_LARGE, Step.ADMIT, detail=f"body_bytes {limit}")


def _make_forwarded_headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward to the backend server."""
    headers = []
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            header = name[5:].replace("_", "-").lower()
            if header not in HOP_BY_HOP_HEADERS and header not in ROUTER_HEADERS:
                headers.append((header, value))
    if environ.get("CONTENT_TYPE"):
        headers.append(("content-type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _write_response(
    result: ServerResponse | Refusal, start_response: StartResponse, request_id: str
) -> Iterable[bytes]:
    """Start the response to the caller and return its body."""
    if isinstance(result, Refusal):
        return respond_with_problem(result, start_response, request_id)
    replaced = ("x-outcome", "x-request-id", "date", "server")
    headers = [item for item in result.headers if item[0].lower() not in replaced]
    headers.append(("Content-Length", str(len(result.body))))
    headers.append(("X-Request-Id", request_id))
    headers.append(("X-Outcome", Outcome.COMPLETED.value))
    start_response(format_status_line(result.status), headers)
    return [result.body]
