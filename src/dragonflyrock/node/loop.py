"""Event loop integration of a node: its links, ticks and structured lines."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

from ..client_guard import ClientGuard
from ..codec import get_outer_name
from ..http import is_narrow
from ..observe import EventRing, HybridClock
from ..observe.lines import LineLog
from ..observe.metrics import Metrics
from ..stalls import StallWatch
from ..transport.links import NARROW_LINK_TIMEOUTS, Links, ReceivedMessage
from ..transport.messages import ConsensusMessage, LinkMessage
from .settings import NodeSettings

__all__ = ["Clock", "NodeLoop"]

_LOGGER = logging.getLogger(__name__)

LINE_FLUSH_INTERVAL_SECONDS: Final = 0.2
MAX_MESSAGES_PER_PASS: Final = 200

MessageHandler = Callable[[ReceivedMessage, float], None]
TickCallback = Callable[[float], None]
Clock = Callable[[], float]
StopCallback = Callable[[], Awaitable[Mapping[str, object]]]


class NodeLoop:
    """Deliver messages and ticks to the role of a node, and flush after each batch.

    An exception in a callback of the role sets ``failure``, which ends the node, unless
    it comes from a message that can be dropped.
    """

    def __init__(
        self,
        settings: NodeSettings,
        tick_interval: float,
        began_at: float,
        clock: Clock,
    ) -> None:
        """Bind the link; ``tick_interval`` is the time between ticks in seconds.

        ``began_at`` is the start of the process, before it loaded its code.
        """
        self.settings = settings
        self.clock = clock
        self._began_at = began_at
        self.metrics = Metrics()
        self.lines = LineLog(settings.node.label, 1, clock, blocking=False)
        self.events = LineEvents(settings.node.name, self.lines)
        self._links = Links(
            settings.node.name,
            settings.listen.link,
            self.events.clock,
            self.metrics,
            None,
            NARROW_LINK_TIMEOUTS if is_narrow(settings.machine.link_mbps) else None,
        )
        self._local_messages: deque[ReceivedMessage] = deque()
        self._tick_interval = tick_interval
        self._is_pass_scheduled = False
        self._failed_kinds: set[str] = set()
        self._tick_timer: asyncio.TimerHandle | None = None
        self.stalls = StallWatch(clock, tick_interval)
        self._lines_flushed_at = 0.0
        self._on_message: MessageHandler = _ignore_message
        self._on_tick: TickCallback = _ignore_tick
        self._on_flush: TickCallback = _ignore_tick
        self.failure: asyncio.Future[object] | None = None

    def start(
        self, on_message: MessageHandler, on_tick: TickCallback, on_flush: TickCallback
    ) -> None:
        """Start to receive and tick; callbacks run on the running event loop."""
        self._on_message, self._on_tick, self._on_flush = on_message, on_tick, on_flush
        loop = asyncio.get_running_loop()
        self.failure = loop.create_future()
        self.stalls.restart()
        loop.add_reader(self._links.receiver.fileno(), self._receive_messages)
        for peer in self.settings.seed_names:
            self.connect(peer)
        self._run_tick()

    def connect(self, peer: str) -> None:
        """Open the link to a node; messages sent before it is open are lost."""
        if peer != self.settings.node.name and not self._links.has_peer(peer):
            self._links.connect(peer, f"{peer}:{self.settings.link_port}")

    def set_narrow_link(self, peer: str, *, is_narrow: bool) -> None:
        """Set whether messages to a node may wait for its machine's own link."""
        self._links.set_narrow(peer, is_narrow=is_narrow)

    def disconnect(self, peer: str) -> None:
        """Close the link to a node."""
        self._links.disconnect(peer)

    def is_link_open(self, peer: str) -> bool:
        """Return whether the link to a node is connected."""
        return self._links.is_open(peer)

    def send(self, peer: str, message: LinkMessage) -> bool:
        """Send a message to a node, which may be this node itself."""
        if peer == self.settings.node.name:
            self._local_messages.append(ReceivedMessage(peer, message))
            self.schedule_pass()
            return True
        self.connect(peer)
        return self._links.send(peer, message)

    def schedule_pass(self) -> None:
        """Schedule a pass for the next iteration of the event loop."""
        if not self._is_pass_scheduled:
            self._is_pass_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_pass)

    def _run_tick(self) -> None:
        """Run a tick and a pass, and schedule the next tick."""
        now = self.clock()
        stalled = self.stalls.tick()
        if stalled:
            self.lines.add("stalled", seconds=round(stalled, 3))
        self._receive_messages()
        for change in self._links.review(now):
            self.lines.add(
                change.event,
                peer=change.peer,
                seconds=round(change.seconds, 2),
                reopenings=change.reopenings,
            )
        self._call_guarded(self._on_tick, now)
        self._run_pass()
        if now - self._lines_flushed_at > LINE_FLUSH_INTERVAL_SECONDS:
            self._lines_flushed_at = now
            self.lines.flush()
        loop = asyncio.get_running_loop()
        self._tick_timer = loop.call_later(self._tick_interval, self._run_tick)

    def _receive_messages(self) -> None:
        """Deliver the messages that have arrived."""
        for _ in range(MAX_MESSAGES_PER_PASS):
            # Reading the socket's events also rearms its file descriptor.
            if not self._links.receiver.poll(0):
                break
            received = self._links.receive()
            if received is None:
                break
            self._deliver(received)
        else:
            asyncio.get_running_loop().call_soon(self._receive_messages)
        self.schedule_pass()

    def _run_pass(self) -> None:
        """Deliver messages from this node to itself, and flush."""
        self._is_pass_scheduled = False
        for _ in range(MAX_MESSAGES_PER_PASS):
            if not self._local_messages:
                break
            self._deliver(self._local_messages.popleft())
        self._call_guarded(self._on_flush, self.clock())
        if self._local_messages:
            self.schedule_pass()

    def _deliver(self, received: ReceivedMessage) -> None:
        """Pass a message to the role; drop one that it cannot handle.

        An error in a message of the replicated log ends the node: what it has changed
        by then might be acknowledged.
        """
        if isinstance(received.message, ConsensusMessage):
            self._call_guarded(
                lambda now: self._on_message(received, now), self.clock()
            )
            return
        try:
            self._on_message(received, self.clock())
        except Exception as error:
            kind = get_outer_name(type(received.message))
            if kind not in self._failed_kinds:
                self._failed_kinds.add(kind)
                _LOGGER.exception("step=receive peer=%s: %s", received.sender, kind)
            self.metrics.dropped_frames.inc()
            self.lines.add(
                "message-dropped", peer=received.sender, kind=kind, error=repr(error)
            )

    def _call_guarded(self, call: TickCallback, now: float) -> None:
        """Call a callback of the role; an exception sets ``failure``."""
        try:
            call(now)
        except Exception as error:
            _LOGGER.critical("node failed and is stopping", exc_info=True)
            if self.failure is not None and not self.failure.done():
                self.failure.set_exception(error)

    def log_reload(self, problem: str) -> None:
        """Log whether a changed settings file is valid.

        ``problem`` is empty for a valid file, which takes effect at the next start.
        """
        outcome = "refused" if problem else "read"
        self.lines.add("reload", outcome=outcome, detail=problem)

    def log_started(self, **fields: object) -> None:
        """Log that the node accepts requests from now on."""
        self.lines.add(
            "started",
            role=self.settings.node.role,
            seeds=self.settings.seeds,
            loading=round(self.clock() - self._began_at, 3),
            **fields,
        )

    def log_refused_clients(self, guard: ClientGuard) -> None:
        """Log how many clients lost a request or connection since the last call."""
        refused = guard.report(self.metrics)
        if refused is not None:
            self.lines.add("clients-refused", **refused._asdict())

    async def run_until_stopped(
        self, stopping: asyncio.Event, finish: StopCallback
    ) -> None:
        """Wait until a stop is requested or a callback fails, and close.

        ``finish`` completes requests in progress and returns the fields of the
        ``stopped`` line; it is not called after a failure. The exception of a failed
        callback is raised once the node is closed.
        """
        failure = self.failure
        assert failure is not None
        stop_requested: asyncio.Future[object] = asyncio.ensure_future(stopping.wait())
        waited: set[asyncio.Future[object]] = {stop_requested, failure}
        await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        fields: Mapping[str, object] = {}
        if not failure.done():
            fields = await finish()
        self.lines.add("stopped", **fields)
        self.close()
        if failure.done():
            failure.result()

    def close(self) -> None:
        """Stop ticking, close the links and write the last lines."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
            self._on_message, self._on_tick, self._on_flush = (
                _ignore_message,
                _ignore_tick,
                _ignore_tick,
            )
            asyncio.get_running_loop().remove_reader(self._links.receiver.fileno())
        self._links.close()
        self.lines.flush()


class LineEvents(EventRing):
    """An event ring that also logs each event as a structured line."""

    def __init__(self, host: str, lines: LineLog) -> None:
        """Initialize an empty ring; ``lines`` is the log of structured lines."""
        super().__init__(host, HybridClock(), capacity=2_000)
        self._lines = lines

    def add(
        self,
        kind: str,
        request: str = "",
        service: str = "",
        key: str = "",
        range_low: int = -1,
        server: str = "",
        peer: str = "",
        detail: str = "",
    ) -> None:
        """Add an event that happened now, and log its line."""
        super().add(kind, request, service, key, range_low, server, peer, detail)
        self._lines.add(
            kind,
            id=request,
            service=service,
            key=key,
            range_low=range_low if range_low >= 0 else "",
            server=server,
            peer=peer,
            detail=detail,
        )


def _ignore_message(received: ReceivedMessage, now: float) -> None:
    """Ignore a message before the node starts and after it is closed."""


def _ignore_tick(now: float) -> None:
    """Ignore a tick or flush before the node starts and after it is closed."""
