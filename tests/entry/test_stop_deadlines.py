"""Requests to a stopping host that may outlast it, on the product's own port."""

from __future__ import annotations

import pytest

from dragonflyrock.entry.gate import InFlightRequest
from dragonflyrock.errors import Outcome, Reason

from .test_gate_notices import GateHost, host

__all__ = ["host"]

# The deadline of the requests of the harness.
DEADLINE_SECONDS = 5.0


# Guards against LOST: a request is taken in a planned stop though its deadline is after
# the end of the host, and is cut while its server runs it.
def test_a_request_that_may_outlast_the_host_is_refused(host: GateHost) -> None:
    assert host.gate.check_deadline(host.now + 1000.0) is None
    host.gate.set_end(host.now + 3.0)
    assert host.gate.check_deadline(host.now + 3.0) is None
    refusal = host.gate.check_deadline(host.now + 3.1)
    assert refusal is not None
    assert (refusal.reason, refusal.outcome) == (Reason.STOPPING, Outcome.NOT_RUN)
    assert refusal.retry_after_ms


# Guards against LOST: a request that waits when the stop begins is sent late, and is
# cut at the end.
@pytest.mark.parametrize(
    ("end_seconds", "expected"),
    [(DEADLINE_SECONDS - 0.1, Reason.STOPPING), (DEADLINE_SECONDS, None)],
)
def test_a_waiting_request_is_not_sent_if_it_may_outlast_the_host(
    host: GateHost, end_seconds: float, expected: Reason | None
) -> None:
    in_flight = host.begin()
    assert isinstance(in_flight, InFlightRequest)
    host.gate.set_end(host.now + end_seconds)
    refusal = host.gate.recheck(in_flight)
    assert (refusal.reason if refusal else None) == expected
