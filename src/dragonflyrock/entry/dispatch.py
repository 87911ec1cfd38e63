"""Dispatching a request: locate, forward, retry within bounds."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from ..errors import Outcome, Reason, Refusal, Step
from ..observe import EventRing
from ..observe.metrics import Metrics
from ..systems.retries import (
    AwaitOwner,
    BackOff,
    Decision,
    RetryBudget,
    RetryPolicy,
    decide_retry,
)
from .forward import Forwarder, ServerRequest, ServerResponse
from .gate import Gate, InFlightRequest
from .request import CallerRequest

__all__ = ["Dispatcher"]


class Dispatcher:
    """Bring requests to the owners of their keys."""

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
    ) -> None:
        """Report requests that lost their server, and suspects that did not."""
        self._gate = gate
        self._forwarder = forwarder
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._report_crash = report_crash
        self._clear_suspect = clear_suspect
        self._policy = RetryPolicy()
        self._budgets: dict[str, RetryBudget] = {}

    def dispatch(self, request: CallerRequest) -> ServerResponse | Refusal:
        """Return the owner's answer, or why there is none, as soon as it is known."""
        contract = request.contract.contract
        budget = self._budgets.setdefault(contract.customer, RetryBudget())
        budget.earn(contract.retry_percent)
        attempt = 0
        while True:
            result, epoch = self._attempt(request)
            if isinstance(result, ServerResponse):
                return result
            attempt += 1
            decision = decide_retry(
                result,
                attempt,
                self._policy,
                self._random,
                idempotent=request.idempotent,
            )
            if not self._pause(request, decision, epoch, budget):
                return result
            self._metrics.retries.labels(request.service).inc()

    def _pause(
        self,
        request: CallerRequest,
        decision: Decision,
        epoch: int,
        budget: RetryBudget,
    ) -> bool:
        """Wait as was decided; return whether to try again."""
        now = self._clock()
        match decision:
            case AwaitOwner(pause) if now < request.deadline:
                until = min(request.deadline, now + pause)
                self._gate.await_change(request.service, request.key_hash, epoch, until)
                return self._clock() < request.deadline
            case BackOff(pause) if now + pause < request.deadline and budget.spend():
                time.sleep(pause)
                return True
        return False

    def _attempt(self, request: CallerRequest) -> tuple[ServerResponse | Refusal, int]:
        """Dispatch once; return the result and the owner's epoch."""
        in_flight = self._gate.begin_dispatch(
            request.service, request.key_hash, request.fingerprint, request.deadline
        )
        if isinstance(in_flight, Refusal):
            return in_flight, 0
        self._note("dispatched", request, in_flight, f"epoch {in_flight.epoch}")
        result: ServerResponse | Refusal = Refusal(
            Reason.INTERNAL, Step.DISPATCH, outcome=Outcome.UNKNOWN
        )
        try:
            result = self._forwarder.forward(in_flight, self._server_request(request))
        finally:
            unknown = isinstance(result, Refusal) and result.outcome == Outcome.UNKNOWN
            self._gate.end_dispatch(in_flight, may_still_run=unknown)
        if isinstance(result, Refusal):
            self._note("dispatch-failed", request, in_flight, result.reason)
            self._follow_up(request, in_flight, result)
        else:
            self._note("answered", request, in_flight, str(result.status))
            if self._gate.find_quarantine(request.fingerprint) is not None:
                self._clear_suspect(request)
        return result, in_flight.epoch

    def _follow_up(
        self, request: CallerRequest, in_flight: InFlightRequest, refusal: Refusal
    ) -> None:
        """Cancel what is late, and report a server lost under a request."""
        if refusal.reason == Reason.DEADLINE and refusal.outcome == Outcome.UNKNOWN:
            self._forwarder.cancel(in_flight, request.request_id)
        if refusal.reason == Reason.CONNECTION_LOST:
            self._report_crash(request, in_flight.server.holder)

    @staticmethod
    def _server_request(request: CallerRequest) -> ServerRequest:
        """Return the request as it goes to a backend server."""
        return ServerRequest(
            request.method,
            request.target,
            request.headers,
            request.body,
            request.request_id,
        )

    def _note(
        self, kind: str, request: CallerRequest, in_flight: InFlightRequest, detail: str
    ) -> None:
        """Show a step in the time line."""
        self._events.add(
            kind,
            request=request.request_id,
            service=request.service,
            key=request.key,
            range_low=in_flight.ref.low,
            server=in_flight.server.holder,
            detail=detail,
        )
