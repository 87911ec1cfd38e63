"""The port of announcements, health, readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from ..codec import CodecError
from ..control.calls import CALLS, Announcement, GrantSet
from ..control.pusher import encode_grants
from ..errors import Reason, Refusal, Step
from ..observe.metrics import CONTENT_TYPE, Metrics
from .problem import Environ, StartResponse, problem_answer, status_line
from .web import read_json_body

__all__ = ["AnnouncementsApp"]

Call = Callable[[str, bytes, float], bytes | None]

MAX_ANNOUNCEMENT_BYTES: Final = 16 * 1024
ANNOUNCE_SECONDS: Final = 1.0
ANNOUNCE_RETRY_MS: Final = 1000


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
    """A WSGI application for backend servers, balancers and metrics."""

    def __init__(
        self, call: Call, find_unready: Callable[[], str], metrics: Metrics
    ) -> None:
        """Ask ``find_unready`` why callers may not be sent; empty for ready."""
        self._call = call
        self._find_unready = find_unready
        self._metrics = metrics

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match method, path.split("/")[1:]:
            case "GET", ["healthz"]:
                return _text(start_response, 200, "alive\n")
            case "GET", ["readyz"]:
                why = self._find_unready()
                return _text(start_response, 503 if why else 200, why or "ready\n")
            case "GET", ["metrics"]:
                body = self._metrics.render()
                return _body(start_response, 200, CONTENT_TYPE, body)
            case "POST", ["backend-servers", name] if name:
                return self._announce(name, environ, start_response)
        refusal = Refusal(Reason.NOT_FOUND, Step.PARSE, detail=f"{method} {path}")
        return problem_answer(refusal, start_response)

    def _announce(
        self, name: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Pass an announcement on and answer with the server's grants."""
        announcement = _parse(name, read_json_body(environ, MAX_ANNOUNCEMENT_BYTES))
        if isinstance(announcement, Refusal):
            return problem_answer(announcement, start_response)
        answer = self._call("control", CALLS.encode(announcement), ANNOUNCE_SECONDS)
        if answer is None:
            refusal = Refusal(
                Reason.NO_LEADER, Step.ANNOUNCE, retry_after_ms=ANNOUNCE_RETRY_MS
            )
            return problem_answer(refusal, start_response)
        result = CALLS.decode(answer)
        if isinstance(result, GrantSet):
            body = encode_grants(result)
            return _body(start_response, 200, "application/json", body)
        return problem_answer(result, start_response)


def _parse(name: str, body: bytes | None) -> Announcement | Refusal:
    """Return a checked announcement."""
    if body is None:
        detail = f"a body of at most {MAX_ANNOUNCEMENT_BYTES} bytes is needed"
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, name, detail)
    try:
        fields = msgspec.json.decode(body, type=AnnouncementBody)
    except msgspec.MsgspecError as error:
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, name, str(error))
    if "@" in name or fields.slots < 1 or fields.connections < 1:
        detail = "slots and connections must be positive, and the name without '@'"
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, name, detail)
    ip, _, port = fields.address.rpartition(":")
    if not ip or not port.isdecimal():
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
    except (CodecError, OverflowError) as error:
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, name, str(error))
    return announcement


def _text(start_response: StartResponse, status: int, text: str) -> Iterable[bytes]:
    """Answer with plain text."""
    return _body(start_response, status, "text/plain; charset=utf-8", text.encode())


def _body(
    start_response: StartResponse, status: int, kind: str, body: bytes
) -> Iterable[bytes]:
    """Answer with a body."""
    headers = [("Content-Type", kind), ("Content-Length", str(len(body)))]
    start_response(status_line(status), headers)
    return [body]
