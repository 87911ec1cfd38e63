"""Calls from any daemon to the leader of a group, repeated until answered."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from .messages import CallAnswer, CallRequest

__all__ = ["BlockingCaller", "CallTable"]

RESEND_SECONDS: Final = 0.25
MOVED_PAUSE_SECONDS: Final = 0.03

Done = Callable[[bytes | None], None]
Send = Callable[[str, CallRequest], object]
Post = Callable[[Callable[[], None]], None]


@dataclass(slots=True)
class _Call:
    """A call without an answer; times in seconds."""

    request: CallRequest
    done: Done
    deadline: float
    resend_at: float
    attempts: int = 0


class CallTable:
    """The calls under way; for one thread.

    A call may reach more than one leader and be carried out twice, so every
    call must be idempotent.
    """

    def __init__(self, members: tuple[str, ...], send: Send) -> None:
        """Call the members of all groups by ``send``."""
        self.members = members
        self._send = send
        self._leaders: dict[str, str] = {}
        self._calls: dict[int, _Call] = {}
        self._next_id = 1

    def start(
        self, group: str, body: bytes, timeout: float, done: Done, now: float
    ) -> None:
        """Begin a call; ``done`` gets the answer, or None after the time-out."""
        request = CallRequest(self._next_id, group, body)
        self._next_id += 1
        call = _Call(request, done, now + timeout, now)
        self._calls[request.call_id] = call
        self._transmit(call, now)

    def set_leader(self, group: str, leader: str) -> None:
        """Remember who leads a group."""
        if leader:
            self._leaders[group] = leader

    def answer(self, sender: str, answer: CallAnswer, now: float) -> None:
        """Take an answer: the end of a call, or word that another member leads."""
        call = self._calls.get(answer.call_id)
        if call is None:
            return
        if answer.is_redirect:
            self._leaders.pop(call.request.group, None)
            if answer.leader != sender:
                self.set_leader(call.request.group, answer.leader)
            call.resend_at = min(call.resend_at, now + MOVED_PAUSE_SECONDS)
            return
        self.set_leader(call.request.group, sender)
        del self._calls[answer.call_id]
        call.done(answer.body)

    def tick(self, now: float) -> None:
        """Send again what was not answered, and give up what is late."""
        late = [call for call in self._calls.values() if now >= call.deadline]
        for call in late:
            del self._calls[call.request.call_id]
            call.done(None)
        for call in self._calls.values():
            if now >= call.resend_at:
                self._transmit(call, now)

    def _transmit(self, call: _Call, now: float) -> None:
        """Send a call to the leader, or to the members in turn."""
        call.resend_at = now + RESEND_SECONDS
        group = call.request.group
        leader = self._leaders.get(group)
        if leader is None or call.attempts > 1:
            self._leaders.pop(group, None)
            leader = self.members[call.attempts % len(self.members)]
        call.attempts += 1
        if not self._send(leader, call.request):
            call.resend_at = now + MOVED_PAUSE_SECONDS


class BlockingCaller:
    """Calls for threads that may block, carried out by the runtime's thread."""

    def __init__(
        self, table: CallTable, post: Post, clock: Callable[[], float]
    ) -> None:
        """Use the table by way of the runtime."""
        self._table = table
        self._post = post
        self._clock = clock

    def call(self, group: str, body: bytes, timeout: float) -> bytes | None:
        """Call the leader of a group; return None after the time-out in seconds."""
        ended = threading.Event()
        answers: list[bytes | None] = []

        def finish(answer: bytes | None) -> None:
            answers.append(answer)
            ended.set()

        def begin() -> None:
            self._table.start(group, body, timeout, finish, self._clock())

        self._post(begin)
        ended.wait(timeout + RESEND_SECONDS)
        return answers[0] if answers else None
