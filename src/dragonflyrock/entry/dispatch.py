"""Dispatch of requests: find the key's owner, forward, and retry within limits."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random
from typing import Final

from ..errors import Outcome, Reason, Refusal, Step
from ..observe import EventRing
from ..observe.metrics import Metrics
from ..systems.retries import (
    AwaitOwner,
    BackOff,
    CustomerRetryBudget,
    Decision,
    RetryPolicy,
    decide_retry,
)
from .forward import Forwarder, ServerRequest, ServerResponse
from .gate import Gate, InFlightRequest
from .request import CallerRequest
from .server_check import has_server_ended

__all__ = ["Dispatcher"]

SUSPECT_POLL_SECONDS: Final = 0.02


class Dispatcher:
    """Send requests to the owners of their keys."""

    def __init__(
        self,
        gate: Gate,
        forwarder: Forwarder,
        events: EventRing,
        metrics: Metrics,
        clock: Callable[[], float],
        random: Random,
        report_crash: Callable[[CallerRequest, str], None],
        clear_suspect: Callable[[CallerRequest], None],
        begin_suspect_run: Callable[[CallerRequest, str], bool],
        has_server_ended: Callable[[str], bool] = has_server_ended,
    ) -> None:
        """Set up a dispatcher without retry budgets.

        ``report_crash`` receives a request and the holder whose connection was lost
        while it ran the request. ``clear_suspect`` receives a quarantined request
        that was answered. ``begin_suspect_run`` returns whether a suspect may be sent
        to a holder now, as no host may be running another one there.
        ``has_server_ended`` returns it for a server's address, after a lost connection.
        """
        self._gate = gate
        self._forwarder = forwarder
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._report_crash = report_crash
        self._clear_suspect = clear_suspect
        self._begin_suspect_run = begin_suspect_run
        self._has_server_ended = has_server_ended
        self._policy = RetryPolicy()
        self._budgets: dict[str, CustomerRetryBudget] = {}

    def dispatch(self, request: CallerRequest) -> ServerResponse | Refusal:
        """Return the owner's response, or the refusal of the last attempt."""
        contract = request.contract_row.contract
        budget = self._budgets.setdefault(contract.customer, CustomerRetryBudget())
        budget.earn(contract.retry_percent)
        attempt = 0
        may_have_run = False
        while True:
            result, epoch = self._attempt(request)
            if isinstance(result, ServerResponse):
                return result
            may_have_run = may_have_run or result.outcome != Outcome.NOT_RUN
            if may_have_run and result.outcome == Outcome.NOT_RUN:
                # The last server has not run it, but one before it may have.
                result = result._replace(outcome=Outcome.UNKNOWN)
            attempt += 1
            decision = decide_retry(
                result,
                attempt,
                self._policy,
                self._random,
                idempotent=request.idempotent,
            )
            if not self._wait_to_retry(request, decision, epoch, budget):
                return result
            self._metrics.retries.labels(request.service).inc()

    def _wait_to_retry(
        self,
        request: CallerRequest,
        decision: Decision,
        epoch: int,
        budget: CustomerRetryBudget,
    ) -> bool:
        """Wait as ``decision`` says and return whether to try again."""
        now = self._clock()
        match decision:
            case AwaitOwner(pause) if now < request.deadline:
                until = min(request.deadline, now + pause)
                self._gate.wait_for_new_owner(
                    request.service, request.key_hash, epoch, until
                )
                return self._clock() < request.deadline
            case BackOff(pause) if now + pause < request.deadline and budget.spend():
                time.sleep(pause)
                return True
        return False

    def _attempt(self, request: CallerRequest) -> tuple[ServerResponse | Refusal, int]:
        """Dispatch once and return the result and the owner's epoch."""
        in_flight = self._begin(request)
        if isinstance(in_flight, Refusal):
            return in_flight, 0
        self._record_event("dispatched", request, in_flight, f"epoch {in_flight.epoch}")
        result: ServerResponse | Refusal = Refusal(
            Reason.INTERNAL, Step.DISPATCH, outcome=Outcome.UNKNOWN
        )
        try:
            result = self._forwarder.forward(
                in_flight, self._make_server_request(request)
            )
        finally:
            unknown = isinstance(result, Refusal) and result.outcome == Outcome.UNKNOWN
            self._gate.end_dispatch(in_flight, may_still_run=unknown)
        if isinstance(result, Refusal):
            self._record_event("dispatch-failed", request, in_flight, result.reason)
            self._handle_failure(request, in_flight, result)
        else:
            self._record_event("answered", request, in_flight, str(result.status))
            if self._gate.find_quarantine(request.fingerprint) is not None:
                self._clear_suspect(request)
        return result, in_flight.epoch

    def _begin(self, request: CallerRequest) -> InFlightRequest | Refusal:
        """Wait until the request may be sent to its owner, a suspect with no other."""
        waits = False
        while True:
            in_flight = self._gate.begin_dispatch(
                request.service, request.key_hash, request.fingerprint, request.deadline
            )
            if isinstance(in_flight, Refusal):
                return in_flight
            holder = in_flight.server.holder
            if self._gate.find_quarantine(
                request.fingerprint
            ) is None or self._begin_suspect_run(request, holder):
                return in_flight
            if not waits:
                self._record_event("suspect-waits", request, in_flight, "")
                waits = True
            self._gate.end_dispatch(in_flight, may_still_run=False)
            if self._clock() + SUSPECT_POLL_SECONDS >= request.deadline:
                detail = "the server may be running another suspect request"
                return Refusal(
                    Reason.DEADLINE, Step.LOCATE, in_flight.server.name, detail
                )
            time.sleep(SUSPECT_POLL_SECONDS)

    def _handle_failure(
        self, request: CallerRequest, in_flight: InFlightRequest, refusal: Refusal
    ) -> None:
        """Cancel a request after its deadline, or report a possible crash."""
        if refusal.reason == Reason.DEADLINE and refusal.outcome == Outcome.UNKNOWN:
            self._forwarder.cancel(in_flight, request.request_id)
        if refusal.reason == Reason.CONNECTION_LOST:
            has_ended = self._has_server_ended(in_flight.server.address)
            detail = "the server ended" if has_ended else "the server runs on"
            self._record_event("connection-lost", request, in_flight, detail)
            if has_ended:
                self._report_crash(request, in_flight.server.holder)

    @staticmethod
    def _make_server_request(request: CallerRequest) -> ServerRequest:
        """Return the request to send to a backend server."""
        return ServerRequest(
            request.method,
            request.target,
            request.headers,
            request.body,
            request.request_id,
        )

    def _record_event(
        self, kind: str, request: CallerRequest, in_flight: InFlightRequest, detail: str
    ) -> None:
        """Add an event of a request to the event ring."""
        self._events.add(
            kind,
            request=request.request_id,
            service=request.service,
            key=request.key,
            range_low=in_flight.ref.low,
            server=in_flight.server.holder,
            detail=detail,
        )
