"""The links of a node on an event loop, and the ticks of its role."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

from ..observe import EventRing, HybridClock
from ..observe.lines import LineLog
from ..observe.metrics import Metrics
from ..transport.links import Links, ReceivedMessage
from ..transport.messages import LinkMessage
from .settings import NodeSettings

__all__ = ["Clock", "NodeLoop"]

_LOGGER = logging.getLogger(__name__)

STALL_SECONDS: Final = 0.25
FLUSH_LINES_SECONDS: Final = 0.2
MAX_MESSAGES_PER_PASS: Final = 200

Handle = Callable[[ReceivedMessage, float], None]
Tick = Callable[[float], None]
Clock = Callable[[], float]
Finish = Callable[[], Awaitable[Mapping[str, object]]]


class NodeLoop:
    """Receive messages, let time pass, and flush once after each batch of both."""

    def __init__(
        self,
        settings: NodeSettings,
        tick_seconds: float,
        began_at: float,
        clock: Clock,
    ) -> None:
        """Bind the link; ``tick_seconds`` is the time between ticks.

        The process began at ``began_at``, before it loaded its code.
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
        )
        self._local: deque[ReceivedMessage] = deque()
        self._tick_seconds = tick_seconds
        self._scheduled = False
        self._next_tick: asyncio.TimerHandle | None = None
        self._ticked_at = self.clock()
        self._flushed_lines_at = 0.0
        self._handle: Handle = _ignore
        self._tick: Tick = _ignore_time
        self._flush: Tick = _ignore_time
        self.failure: asyncio.Future[object] | None = None

    def run(self, handle: Handle, tick: Tick, flush: Tick) -> None:
        """Begin; the three are called on the running event loop's thread."""
        self._handle, self._tick, self._flush = handle, tick, flush
        loop = asyncio.get_running_loop()
        self.failure = loop.create_future()
        loop.add_reader(self._links.receiver.fileno(), self._receive)
        for peer in self.settings.seed_names:
            self.meet(peer)
        self._on_tick()

    def meet(self, peer: str) -> None:
        """Open the link to a node; what is sent before it is open is lost."""
        if peer != self.settings.node.name and not self._links.has_peer(peer):
            self._links.connect(peer, f"{peer}:{self.settings.link_port}")

    def part(self, peer: str) -> None:
        """Close the link to a node."""
        self._links.disconnect(peer)

    def send(self, peer: str, message: LinkMessage) -> bool:
        """Send a message to a node by its name, which may be this one's."""
        if peer == self.settings.node.name:
            self._local.append(ReceivedMessage(peer, message))
            self.wake()
            return True
        self.meet(peer)
        return self._links.send(peer, message)

    def wake(self) -> None:
        """Have a pass made soon."""
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._pass)

    def _on_tick(self) -> None:
        """Make a pass with a tick, and plan the next one."""
        now = self.clock()
        late = now - self._ticked_at - self._tick_seconds
        if late > STALL_SECONDS:
            self.lines.add("stalled", seconds=round(late, 3))
        self._ticked_at = now
        self._receive()
        self._guard(self._tick, now)
        self._pass()
        if now - self._flushed_lines_at > FLUSH_LINES_SECONDS:
            self._flushed_lines_at = now
            self.lines.flush()
        loop = asyncio.get_running_loop()
        self._next_tick = loop.call_later(self._tick_seconds, self._on_tick)

    def _receive(self) -> None:
        """Take the messages that are there now."""
        for _ in range(MAX_MESSAGES_PER_PASS):
            # Reading the events also arms the descriptor anew.
            if not self._links.receiver.poll(0):
                break
            received = self._links.receive()
            if received is None:
                break
            self._guard_message(received)
        else:
            asyncio.get_running_loop().call_soon(self._receive)
        self.wake()

    def _pass(self) -> None:
        """Handle messages to this node itself, and flush."""
        self._scheduled = False
        for _ in range(MAX_MESSAGES_PER_PASS):
            if not self._local:
                break
            self._guard_message(self._local.popleft())
        self._guard(self._flush, self.clock())
        if self._local:
            self.wake()

    def _guard_message(self, received: ReceivedMessage) -> None:
        """Handle a message; a failure ends the node."""
        self._guard(lambda now: self._handle(received, now), self.clock())

    def _guard(self, call: Tick, now: float) -> None:
        """Run a part of the role; a failure ends the node."""
        try:
            call(now)
        except Exception as error:
            _LOGGER.critical("the node failed", exc_info=True)
            if self.failure is not None and not self.failure.done():
                self.failure.set_exception(error)

    def reload(self, problem: str) -> None:
        """Tell of a changed settings file; it is in force at the next start."""
        outcome = "refused" if problem else "read"
        self.lines.add("reload", outcome=outcome, detail=problem)

    def tell_started(self, **fields: object) -> None:
        """Add the line of a node that takes calls from now on."""
        self.lines.add(
            "started",
            role=self.settings.node.role,
            seeds=self.settings.seeds,
            loading=round(self.clock() - self._began_at, 3),
            **fields,
        )

    async def end(self, stopping: asyncio.Event, finish: Finish) -> None:
        """Wait until the node is told to stop or a part of it fails, and close.

        ``finish`` ends what is under way and returns the fields of the last line,
        unless a part failed; then its error is raised.
        """
        failure = self.failure
        assert failure is not None
        told: asyncio.Future[object] = asyncio.ensure_future(stopping.wait())
        waited: set[asyncio.Future[object]] = {told, failure}
        await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        fields: Mapping[str, object] = {}
        if not failure.done():
            fields = await finish()
        self.lines.add("stopped", **fields)
        self.close()
        if failure.done():
            failure.result()

    def close(self) -> None:
        """Close the links and write the last lines."""
        if self._next_tick is not None:
            self._next_tick.cancel()
            self._handle, self._tick, self._flush = _ignore, _ignore_time, _ignore_time
            asyncio.get_running_loop().remove_reader(self._links.receiver.fileno())
        self._links.close()
        self.lines.flush()


class LineEvents(EventRing):
    """The ring of events, each of which is also a structured line."""

    def __init__(self, host: str, lines: LineLog) -> None:
        """Write to ``lines``."""
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
        """Add an event that happened now, and its line."""
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


def _ignore(received: ReceivedMessage, now: float) -> None:
    """Be the handler before there is a role."""


def _ignore_time(now: float) -> None:
    """Be the tick before there is a role."""
