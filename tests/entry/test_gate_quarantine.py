"""Tests of requests in quarantine, and of refusals of requests that waited."""

from __future__ import annotations

from dragonflyrock.entry.gate import Gate, InFlightRequest
from dragonflyrock.errors import Reason, Refusal
from dragonflyrock.hashing import KEY_SPACE
from dragonflyrock.models import Delta, QuarantineRow, RangeRow, RangeState, ServerRow
from dragonflyrock.transport.messages import HostUpdate

SERVER = ServerRow("one", "s", "127.0.0.1:9", "a", 1, 2, 1, True)


def start_gate(clock: list[float], state: RangeState = RangeState.ACTIVE) -> Gate:
    """Return a gate with a lease, whose only server owns all keys."""
    gate = Gate(lambda: clock[0], 1000.0, 10)
    row = RangeRow("s", 0, KEY_SPACE - 1, SERVER.holder, 1, state, "", 1)
    delta = Delta(0, 1, True, (row,), (SERVER,))
    gate.apply(HostUpdate(1, "leader", clock[0], 1, delta, 0, None))
    return gate


# Guards against a third server lost to a request that was quarantined while its retry
# waited.
def test_a_quarantined_request_is_not_sent_again() -> None:
    clock = [100.0]
    gate = start_gate(clock)
    suspect = QuarantineRow("f", "c", "GET", "/", ("a",), False, 0, 1)
    gate.tables.quarantines["f"] = suspect
    first = gate.try_begin_dispatch("s", 7, "f", 105.0)
    assert isinstance(first, InFlightRequest)
    gate.end_dispatch(first, may_still_run=False)
    gate.tables.quarantines["f"] = suspect._replace(holders=("a", "b"), refused=True)
    refusal = gate.try_begin_dispatch("s", 7, "f", 105.0)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == Reason.QUARANTINED
    assert isinstance(gate.try_begin_dispatch("s", 7, "g", 105.0), InFlightRequest)


# Guards against a reason that sends whoever reads it to the wrong cause.
def test_the_reason_of_a_request_that_waited_says_what_it_waited_for() -> None:
    clock = [100.0]
    gate = start_gate(clock)
    assert isinstance(gate.try_begin_dispatch("s", 7, "f", 105.0), InFlightRequest)
    assert gate.try_begin_dispatch("s", 7, "g", 105.0) is None
    clock[0] = 105.0
    late = gate.try_begin_dispatch("s", 7, "g", 105.0)
    assert isinstance(late, Refusal)
    assert late.detail == "the server has no free connection for this host"
    moving = start_gate([100.0], RangeState.MOVING)
    late = moving.try_begin_dispatch("s", 7, "g", 100.0)
    assert isinstance(late, Refusal)
    assert late.detail == "the key's range is moving"
