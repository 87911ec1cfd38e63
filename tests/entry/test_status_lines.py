"""Tests of status lines that are none of the protocol, on the product's own port."""

from __future__ import annotations

import pytest

from dragonflyrock.entry.forward import Forwarder, ServerResponse
from dragonflyrock.errors import Outcome, Reason, Refusal
from tests.status_lines import BAD_STATUS_LINES, GOOD_STATUS_LINES

from .test_faulty_answers import Peer, forward, peer
from .test_gate_notices import GateHost, host

__all__ = ["host", "peer"]

# The head of an answer that is believed if its status is: named, and not run.
FIELDS = (
    b"\r\nX-Request-Id: id-1\r\nX-Outcome: not-run\r\nX-Reason: full\r\n"
    b"Content-Length: 0\r\n\r\n"
)
NAMED = b"\r\nX-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n"


# Guards against MIXED and REFUSED: an answer whose status is none is passed on, or
# believed that the request has not run.
@pytest.mark.parametrize("fields", [NAMED, FIELDS], ids=["answer", "refusal"])
@pytest.mark.parametrize("line", BAD_STATUS_LINES.values(), ids=BAD_STATUS_LINES)
def test_a_status_that_is_none_is_no_answer(
    host: GateHost, peer: Peer, line: bytes, fields: bytes
) -> None:
    peer.answers = [(line + fields, False)]
    forwarder = Forwarder(lambda: host.now, 1000)
    result = forward(host, forwarder, "id-1")
    assert isinstance(result, Refusal)
    assert result.outcome == Outcome.UNKNOWN
    assert result.reason in (Reason.BAD_ANSWER, Reason.CONNECTION_LOST)
    forwarder.close()


# Guards against an answer that is refused for its unusual but legal status line.
@pytest.mark.parametrize("line", GOOD_STATUS_LINES)
def test_a_legal_status_is_passed_on(host: GateHost, peer: Peer, line: bytes) -> None:
    peer.answers = [(line + NAMED, False)]
    forwarder = Forwarder(lambda: host.now, 1000)
    result = forward(host, forwarder, "id-1")
    assert isinstance(result, ServerResponse)
    assert result.status == GOOD_STATUS_LINES[line]
    forwarder.close()


# Guards against interim responses that are taken for the answer.
@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_an_interim_status_is_skipped(host: GateHost, peer: Peer, status: int) -> None:
    interim = b"HTTP/1.1 %d Wait\r\nX-Request-Id: id-1\r\n\r\n" % status
    peer.answers = [(interim * 2 + b"HTTP/1.1 200 OK" + NAMED, False)]
    forwarder = Forwarder(lambda: host.now, 1000)
    result = forward(host, forwarder, "id-1")
    assert isinstance(result, ServerResponse)
    assert result.status == 200
    forwarder.close()
