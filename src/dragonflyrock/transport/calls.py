"""Calls from any node to the leader of a group, repeated until answered."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final

from .messages import CallAnswer, CallRequest

__all__ = ["BlockingCaller", "CallTable"]

RESEND_INTERVAL_SECONDS: Final = 0.25
# Delay before a call is sent again after a redirect or a failed send.
RETRY_DELAY_SECONDS: Final = 0.03
# Ids fit in 63 bits, with room above the random first one.
FIRST_ID_BITS: Final = 62

OnAnswer = Callable[[bytes | None], None]
Send = Callable[[str, CallRequest], object]
Post = Callable[[Callable[[], None]], None]


@dataclass(slots=True)
class _Call:
    """A call that is not yet answered; times are in seconds on the caller's clock."""

    request: CallRequest
    on_answer: OnAnswer
    deadline: float
    resend_at: float
    attempts: int = 0


class CallTable:
    """The calls that are not yet answered; not thread-safe.

    A call may reach more than one leader and be executed twice, so every call
    must be idempotent. A leader may answer a call after its caller has started again,
    so ids are counted from a random number: no process uses those of a former one.
    """

    def __init__(
        self, members: tuple[str, ...], send: Send, random: Random | None = None
    ) -> None:
        """Initialize a table without calls.

        ``members`` are the names of the nodes that may lead a group. ``send`` sends a
        request to a node and returns whether it was sent. ``random`` must differ from
        that of any other process of this node; by default the system seeds it.
        """
        self.members = members
        self._configured = members
        self._send = send
        self._leaders: dict[str, str] = {}
        self._calls: dict[int, _Call] = {}
        self._next_id = (random or Random()).getrandbits(FIRST_ID_BITS)

    def start(
        self, group: str, body: bytes, timeout: float, on_answer: OnAnswer, now: float
    ) -> int:
        """Start a call with a timeout in seconds, and return its id.

        ``on_answer`` receives the answer, or None after the timeout.
        """
        request = CallRequest(self._next_id, group, body)
        self._next_id += 1
        call = _Call(request, on_answer, now + timeout, now)
        self._calls[request.call_id] = call
        self._transmit(call, now)
        return request.call_id

    def cancel(self, call_id: int) -> None:
        """Send a call no more; it may have been executed."""
        self._calls.pop(call_id, None)

    def set_voters(self, names: tuple[str, ...]) -> None:
        """Call these nodes from now on, besides those of the settings."""
        self.members = tuple(dict.fromkeys((*names, *self._configured)))

    def set_leader(self, group: str, leader: str) -> None:
        """Set the leader of a group, unless it is empty."""
        if leader:
            self._leaders[group] = leader

    def answer(self, sender: str, answer: CallAnswer, now: float) -> None:
        """Finish a call with its answer, or retry it after a redirect."""
        call = self._calls.get(answer.call_id)
        if call is None:
            return
        if answer.is_redirect:
            self._leaders.pop(call.request.group, None)
            if answer.leader != sender:
                self.set_leader(call.request.group, answer.leader)
            call.resend_at = min(call.resend_at, now + RETRY_DELAY_SECONDS)
            return
        self.set_leader(call.request.group, sender)
        del self._calls[answer.call_id]
        call.on_answer(answer.body)

    def tick(self, now: float) -> None:
        """Fail calls whose timeout has expired, and resend unanswered ones."""
        expired = [call for call in self._calls.values() if now >= call.deadline]
        for call in expired:
            del self._calls[call.request.call_id]
            call.on_answer(None)
        for call in self._calls.values():
            if now >= call.resend_at:
                self._transmit(call, now)

    def _transmit(self, call: _Call, now: float) -> None:
        """Send a call to the known leader.

        Without one, or after two attempts, it is sent to the members in turn.
        """
        call.resend_at = now + RESEND_INTERVAL_SECONDS
        group = call.request.group
        leader = self._leaders.get(group)
        if leader is None or call.attempts > 1:
            self._leaders.pop(group, None)
            leader = self.members[call.attempts % len(self.members)]
        call.attempts += 1
        if not self._send(leader, call.request):
            call.resend_at = now + RETRY_DELAY_SECONDS


class BlockingCaller:
    """Make calls from threads that may block; the runtime's thread executes them."""

    def __init__(
        self, table: CallTable, post: Post, clock: Callable[[], float]
    ) -> None:
        """Set the table, which only functions passed to ``post`` may access."""
        self._table = table
        self._post = post
        self._clock = clock

    def call(self, group: str, body: bytes, timeout: float) -> bytes | None:
        """Call the leader of a group; return None after ``timeout`` seconds."""
        ended = threading.Event()
        answers: list[bytes | None] = []

        def finish(answer: bytes | None) -> None:
            answers.append(answer)
            ended.set()

        def begin() -> None:
            self._table.start(group, body, timeout, finish, self._clock())

        self._post(begin)
        ended.wait(timeout + RESEND_INTERVAL_SECONDS)
        return answers[0] if answers else None
