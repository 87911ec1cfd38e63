"""The WSGI application for operators, which the command-line tool uses."""

from __future__ import annotations

import hashlib
import hmac
import time
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qs

import msgspec

from ..control import calls
from ..control.commands import (
    COMMANDS,
    RESULTS,
    CancelStop,
    Command,
    EvacuateZone,
    LiftQuarantine,
    PlanStop,
    PutContract,
)
from ..control.member import CONTROL_GROUP
from ..errors import Reason, Refusal, Step
from ..models import Contract
from ..observe import Event, EventFilter, EventRing
from .problem import Environ, StartResponse, format_status_line, respond_with_problem
from .web import read_json_body

__all__ = ["ChangeBody", "ContractBody", "OperatorsApp"]

Call = Callable[[str, bytes, float], bytes | None]

MAX_BODY_BYTES: Final = 1024 * 1024
CALL_TIMEOUT_SECONDS: Final = 5.0
# An order names the revision of a status that was read soon after it.
MAX_STATUS_SECONDS: Final = 0.7
MAX_EVENT_COUNT: Final = 20_000
RETRY_AFTER_MS: Final = 1000


class ContractFields(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The JSON object of a contract; see ``Contract``."""

    customer: str
    token_sha256: tuple[str, ...]
    services: tuple[str, ...]
    requests_per_second: float
    burst_requests: int
    concurrent_requests: int
    body_bytes: int
    deadline_ms: int
    retry_percent: float = 10.0


class ContractBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The JSON object that puts a contract."""

    change_id: str
    operator: str
    expected_version: int
    contract: ContractFields


class ChangeBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The JSON object of a change whose subject is in the path."""

    change_id: str
    operator: str


class EventList(NamedTuple):
    """The events of one host, oldest first."""

    host: str
    events: tuple[Event, ...]


class OperatorsApp:
    """A WSGI application whose requests need an operator's token."""

    def __init__(
        self,
        call: Call,
        token_sha256: tuple[str, ...],
        events: EventRing,
        longest_deadline_ms: int,
        may_read_late: Callable[[], bool] = lambda: False,
    ) -> None:
        """Set up an application that reaches the control leader by ``call``.

        ``call`` sends a message to a group's leader, with a timeout in seconds, and
        returns the answer or None. ``token_sha256`` are the hashes of the operators'
        tokens, in hexadecimal. ``longest_deadline_ms`` bounds contracts' deadlines.
        ``may_read_late`` returns whether a request may have waited unread for long.
        """
        self._may_read_late = may_read_late
        self._longest_deadline_ms = longest_deadline_ms
        self._call = call
        self._token_sha256 = token_sha256
        self._events = events

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        if not self._is_operator(environ.get("HTTP_AUTHORIZATION", "")):
            refusal = Refusal(Reason.UNKNOWN_TOKEN, Step.AUTHENTICATE)
            return respond_with_problem(refusal, start_response)
        result = self._route(environ)
        if isinstance(result, Refusal):
            return respond_with_problem(result, start_response)
        body = msgspec.json.encode(_to_json_objects(result))
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(format_status_line(200), headers)
        return [body]

    def _is_operator(self, header: str) -> bool:
        """Return whether the header contains an operator's token."""
        token = header.partition(" ")[2].encode("latin-1", "replace")
        digest = hashlib.sha256(token).hexdigest()
        matches = [
            hmac.compare_digest(digest, token_hash) for token_hash in self._token_sha256
        ]
        return any(matches)

    def _route(self, environ: Environ) -> object:
        """Handle a request by its method and path, and return the result."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match method, path.split("/")[1:]:
            case "GET", ["status"]:
                return self._call_leader(calls.ReadStatus())
            case "GET", ["events"]:
                return self._select_events(environ.get("QUERY_STRING", ""))
            case "GET", ["contracts"]:
                return self._call_leader(calls.ListContracts())
            case "GET", ["contracts", customer]:
                return self._call_leader(calls.ListContracts(customer))
            case "PUT", ["contracts", customer]:
                return self._put_contract(customer, environ)
            case "GET", ["ranges", service]:
                return self._call_leader(calls.ListRanges(service))
            case "GET", ["quarantines"]:
                return self._call_leader(calls.ListQuarantines())
            case "DELETE", ["quarantines", fingerprint]:
                return self._propose_change(LiftQuarantine, fingerprint, environ)
            case "PUT", ["stops", server]:
                return self._propose_change(PlanStop, server, environ)
            case "DELETE", ["stops", server]:
                return self._propose_change(CancelStop, server, environ)
            case "PUT", ["evacuations", zone]:
                return self._order_evacuation(zone, evacuated=True)
            case "DELETE", ["evacuations", zone]:
                return self._order_evacuation(zone, evacuated=False)
            case "PUT", ["members", name]:
                return self._call_leader(calls.AddMember(name))
            case "DELETE", ["members", name]:
                return self._call_leader(calls.RemoveMember(name))
            case "POST", ["leadership"]:
                return self._call_leader(calls.HandOverLeadership())
        return Refusal(Reason.NOT_FOUND, Step.PARSE, detail=f"{method} {path}")

    def _call_leader(self, call: object) -> object:
        """Send a call to the control leader and return its result or a refusal."""
        answer = self._call(
            CONTROL_GROUP, calls.CALLS.encode(call), CALL_TIMEOUT_SECONDS
        )
        if answer is None:
            return _refuse_without_leader()
        return calls.CALLS.decode(answer)

    def _propose(self, command: Command) -> object:
        """Commit a command and return its result or a refusal."""
        propose = calls.Propose(COMMANDS.encode(command))
        answer = self._call(
            CONTROL_GROUP, calls.CALLS.encode(propose), CALL_TIMEOUT_SECONDS
        )
        if answer is None:
            return _refuse_without_leader()
        return RESULTS.decode(answer)

    def _put_contract(self, customer: str, environ: Environ) -> object:
        """Create or change a contract."""
        fields = _decode(environ, ContractBody)
        if isinstance(fields, Refusal):
            return fields
        problem = _check_contract(customer, fields, self._longest_deadline_ms)
        if problem:
            return Refusal(Reason.BAD_REQUEST, Step.PARSE, customer, problem)
        return self._propose(
            PutContract(
                fields.change_id,
                fields.operator,
                fields.expected_version,
                Contract(**msgspec.structs.asdict(fields.contract)),
            )
        )

    def _propose_change(
        self,
        command_type: type[PlanStop] | type[CancelStop] | type[LiftQuarantine],
        subject: str,
        environ: Environ,
    ) -> object:
        """Commit a change whose subject is in the path."""
        fields = _decode(environ, ChangeBody)
        if isinstance(fields, Refusal):
            return fields
        return self._propose(command_type(fields.change_id, fields.operator, subject))

    def _order_evacuation(self, zone: str, *, evacuated: bool) -> object:
        """Evacuate an availability zone of a host or server, or take it back.

        These orders have no change id that would tell a late one from a new one.
        """
        if self._may_read_late():
            return _refuse_outdated("this host stood still")
        began_at = time.monotonic()
        status = self._call_leader(calls.ReadStatus())
        if time.monotonic() - began_at > MAX_STATUS_SECONDS:
            return _refuse_outdated("the leader's status came late")
        if not isinstance(status, calls.Status):
            return status
        zones = {host.zone for host in status.hosts}
        zones.update(server.zone for server in status.servers)
        if zone not in zones:
            detail = f"found {zone!r}; allowed: {', '.join(sorted(zones))}"
            return Refusal(Reason.NOT_FOUND, Step.PARSE, zone, detail)
        return self._propose(EvacuateZone(zone, evacuated, status.revision))

    def _select_events(self, query: str) -> EventList | Refusal:
        """Return the events of this host that match the query, or a refusal."""
        fields: dict[str, Any] = {
            key: value[-1] for key, value in parse_qs(query).items()
        }
        try:
            event_query = msgspec.convert(fields, _EventQuery, strict=False)
        except msgspec.ValidationError as error:
            return Refusal(Reason.BAD_REQUEST, Step.PARSE, detail=str(error))
        event_filter = EventFilter(
            event_query.request,
            event_query.key,
            event_query.range_low,
            event_query.server,
            event_query.host,
            event_query.since_ms,
            event_query.until_ms,
        )
        events = self._events.select(
            event_filter, min(event_query.limit, MAX_EVENT_COUNT)
        )
        return EventList(self._events.host, tuple(events))


class _EventQuery(msgspec.Struct, forbid_unknown_fields=True):
    """The query parameters of a request for events."""

    request: str = ""
    key: str = ""
    range_low: int = -1
    server: str = ""
    host: str = ""
    since_ms: int = 0
    until_ms: int = 0
    limit: int = 1000


def _refuse_outdated(detail: str) -> Refusal:
    """Return the refusal of an order whose operator may have sent others since."""
    return Refusal(
        Reason.OUTDATED, Step.PARSE, detail=detail, retry_after_ms=RETRY_AFTER_MS
    )


def _refuse_without_leader() -> Refusal:
    """Return the refusal of a call that no leader answered; it may have run."""
    detail = "the change may have been accepted; send it again with the same change_id"
    return Refusal(
        Reason.NO_LEADER, Step.COMMIT, detail=detail, retry_after_ms=RETRY_AFTER_MS
    )


def _decode(environ: Environ, body_type: type[Any]) -> Any:
    """Return the body, decoded as ``body_type``, or a refusal."""
    body = read_json_body(environ, MAX_BODY_BYTES)
    if body is None:
        detail = f"a body of at most {MAX_BODY_BYTES} bytes is required"
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, detail=detail)
    try:
        fields = msgspec.json.decode(body, type=body_type)
    except msgspec.MsgspecError as error:
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, detail=str(error))
    if not fields.change_id or not fields.operator:
        detail = "change_id and operator must not be empty"
        return Refusal(Reason.BAD_REQUEST, Step.PARSE, detail=detail)
    return fields


def _check_contract(
    customer: str, fields: ContractBody, longest_deadline_ms: int
) -> str:
    """Return the first problem of a contract, or an empty text."""
    contract = fields.contract
    if contract.customer != customer:
        return f"contract.customer: found {contract.customer!r}; allowed: {customer!r}"
    positive = (
        ("requests_per_second", contract.requests_per_second),
        ("burst_requests", contract.burst_requests),
        ("concurrent_requests", contract.concurrent_requests),
        ("deadline_ms", contract.deadline_ms),
    )
    for name, value in positive:
        if not 0 < value < 10**9:
            return f"contract.{name}: found {value!r}; allowed: more than 0"
    if contract.deadline_ms > longest_deadline_ms:
        allowed = f"at most {longest_deadline_ms} (limits.longest_deadline_ms)"
        return f"contract.deadline_ms: found {contract.deadline_ms}; allowed: {allowed}"
    if not 0 <= contract.body_bytes < 2**40:
        return f"contract.body_bytes: found {contract.body_bytes!r}; allowed: 0 or more"
    if not 0 <= contract.retry_percent <= 100:
        found = contract.retry_percent
        return f"contract.retry_percent: found {found!r}; allowed: 0 to 100"
    if not 0 <= fields.expected_version < 2**63:
        return f"expected_version: found {fields.expected_version}; allowed: 0 or more"
    for token in contract.token_sha256:
        if len(token) != 64 or not set(token) <= set("0123456789abcdef"):
            return f"contract.token_sha256: found {token!r}; allowed: 64 hex digits"
    return ""


def _to_json_objects(record: object) -> object:
    """Return a value with all named tuples in it replaced by dictionaries."""
    if isinstance(record, tuple):
        names = getattr(record, "_fields", None)
        if names is None:
            return [_to_json_objects(item) for item in record]
        return {
            name: _to_json_objects(value)
            for name, value in zip(names, record, strict=True)
        }
    return record
