"""The WSGI application for server announcements, health, readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from ..addresses import is_address
from ..codec import CodecError
from ..control.calls import CALLS, Announcement, GrantSet
from ..control.pusher import encode_grants
from ..errors import Reason, Refusal, Step
from ..observe.metrics import CONTENT_TYPE, Metrics
from .problem import Environ, StartResponse, format_status_line, respond_with_problem
from .web import read_json_body

__all__ = ["AnnouncementsApp"]

Call = Callable[[str, bytes, float], bytes | None]

MAX_ANNOUNCEMENT_BYTES: Final = 16 * 1024
ANNOUNCE_TIMEOUT_SECONDS: Final = 1.0
ANNOUNCE_RETRY_MS: Final = 1000
# The largest integer of the links and the log.
MAX_INTEGER: Final = 2**63 - 1
MAX_COUNT: Final = 2**40


class AnnouncementBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The JSON object that a backend server sends; see ``Announcement``."""

    service: str
    address: str
    availability_zone: str
    incarnation: int
    sequence: int
    slots: int
    connections: int
    load: float = 0.0
    ready: bool = True
    checks_grants: bool = False
    grant_revision: int = 0


class AnnouncementsApp:
    """A WSGI application for backend servers, load balancers and monitoring."""

    def __init__(
        self,
        call: Call,
        find_unready: Callable[[], str],
        metrics: Metrics,
        update_metrics: Callable[[], None],
    ) -> None:
        """Set up an application that sends announcements by ``call``.

        ``call`` sends a message to a group's leader, with a timeout in seconds, and
        returns the answer or None. ``find_unready`` returns why callers may not be
        sent to this host, or an empty text if it is ready. ``update_metrics`` is called
        before the metrics are read.
        """
        self._call = call
        self._find_unready = find_unready
        self._update_metrics = update_metrics
        self._metrics = metrics

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match method, path.split("/")[1:]:
            case "GET", ["healthz"]:
                return _respond_text(start_response, 200, "alive\n")
            case "GET", ["readyz"]:
                unready_reason = self._find_unready()
                return _respond_text(
                    start_response,
                    503 if unready_reason else 200,
                    unready_reason or "ready\n",
                )
            case "GET", ["metrics"]:
                self._update_metrics()
                body = self._metrics.render()
                return _respond(start_response, 200, CONTENT_TYPE, body)
            case "POST", ["backend-servers", name] if name:
                return self._announce(name, environ, start_response)
        refusal = Refusal(Reason.NOT_FOUND, Step.PARSE, detail=f"{method} {path}")
        return respond_with_problem(refusal, start_response)

    def _announce(
        self, name: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Send an announcement to the control leader and respond with the grants."""
        announcement = _parse(name, read_json_body(environ, MAX_ANNOUNCEMENT_BYTES))
        if isinstance(announcement, Refusal):
            return respond_with_problem(announcement, start_response)
        answer = self._call(
            "control", CALLS.encode(announcement), ANNOUNCE_TIMEOUT_SECONDS
        )
        if answer is None:
            refusal = Refusal(
                Reason.NO_LEADER, Step.ANNOUNCE, retry_after_ms=ANNOUNCE_RETRY_MS
            )
            return respond_with_problem(refusal, start_response)
        result = CALLS.decode(answer)
        if isinstance(result, GrantSet):
            body = encode_grants(result)
            return _respond(start_response, 200, "application/json", body)
        return respond_with_problem(result, start_response)


def _parse(name: str, body: bytes | None) -> Announcement | Refusal:
    """Return the validated announcement, or a refusal."""
    if body is None:
        detail = f"a body of at most {MAX_ANNOUNCEMENT_BYTES} bytes is required"
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, name, detail)
    try:
        fields = msgspec.json.decode(body, type=AnnouncementBody)
    except msgspec.MsgspecError as error:
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, name, str(error))
    if "@" in name or fields.slots < 1 or fields.connections < 1:
        detail = (
            "slots and connections must be positive, and the name must not contain '@'"
        )
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, name, detail)
    problem = _find_range_problem(fields)
    if problem:
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, name, problem)
    if not is_address(fields.address):
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, name, "address is not ip:port")
    announcement = Announcement(
        name,
        fields.service,
        fields.address,
        fields.availability_zone,
        fields.incarnation,
        fields.sequence,
        fields.slots,
        fields.connections,
        fields.load,
        fields.ready,
        fields.checks_grants,
        fields.grant_revision,
    )
    try:
        CALLS.encode(announcement)
    except CodecError as error:
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, name, str(error))
    return announcement


def _find_range_problem(fields: AnnouncementBody) -> str:
    """Return the first number that is out of its range, or an empty text."""
    for field, value, maximum in (
        ("incarnation", fields.incarnation, MAX_INTEGER),
        ("sequence", fields.sequence, MAX_INTEGER),
        ("grant_revision", fields.grant_revision, MAX_INTEGER),
        ("slots", fields.slots, MAX_COUNT),
        ("connections", fields.connections, MAX_COUNT),
        ("load", fields.load, MAX_COUNT),
    ):
        if not 0 <= value <= maximum:
            return f"{field}: found {value!r}; allowed: 0 to {maximum}"
    return ""


def _respond_text(
    start_response: StartResponse, status: int, text: str
) -> Iterable[bytes]:
    """Respond with plain text."""
    return _respond(start_response, status, "text/plain; charset=utf-8", text.encode())


def _respond(
    start_response: StartResponse, status: int, content_type: str, body: bytes
) -> Iterable[bytes]:
    """Respond with a body of the given content type."""
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(format_status_line(status), headers)
    return [body]
