"""The loop of a daemon: one thread that owns the links, the tables and the disk."""

from __future__ import annotations

import contextlib
import logging
import os
import queue
import time
from collections import deque
from collections.abc import Callable
from typing import Final

import zmq

from .codec import get_outer_name
from .control.member import ControlMember
from .entry.agent import EntryAgent
from .entry.limits import LimitAgent
from .observe.metrics import Metrics
from .transport.calls import CallTable
from .transport.links import Links, ReceivedMessage
from .transport.messages import (
    CallAnswer,
    CallRequest,
    ConsensusMessage,
    HostRenew,
    HostUpdate,
    LinkMessage,
    RateDemand,
    RateGrant,
)

__all__ = ["Runtime"]

_LOGGER = logging.getLogger(__name__)

TICK_SECONDS: Final = 0.02
WAKE_BYTES: Final = 4096
STALL_SECONDS: Final = 0.25
MAX_MESSAGES_PER_PASS: Final = 1000


class Runtime:
    """Run the systems of all roles each tick, and messages as they come."""

    def __init__(
        self, links: Links, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        """Prepare the loop; roles are set before it runs."""
        self._links = links
        self._metrics = metrics
        self._clock = clock
        self._tasks: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(self._wake_write, False)
        self._local: deque[ReceivedMessage] = deque()
        self._stopping = False
        self.member: ControlMember | None = None
        self.agent: EntryAgent | None = None
        self.calls: CallTable | None = None
        self.limits: LimitAgent | None = None
        self.on_stall: Callable[[str, float], None] = _ignore_stall

    def post(self, task: Callable[[], None]) -> None:
        """Have a task run by the loop's thread; from any thread."""
        self._tasks.put(task)
        # A full pipe means that the loop is going to wake anyway.
        with contextlib.suppress(BlockingIOError):
            os.write(self._wake_write, b"\x00")

    def send(self, peer: str, message: LinkMessage) -> bool:
        """Send a message to a host, which may be this one."""
        if peer == self._links.name:
            self._local.append(ReceivedMessage(peer, message))
            return True
        return self._links.send(peer, message)

    def stop(self) -> None:
        """End the loop after its present pass."""
        self.post(self._mark_stopping)

    def wake(self) -> None:
        """Have the loop make a pass now."""
        self.post(_do_nothing)

    def _mark_stopping(self) -> None:
        """Note that the loop is to end."""
        self._stopping = True

    def run(self) -> None:
        """Loop until stopped."""
        poller = zmq.Poller()
        poller.register(self._links.receiver, zmq.POLLIN)
        poller.register(self._wake_read, zmq.POLLIN)
        next_tick = self._clock()
        while not self._stopping:
            if not self._local:
                idle_from = self._clock()
                wait = max(0.0, next_tick - idle_from)
                poller.poll(int(wait * 1000) + 1)
                self._note_stall("woken late", self._clock() - idle_from - wait)
            started = time.perf_counter()
            now = self._clock()
            self._take_tasks()
            self._take_messages(now)
            if now >= next_tick:
                self._tick(now)
                next_tick = now + TICK_SECONDS
            self._flush()
            took = time.perf_counter() - started
            self._metrics.loop_seconds.observe(took)
            self._note_stall("long pass", took)

    def _note_stall(self, kind: str, seconds: float) -> None:
        """Report that the loop stood still for longer than others tolerate."""
        if seconds > STALL_SECONDS:
            self.on_stall(kind, seconds)

    def close(self) -> None:
        """Close the links; the loop has ended."""
        self._links.close()
        os.close(self._wake_read)
        os.close(self._wake_write)

    def _take_tasks(self) -> None:
        """Run the tasks of other threads."""
        with contextlib.suppress(BlockingIOError):
            while os.read(self._wake_read, WAKE_BYTES):
                pass
        while True:
            try:
                task = self._tasks.get_nowait()
            except queue.Empty:
                return
            task()

    def _take_messages(self, now: float) -> None:
        """Handle the messages that are there now."""
        for _ in range(MAX_MESSAGES_PER_PASS):
            received = self._local.popleft() if self._local else self._links.receive()
            if received is None:
                return
            self._handle(received, now)

    def _handle(self, received: ReceivedMessage, now: float) -> None:
        """Hand a message to its role."""
        sender, message = received
        match message:
            case ConsensusMessage() if self.member is not None:
                self.member.receive_consensus(sender, message, now)
            case HostRenew() if self.member is not None:
                self.member.receive_renewal(sender, message, now)
            case CallRequest() if self.member is not None:
                self.member.receive_call(sender, message, now)
            case CallAnswer() if self.calls is not None:
                self.calls.answer(sender, message, now)
            case HostUpdate() if self.agent is not None:
                self.agent.receive(message, now)
            case RateDemand() if self.limits is not None:
                self.limits.receive_demand(sender, message)
            case RateGrant() if self.limits is not None:
                self.limits.receive_grant(message)
            case _:
                _LOGGER.debug(
                    "peer=%s: no role for %s", sender, get_outer_name(type(message))
                )

    def _tick(self, now: float) -> None:
        """Let time pass for every role."""
        if self.calls is not None:
            self.calls.tick(now)
        if self.member is not None:
            self.member.tick(now)

    def _flush(self) -> None:
        """Persist and send what has come together."""
        now = self._clock()
        if self.agent is not None:
            self.agent.tick(now)
        if self.limits is not None:
            self.limits.tick()
        if self.member is not None:
            self.member.flush(now)


def _do_nothing() -> None:
    """Be a task that only wakes the loop."""


def _ignore_stall(kind: str, seconds: float) -> None:
    """Be the handler of stalls until there is one."""
