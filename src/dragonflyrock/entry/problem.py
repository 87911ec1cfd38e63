"""HTTP error responses of the router, as RFC 9457 problem details."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Final, TypedDict

import msgspec

from ..errors import Outcome, Reason, Refusal

__all__ = [
    "Environ",
    "Problem",
    "StartResponse",
    "format_status_line",
    "respond_with_problem",
]

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]

HTTP_STATUS_BY_REASON: Final = {
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.UNKNOWN_TOKEN: HTTPStatus.UNAUTHORIZED,
    Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    Reason.NOT_FOUND: HTTPStatus.NOT_FOUND,
    Reason.SERVICE_NOT_IN_CONTRACT: HTTPStatus.FORBIDDEN,
    Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.RATE_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.CONCURRENCY_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.CONNECTION_LOST: HTTPStatus.BAD_GATEWAY,
    Reason.OWNER_LOST: HTTPStatus.BAD_GATEWAY,
    Reason.BAD_ANSWER: HTTPStatus.BAD_GATEWAY,
    Reason.IN_PROGRESS: HTTPStatus.CONFLICT,
    Reason.NOT_RUN_AGAIN: HTTPStatus.CONFLICT,
    Reason.IDEMPOTENCY_KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.VERSION_CONFLICT: HTTPStatus.CONFLICT,
    Reason.NOT_ALLOWED: HTTPStatus.CONFLICT,
    Reason.OLD_INCARNATION: HTTPStatus.CONFLICT,
    Reason.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}
# Callers take these as the word that their request has not run.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


class Problem(TypedDict):
    """The JSON object of an error response."""

    type: str
    title: str
    status: int
    reason: str
    outcome: str
    step: str
    peer: str
    detail: str


def format_status_line(status: int) -> str:
    """Return the status code and its reason phrase.

    >>> format_status_line(404)
    '404 Not Found'
    """
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def _find_status(refusal: Refusal) -> HTTPStatus:
    """Return the status of a refusal.

    Callers take some as the word that the request has not run.

    >>> from dragonflyrock.errors import Step
    >>> refusal = Refusal(Reason.REFUSED_BY_SERVER, Step.DISPATCH)
    >>> int(_find_status(refusal))
    503
    >>> int(_find_status(refusal._replace(outcome=Outcome.UNKNOWN)))
    502
    """
    unavailable = HTTPStatus.SERVICE_UNAVAILABLE
    status = HTTP_STATUS_BY_REASON.get(refusal.reason, unavailable)
    if refusal.outcome != Outcome.NOT_RUN and status in NOT_RUN_STATUSES:
        return HTTPStatus.BAD_GATEWAY
    return status


def respond_with_problem(
    refusal: Refusal,
    start_response: StartResponse,
    request_id: str = "",
    status: HTTPStatus | None = None,
) -> Iterable[bytes]:
    """Start the response for a refusal and return its body.

    The status follows from the reason, unless it is given. Retry-After is in whole
    seconds, rounded up, and left out if the refusal has none.
    """
    if status is None:
        status = _find_status(refusal)
    problem = Problem(
        type="about:blank",
        title=refusal.reason.replace("-", " "),
        status=int(status),
        reason=refusal.reason,
        outcome=refusal.outcome,
        step=refusal.step,
        peer=refusal.peer,
        detail=refusal.detail,
    )
    body = msgspec.json.encode(problem)
    headers = [
        ("Content-Type", "application/problem+json"),
        ("Content-Length", str(len(body))),
        ("X-Outcome", refusal.outcome.value),
    ]
    if request_id:
        headers.append(("X-Request-Id", request_id))
    if refusal.retry_after_ms:
        headers.append(("Retry-After", str(-(-refusal.retry_after_ms // 1000))))
    if status == HTTPStatus.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    start_response(format_status_line(status), headers)
    return [body]
