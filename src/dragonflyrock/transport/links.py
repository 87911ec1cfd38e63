"""ZeroMQ links: one socket that receives, and one that sends for each peer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final, NamedTuple

import zmq
from zmq.utils import z85

from ..codec import CodecError, get_outer_name
from ..observe import HybridClock
from ..observe.metrics import Metrics
from .messages import MESSAGES, Envelope, LinkMessage, PackedUpdate
from .packing import unpack_update

if TYPE_CHECKING:
    from zmq.auth.thread import ThreadAuthenticator

__all__ = ["CurveKeys", "Links", "ReceivedMessage"]

_LOGGER = logging.getLogger(__name__)

MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
SEND_QUEUE_MESSAGES: Final = 10_000
# A connection that went silent is dropped within the sum of the two.
HEARTBEAT_MS: Final = 1000
HEARTBEAT_TIMEOUT_MS: Final = 1000
RECONNECT_MS: Final = 50
RECONNECT_MAX_MS: Final = 200
# A machine without power answers nothing; what was sent to it is not sent again.
CONNECT_TIMEOUT_MS: Final = 400


class CurveKeys(NamedTuple):
    """The Z85 keys of this host and the public keys of all hosts by name."""

    public: str
    secret: str
    hosts: dict[str, str]


class ReceivedMessage(NamedTuple):
    """A decoded message and the name of the host that sent it."""

    sender: str
    message: LinkMessage


class Links:
    """The sockets of one daemon; to be used by one thread only.

    Messages to a peer that is not connected are dropped: every protocol here
    repeats what matters, and an old message is worth nothing.
    """

    def __init__(
        self,
        name: str,
        bind: str,
        clock: HybridClock,
        metrics: Metrics,
        keys: CurveKeys | None,
    ) -> None:
        """Bind the receiving socket at ``ip:port``."""
        self.name = name
        self._clock = clock
        self._metrics = metrics
        self._keys = keys
        self._context = zmq.Context()
        self._authenticator = self._start_authenticator(keys)
        self.receiver = self._context.socket(zmq.PULL)
        self._configure(self.receiver)
        if keys is not None:
            self.receiver.curve_server = True
            self.receiver.curve_publickey = keys.public.encode()
            self.receiver.curve_secretkey = keys.secret.encode()
        self.receiver.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self.receiver.bind(f"tcp://{bind}")
        self._senders: dict[str, zmq.Socket[bytes]] = {}
        self._addresses: dict[str, str] = {}

    def _start_authenticator(
        self, keys: CurveKeys | None
    ) -> ThreadAuthenticator | None:
        """Admit only the hosts whose public keys are in the settings."""
        if keys is None:
            return None
        from zmq.auth.thread import ThreadAuthenticator  # noqa: PLC0415 (large)

        authenticator = ThreadAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(
            "*", credentials_provider=_KnownKeys(keys)
        )
        return authenticator

    @staticmethod
    def _configure(socket: zmq.Socket[bytes]) -> None:
        """Set the options that all sockets share."""
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)

    def has_peer(self, peer: str) -> bool:
        """Return whether a peer's address is known."""
        return peer in self._addresses

    def connect(self, peer: str, address: str) -> None:
        """Connect to a peer at ``ip:port``, or move to its new address."""
        if self._addresses.get(peer) == address:
            return
        old = self._senders.pop(peer, None)
        if old is not None:
            old.close()
        socket = self._context.socket(zmq.PUSH)
        self._configure(socket)
        # Only the side that sends must find out; the other one answers.
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        if self._keys is not None:
            socket.curve_publickey = self._keys.public.encode()
            socket.curve_secretkey = self._keys.secret.encode()
            socket.curve_serverkey = self._keys.hosts.get(peer, "").encode()
        socket.connect(f"tcp://{address}")
        self._senders[peer] = socket
        self._addresses[peer] = address

    def disconnect(self, peer: str) -> None:
        """Close the link to a peer, if there is one."""
        socket = self._senders.pop(peer, None)
        if socket is not None:
            socket.close()
        self._addresses.pop(peer, None)

    def send(self, peer: str, message: LinkMessage) -> bool:
        """Send a message; return whether the peer is connected."""
        socket = self._senders.get(peer)
        if socket is None:
            return False
        envelope = Envelope(self.name, self._clock.stamp(), MESSAGES.encode(message))
        frame = MESSAGES.encode(envelope)
        try:
            socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self._count("sent", message, len(frame))
        return True

    def receive(self) -> ReceivedMessage | None:
        """Return the next message; None when there is none now."""
        while True:
            try:
                frame = self.receiver.recv(zmq.NOBLOCK)
            except zmq.Again:
                return None
            received = self._decode(frame)
            if received is not None:
                return received

    def _decode(self, frame: bytes) -> ReceivedMessage | None:
        """Decode a frame; one that does not decode is counted and dropped."""
        sender = "unknown"
        try:
            envelope = MESSAGES.decode(frame)
            if not isinstance(envelope, Envelope):
                raise CodecError("not an envelope")
            sender = envelope.sender
            message = MESSAGES.decode(envelope.body)
            if isinstance(message, PackedUpdate):
                message = unpack_update(message)
        except CodecError as error:
            self._metrics.dropped_frames.inc()
            _LOGGER.warning("step=receive peer=%s: frame dropped: %s", sender, error)
            return None
        self._clock.witness(envelope.stamp)
        self._count("received", message, len(frame))
        return ReceivedMessage(sender, message)

    def _count(self, direction: str, message: LinkMessage, size: int) -> None:
        """Count the bytes of a message."""
        kind = get_outer_name(type(message))
        self._metrics.link_bytes.labels(direction, kind).inc(size)

    def close(self) -> None:
        """Close all sockets."""
        for socket in self._senders.values():
            socket.close()
        self.receiver.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()


class _KnownKeys:
    """Tell the authenticator which public keys are those of known hosts."""

    def __init__(self, keys: CurveKeys) -> None:
        """Collect the raw keys."""
        self._known = {z85.decode(key) for key in keys.hosts.values()}

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether the key is a known host's."""
        return z85.decode(key) in self._known
