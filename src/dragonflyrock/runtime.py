"""The main loop of a daemon: one thread owns the links, the tables and the disk."""

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
from .entry.server_rates import ServerRateAgent
from .observe.metrics import Metrics
from .transport.calls import CallTable
from .transport.link_states import LinkChange
from .transport.links import Links, ReceivedMessage
from .transport.messages import (
    CallAnswer,
    CallRequest,
    ConsensusMessage,
    ControlMembers,
    HostRenew,
    HostUpdate,
    LeavingServers,
    LinkMessage,
    RateDemand,
    RateGrant,
    ServerRateDemand,
    ServerRateGrant,
)

__all__ = ["Runtime"]

_LOGGER = logging.getLogger(__name__)

TICK_INTERVAL_SECONDS: Final = 0.02
WAKE_READ_BYTES: Final = 4096
STALL_THRESHOLD_SECONDS: Final = 0.25
MAX_MESSAGES_PER_PASS: Final = 1000


class Runtime:
    """Run the roles of this host on every message and at fixed intervals.

    Set the roles that this host has, ``on_stall`` and ``on_link_change`` before
    ``run``. ``on_stall`` receives the kind of a stall and its duration in seconds.
    """

    def __init__(
        self, links: Links, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        """Set up a loop without roles; ``clock`` returns the time in seconds."""
        self._links = links
        self._metrics = metrics
        self._clock = clock
        self._tasks: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(self._wake_write, False)
        self._local_messages: deque[ReceivedMessage] = deque()
        self._stopping = False
        self._failed_kinds: set[str] = set()
        self.member: ControlMember | None = None
        self.agent: EntryAgent | None = None
        self.calls: CallTable | None = None
        self.limits: LimitAgent | None = None
        self.rates: ServerRateAgent | None = None
        self.on_entry_tick: Callable[[], None] = _do_nothing
        self.on_stall: Callable[[str, float], None] = _ignore_stall
        self.on_link_change: Callable[[LinkChange], None] = _ignore_link_change

    def post(self, task: Callable[[], None]) -> None:
        """Run a task in the loop's thread; thread-safe."""
        self._tasks.put(task)
        # If the pipe is full, the loop will wake anyway.
        with contextlib.suppress(BlockingIOError):
            os.write(self._wake_write, b"\x00")

    def send(self, peer: str, message: LinkMessage) -> bool:
        """Send a message to any host, also to this one.

        Return whether it was queued.
        """
        if peer == self._links.name:
            self._local_messages.append(ReceivedMessage(peer, message))
            return True
        return self._links.send(peer, message)

    def stop(self) -> None:
        """End the loop after its present pass; thread-safe."""
        self.post(self._mark_stopping)

    def wake(self) -> None:
        """Wake the loop, so that it makes a pass now; thread-safe."""
        self.post(_do_nothing)

    def _mark_stopping(self) -> None:
        """Mark the loop to end after this pass."""
        self._stopping = True

    def run(self) -> None:
        """Run passes until stopped."""
        poller = zmq.Poller()
        poller.register(self._links.receiver, zmq.POLLIN)
        poller.register(self._wake_read, zmq.POLLIN)
        next_tick = self._clock()
        while not self._stopping:
            if not self._local_messages:
                wait_started_at = self._clock()
                wait_seconds = max(0.0, next_tick - wait_started_at)
                poller.poll(int(wait_seconds * 1000) + 1)
                self._check_stall(
                    "woken late", self._clock() - wait_started_at - wait_seconds
                )
            pass_started_at = time.perf_counter()
            processor_started_at = time.thread_time()
            now = self._clock()
            self._run_tasks()
            self._receive_messages(now)
            if now >= next_tick:
                self._tick(now)
                next_tick = now + TICK_INTERVAL_SECONDS
            self._flush()
            pass_seconds = time.perf_counter() - pass_started_at
            self._metrics.loop_seconds.observe(pass_seconds)
            processor_seconds = time.thread_time() - processor_started_at
            kind = f"long pass, {processor_seconds:.2f} s of it on a processor"
            self._check_stall(kind, pass_seconds)

    def _check_stall(self, kind: str, seconds: float) -> None:
        """Report a stall of the loop that is longer than other hosts tolerate."""
        if seconds > STALL_THRESHOLD_SECONDS:
            self.on_stall(kind, seconds)

    def close(self) -> None:
        """Close the links and the wake pipe; call it after the loop has ended."""
        self._links.close()
        os.close(self._wake_read)
        os.close(self._wake_write)

    def _run_tasks(self) -> None:
        """Run the tasks that other threads have posted."""
        with contextlib.suppress(BlockingIOError):
            while os.read(self._wake_read, WAKE_READ_BYTES):
                pass
        while True:
            try:
                task = self._tasks.get_nowait()
            except queue.Empty:
                return
            task()

    def _receive_messages(self, now: float) -> None:
        """Handle the messages that have arrived, up to the limit of a pass."""
        for _ in range(MAX_MESSAGES_PER_PASS):
            received = (
                self._local_messages.popleft()
                if self._local_messages
                else self._links.receive()
            )
            if received is None:
                return
            self._deliver(received, now)

    def _deliver(self, received: ReceivedMessage, now: float) -> None:
        """Pass a message to its role; drop one that it cannot handle.

        An error in a message of the replicated log ends the loop: what it has changed
        by then might be acknowledged.
        """
        try:
            self._handle(received, now)
        except Exception:
            if isinstance(received.message, ConsensusMessage):
                raise
            self._metrics.dropped_frames.inc()
            kind = get_outer_name(type(received.message))
            if kind not in self._failed_kinds:
                self._failed_kinds.add(kind)
                _LOGGER.exception("step=receive peer=%s: %s", received.sender, kind)

    def _handle(self, received: ReceivedMessage, now: float) -> None:
        """Pass a message to the role that handles it."""
        sender, message = received
        match message:
            case ConsensusMessage() if self.member is not None:
                self.member.receive_consensus(sender, message, now)
            case HostRenew() if self.member is not None:
                self.member.receive_renewal(sender, message, now)
            case LeavingServers() if self.member is not None:
                self.member.receive_leaving_servers(message, now)
            case CallRequest() if self.member is not None:
                self.member.receive_call(sender, message, now)
            case CallAnswer() if self.calls is not None:
                self.calls.answer(sender, message, now)
            case HostUpdate() if self.agent is not None:
                self.agent.receive(message, now)
            case ControlMembers(voters) if self.agent is not None:
                self.agent.set_voters(voters)
                if self.calls is not None:
                    self.calls.set_voters(voters)
            case RateDemand() if self.limits is not None:
                self.limits.receive_demand(sender, message)
            case RateGrant() if self.limits is not None:
                self.limits.receive_grant(message)
            case ServerRateDemand() if self.rates is not None:
                self.rates.receive_demand(sender, message)
            case ServerRateGrant() if self.rates is not None:
                self.rates.receive_grant(sender, message)
            case _:
                _LOGGER.debug(
                    "peer=%s: no role of this host handles %s",
                    sender,
                    get_outer_name(type(message)),
                )

    def _tick(self, now: float) -> None:
        """Run the timed work of the links, the calls and the control member."""
        for change in self._links.review(now):
            self.on_link_change(change)
        if self.calls is not None:
            self.calls.tick(now)
        self.on_entry_tick()
        if self.member is not None:
            self.member.tick(now)

    def _flush(self) -> None:
        """Persist and send what the roles have prepared in this pass."""
        now = self._clock()
        if self.agent is not None:
            self.agent.tick(now)
        if self.limits is not None:
            self.limits.tick()
        if self.rates is not None:
            self.rates.tick(self._clock())
        if self.member is not None:
            self.member.flush(now)


def _do_nothing() -> None:
    """Do nothing; posting this task wakes the loop."""


def _ignore_stall(kind: str, seconds: float) -> None:
    """Ignore a stall, as no handler is set."""


def _ignore_link_change(change: LinkChange) -> None:
    """Ignore a lost or regained link, as no handler is set."""
