"""Calls that are sent again before they are answered, as a slow commit causes."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from dragonflyrock.consensus import Timing, group, open_group
from dragonflyrock.control import calls
from dragonflyrock.control import commands as c
from dragonflyrock.control.directed_models import DirectedTiming
from dragonflyrock.control.member import CONTROL_GROUP, ControlMember, MemberConfig
from dragonflyrock.control.state import ControlState
from dragonflyrock.control.tables import LeaderTiming
from dragonflyrock.errors import Reason, Refusal
from dragonflyrock.observe import EventRing, HybridClock
from dragonflyrock.observe.metrics import Metrics
from dragonflyrock.routes import RouteDocument
from dragonflyrock.transport.calls import CallTable
from dragonflyrock.transport.messages import CallAnswer, CallRequest, LinkMessage


class Leader:
    """A control node that leads a group of its own."""

    def __init__(self, folder: Path) -> None:
        """Start at second 0 and run until it leads."""
        self.now = 0.0
        self.sent: list[tuple[str, LinkMessage]] = []
        self.state = ControlState()
        self.group = open_group(
            CONTROL_GROUP, "me", folder, ("me",), Timing(), Random(1), self.state, 0.0
        )
        self.member = ControlMember(
            MemberConfig("me", {}, LeaderTiming(), DirectedTiming(), "a"),
            {CONTROL_GROUP: self.group},
            self.state,
            EventRing("me", HybridClock(lambda: self.now)),
            Metrics(),
            lambda peer, message: self.sent.append((peer, message)),
            lambda task: task(),
            lambda: self.now,
        )
        while not self.group.is_settled_leader(self.now):
            self.now += 0.05
            self.member.tick(self.now)
            self.member.flush(self.now)
        self.first_index = self.group.replica.log.last_index

    def call(self, call_id: int, version: int, sender: str = "node") -> None:
        """Deliver a call that replaces the route document."""
        command = c.PutRoutes(version - 1, f"digest {version}", RouteDocument(version))
        body = calls.CALLS.encode(calls.Propose(c.COMMANDS.encode(command)))
        request = CallRequest(call_id, CONTROL_GROUP, body)
        self.member.receive_call(sender, request, self.now)

    def list_answers(self) -> list[tuple[str, int, c.Result]]:
        """Return the answers to calls: caller, number and result."""
        return [
            (peer, message.call_id, c.RESULTS.decode(message.body))
            for peer, message in self.sent
            if isinstance(message, CallAnswer)
        ]

    @property
    def entry_count(self) -> int:
        """Return the number of entries in the log since the start."""
        return self.group.replica.log.last_index - self.first_index


@pytest.fixture
def leader(tmp_path: Path) -> Leader:
    """Return a leader without calls."""
    return Leader(tmp_path)


# Guards against a large configuration that is appended to the log each 0.25 s until it
# is committed, as its caller sends it again.
def test_a_call_that_is_sent_again_before_its_commit_adds_one_entry(
    leader: Leader,
) -> None:
    for _ in range(4):
        leader.call(1, 1)
    assert leader.entry_count == 1
    leader.member.flush(leader.now)
    assert leader.list_answers() == [("node", 1, c.Done(leader.first_index + 1, 1))]


# Guards against an answer to one call that is taken for that to another one.
def test_other_calls_are_not_taken_for_one_that_waits(leader: Leader) -> None:
    leader.call(1, 1)
    leader.call(2, 2)
    leader.call(1, 3, "another")
    # A node that was started again numbers its calls anew.
    leader.call(1, 4)
    assert leader.entry_count == 4
    leader.member.flush(leader.now)
    assert len(leader.list_answers()) == 4


# Guards against a lost answer after which a caller that asks again gets none.
def test_a_call_that_is_sent_again_after_its_answer_is_answered(leader: Leader) -> None:
    leader.call(1, 1)
    leader.member.flush(leader.now)
    leader.call(1, 1)
    leader.member.flush(leader.now)
    answers = leader.list_answers()
    assert [answer[:2] for answer in answers] == [("node", 1), ("node", 1)]
    versions = [r.version for _, _, r in answers if isinstance(r, c.Done)]
    assert versions == [1, 1]


# Guards against a call without any answer while the leader takes no more commands.
def test_a_call_is_refused_at_once_while_too_many_bytes_wait(
    leader: Leader, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(group, "MAX_UNCOMMITTED_BYTES", 60)
    leader.call(1, 1)
    leader.call(2, 2)
    ((_, call_id, result),) = leader.list_answers()
    assert call_id == 2
    assert isinstance(result, Refusal)
    assert result.reason == Reason.OVERLOADED
    leader.member.flush(leader.now)
    leader.call(2, 2)
    leader.member.flush(leader.now)
    assert leader.state.route_store.document.version == 2


# Guards against CONFIG: two changes on top of one version are both acknowledged, since
# a control node that was killed after it passed on the first one answers the second
# operator with the leader's answer to the first.
def test_a_change_is_not_acknowledged_by_the_answer_to_a_former_process(
    leader: Leader,
) -> None:
    def make_caller() -> CallTable:
        """Return the calls of a process of "node", which reach the leader."""

        def send(peer: str, request: CallRequest) -> bool:
            leader.member.receive_call("node", request, leader.now)
            return True

        return CallTable(("me",), send)

    def put(table: CallTable, digest: str) -> list[bytes | None]:
        """Send a change on top of version 0; return the list of its answers."""
        command = c.PutRoutes(0, digest, RouteDocument(1))
        body = calls.CALLS.encode(calls.Propose(c.COMMANDS.encode(command)))
        answers: list[bytes | None] = []
        table.start(CONTROL_GROUP, body, 0.9, answers.append, leader.now)
        return answers

    put(make_caller(), "operator one")
    present = make_caller()
    answers = put(present, "operator two")
    leader.member.flush(leader.now)
    for _, message in leader.sent:
        if isinstance(message, CallAnswer):
            present.answer("me", message, leader.now)
    (body,) = answers
    assert body is not None
    result = c.RESULTS.decode(body)
    assert isinstance(result, Refusal)
    assert result.reason == Reason.VERSION_CONFLICT
