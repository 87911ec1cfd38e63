"""ZeroMQ links between nodes: one receiving socket, and a sending socket per peer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final, NamedTuple

import zmq
from zmq.utils import z85

from ..codec import CodecError, get_outer_name
from ..observe import HybridClock
from ..observe.metrics import Metrics
from .link_states import LinkChange, LinkState, review_links
from .messages import MESSAGES, Envelope, LinkMessage, PackedUpdate
from .packing import unpack_update

if TYPE_CHECKING:
    from zmq.auth.thread import ThreadAuthenticator

__all__ = [
    "NARROW_LINK_TIMEOUTS",
    "CurveKeys",
    "LinkTimeouts",
    "Links",
    "ReceivedMessage",
]

_LOGGER = logging.getLogger(__name__)

MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
SEND_QUEUE_MESSAGES: Final = 10_000
# A connection whose peer does not respond is closed within the sum of the two times.
HEARTBEAT_INTERVAL_MS: Final = 1000
RECONNECT_INTERVAL_MS: Final = 50
RECONNECT_INTERVAL_MAX_MS: Final = 200
# The accepting side closes a silent connection for what it holds. No answer passes
# before the end of a message, and the longest one may take a minute.
RECEIVER_HEARTBEAT_INTERVAL_MS: Final = 60_000
RECEIVER_HEARTBEAT_TIMEOUT_MS: Final = 120_000
REVIEW_INTERVAL_SECONDS: Final = 0.25


class LinkTimeouts(NamedTuple):
    """Times in milliseconds after which a link is given up, and opened anew.

    ``heartbeat`` is for a peer that does not respond. A ``connect`` to a machine
    without power is neither answered nor repeated. A peer may accept a connection and
    fall silent before the link is open: heartbeats begin after the ``handshake``.
    """

    heartbeat: int = 1000
    connect: int = 400
    handshake: int = 1500


# From or to a machine whose own link may be full, so that messages wait for it.
NARROW_LINK_TIMEOUTS: Final = LinkTimeouts(2000, 800, 2500)


class CurveKeys(NamedTuple):
    """Z85-encoded keys: the key pair of this host and the public keys of all hosts."""

    public: str
    secret: str
    hosts: dict[str, str]


class ReceivedMessage(NamedTuple):
    """A decoded message and the name of its sender."""

    sender: str
    message: LinkMessage


class Links:
    """The sockets of one node; not thread-safe.

    Messages to a peer that is not connected are dropped. The protocols repeat the
    messages that matter, and a late message would be outdated.
    """

    def __init__(
        self,
        name: str,
        bind: str,
        clock: HybridClock,
        metrics: Metrics,
        keys: CurveKeys | None,
        timeouts: LinkTimeouts | None = None,
    ) -> None:
        """Bind the receiving socket at ``ip:port``."""
        self.name = name
        self._timeouts = timeouts or LinkTimeouts()
        self._clock = clock
        self._metrics = metrics
        self._keys = keys
        self._context = zmq.Context()
        self._authenticator = self._start_authenticator(keys)
        self.receiver = self._context.socket(zmq.PULL)
        self._configure(self.receiver, self._timeouts)
        if keys is not None:
            self.receiver.curve_server = True
            self.receiver.curve_publickey = keys.public.encode()
            self.receiver.curve_secretkey = keys.secret.encode()
        self.receiver.setsockopt(zmq.HEARTBEAT_IVL, RECEIVER_HEARTBEAT_INTERVAL_MS)
        self.receiver.setsockopt(zmq.HEARTBEAT_TIMEOUT, RECEIVER_HEARTBEAT_TIMEOUT_MS)
        self.receiver.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self.receiver.bind(f"tcp://{bind}")
        self._senders: dict[str, zmq.Socket[bytes]] = {}
        self._addresses: dict[str, str] = {}
        self._states: dict[str, LinkState] = {}
        self._review_due_at = 0.0
        self._unsendable_kinds: set[str] = set()
        self._narrow_peers: set[str] = set()

    def _start_authenticator(
        self, keys: CurveKeys | None
    ) -> ThreadAuthenticator | None:
        """Accept only connections from hosts whose public keys are in the settings."""
        if keys is None:
            return None
        from zmq.auth.thread import ThreadAuthenticator  # noqa: PLC0415 (large)

        authenticator = ThreadAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(
            "*", credentials_provider=_KnownKeysProvider(keys)
        )
        return authenticator

    def _configure(self, socket: zmq.Socket[bytes], timeouts: LinkTimeouts) -> None:
        """Set the options common to all sockets."""
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, timeouts.connect)
        socket.setsockopt(zmq.HANDSHAKE_IVL, timeouts.handshake)

    def has_peer(self, peer: str) -> bool:
        """Return whether there is a link to a peer, connected or not."""
        return peer in self._addresses

    def is_open(self, peer: str) -> bool:
        """Return whether the link to a peer is connected and takes messages."""
        socket = self._senders.get(peer)
        return socket is not None and _is_writable(socket)

    def set_narrow(self, peer: str, *, is_narrow: bool) -> None:
        """Set whether messages to a peer may wait for its machine's own link.

        A link that is open keeps its timeouts until it is opened anew.
        """
        if is_narrow:
            self._narrow_peers.add(peer)
        else:
            self._narrow_peers.discard(peer)

    def connect(self, peer: str, address: str) -> None:
        """Connect to a peer at ``ip:port``; reconnect if its address has changed."""
        if self._addresses.get(peer) == address:
            return
        if peer in self._addresses:
            self.disconnect(peer)
        self._addresses[peer] = address
        self._open_sender(peer, address)

    def _open_sender(self, peer: str, address: str) -> None:
        """Open the sending socket of a peer, in place of the one before."""
        old = self._senders.pop(peer, None)
        if old is not None:
            old.close()
        is_narrow = peer in self._narrow_peers
        timeouts = NARROW_LINK_TIMEOUTS if is_narrow else self._timeouts
        socket = self._context.socket(zmq.PUSH)
        self._configure(socket, timeouts)
        # The sending side detects a lost connection first.
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, timeouts.heartbeat)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        if self._keys is not None:
            socket.curve_publickey = self._keys.public.encode()
            socket.curve_secretkey = self._keys.secret.encode()
            socket.curve_serverkey = self._keys.hosts.get(peer, "").encode()
        socket.connect(f"tcp://{address}")
        self._senders[peer] = socket

    def review(self, now: float) -> list[LinkChange]:
        """Open links anew that are closed for too long; return what changed.

        A socket whose peer sent an invalid greeting or handshake never connects again.
        ``now`` is in seconds; call it in each tick.
        """
        if now < self._review_due_at:
            return []
        self._review_due_at = now + REVIEW_INTERVAL_SECONDS
        for peer in self._addresses.keys() - self._states.keys():
            self._states[peer] = LinkState(now, now)
        review = review_links(self._states, self.is_open, now)
        for peer in review.closed_peers:
            self._metrics.link_reopenings.inc()
            try:
                self._open_sender(peer, self._addresses[peer])
            except zmq.ZMQError as error:
                # The next review after the interval tries again.
                _LOGGER.warning("step=reopen peer=%s: %s", peer, error)
        return review.changes

    def disconnect(self, peer: str) -> None:
        """Close the link to a peer, if there is one."""
        socket = self._senders.pop(peer, None)
        if socket is not None:
            socket.close()
        self._addresses.pop(peer, None)
        self._states.pop(peer, None)
        self._narrow_peers.discard(peer)

    def send(self, peer: str, message: LinkMessage) -> bool:
        """Send a message, or return False if it cannot be sent.

        The peer may not be connected, or the message may have a value that has no
        encoding. Such a message is dropped, so that it does not end the node.
        """
        socket = self._senders.get(peer)
        if socket is None:
            return False
        try:
            body = MESSAGES.encode(message)
        except CodecError as error:
            self._report_unsendable(peer, message, error)
            return False
        envelope = Envelope(self.name, self._clock.stamp(), body)
        frame = MESSAGES.encode(envelope)
        try:
            socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self._count("sent", message, len(frame))
        return True

    def _report_unsendable(
        self, peer: str, message: LinkMessage, error: CodecError
    ) -> None:
        """Count a message that cannot be encoded, and log the first of its type."""
        self._metrics.dropped_frames.inc()
        kind = get_outer_name(type(message))
        if kind not in self._unsendable_kinds:
            self._unsendable_kinds.add(kind)
            _LOGGER.error("step=send peer=%s: dropped: %s", peer, error)

    def receive(self) -> ReceivedMessage | None:
        """Return the next message, or None if none is pending."""
        while True:
            try:
                frame = self.receiver.recv(zmq.NOBLOCK)
            except zmq.Again:
                return None
            received = self._decode(frame)
            if received is not None:
                return received

    def _decode(self, frame: bytes) -> ReceivedMessage | None:
        """Decode a frame, or count and drop it and return None if it is invalid."""
        sender = "unknown"
        try:
            envelope = MESSAGES.decode(frame)
            if not isinstance(envelope, Envelope):
                raise CodecError("record is not an envelope")
            sender = envelope.sender
            message = MESSAGES.decode(envelope.body)
            if isinstance(message, PackedUpdate):
                message = unpack_update(message)
        except CodecError as error:
            self._metrics.dropped_frames.inc()
            _LOGGER.warning(
                "step=receive peer=%s: dropped invalid frame: %s", sender, error
            )
            return None
        self._clock.update(envelope.stamp)
        self._count("received", message, len(frame))
        return ReceivedMessage(sender, message)

    def _count(self, direction: str, message: LinkMessage, size: int) -> None:
        """Add a frame of ``size`` bytes to the metric of its message type."""
        kind = get_outer_name(type(message))
        self._metrics.link_bytes.labels(direction, kind).inc(size)

    def close(self) -> None:
        """Close all sockets and stop the authenticator."""
        for socket in self._senders.values():
            socket.close()
        self.receiver.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()


def _is_writable(socket: zmq.Socket[bytes]) -> bool:
    """Return whether a socket takes a message."""
    return bool(int(socket.getsockopt(zmq.EVENTS)) & zmq.POLLOUT)


class _KnownKeysProvider:
    """Check public keys for the authenticator of CURVE connections."""

    def __init__(self, keys: CurveKeys) -> None:
        """Decode the public keys of all hosts."""
        self._known = {z85.decode(key) for key in keys.hosts.values()}

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a Z85-encoded public key belongs to a known host."""
        return z85.decode(key) in self._known
