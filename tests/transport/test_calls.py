"""Calls of a process that has started again, at both ends of the link."""

from __future__ import annotations

from dragonflyrock.transport.calls import CallTable
from dragonflyrock.transport.messages import MESSAGES, CallAnswer, CallRequest

GROUP = "control"
TIMEOUT_SECONDS = 0.9


class Caller:
    """A process that calls the leader, and what it sent and was answered."""

    def __init__(self) -> None:
        """Start without calls."""
        self.sent: list[CallRequest] = []
        self.answers: list[bytes | None] = []
        self.table = CallTable(("leader",), self._send)

    def _send(self, peer: str, request: CallRequest) -> bool:
        """Record a request."""
        self.sent.append(request)
        return True

    def call(self) -> int:
        """Start a call and return its id."""
        self.table.start(GROUP, b"call", TIMEOUT_SECONDS, self.answers.append, 0.0)
        return self.sent[-1].call_id

    def receive(self, call_id: int, *, is_redirect: bool = False) -> None:
        """Deliver an answer to a call."""
        answer = CallAnswer(call_id, is_redirect, "leader", b"answer")
        self.table.answer("leader", answer, 0.1)


# Guards against CONFIG: a node that is started again gives one operator the answer to
# the change of another, which its former process had passed to the leader.
def test_an_answer_to_a_call_of_the_former_process_is_not_taken() -> None:
    former, present = Caller(), Caller()
    former_ids = [former.call() for _ in range(50)]
    present_ids = [present.call() for _ in range(50)]
    for call_id in former_ids:
        present.receive(call_id)
        present.receive(call_id, is_redirect=True)
    assert present.answers == []
    present.receive(present_ids[0])
    assert present.answers == [b"answer"]


# Guards against an id that the encoding of a link, or a former build, cannot hold.
def test_ids_of_calls_fit_in_a_signed_64_bit_integer() -> None:
    for _ in range(20):
        caller = Caller()
        ids = [caller.call() for _ in range(3)]
        assert ids == [ids[0], ids[0] + 1, ids[0] + 2]
        assert all(0 <= call_id < 2**63 for call_id in ids)
        assert MESSAGES.decode(MESSAGES.encode(caller.sent[0])) == caller.sent[0]
