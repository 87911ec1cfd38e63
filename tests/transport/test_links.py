"""Tests of the socket options of links."""

from __future__ import annotations

from typing import Final

import zmq

from dragonflyrock.observe import HybridClock
from dragonflyrock.observe.metrics import Metrics
from dragonflyrock.transport.links import Links
from tests.common import free_port

MAX_RECONNECT_MS: Final = 600


# Guards against a slow reconnect: nodes that started before the machine of a peer had
# power waited 1.1 s for the link to it.
def test_connection_attempt_is_repeated_soon() -> None:
    links = Links("me", f"127.0.0.1:{free_port()}", HybridClock(), Metrics(), None)
    try:
        links.connect("peer", f"127.0.0.1:{free_port()}")
        socket = links._senders["peer"]
        options = (zmq.CONNECT_TIMEOUT, zmq.RECONNECT_IVL_MAX)
        assert (
            sum(int(socket.getsockopt(option)) for option in options)
            <= MAX_RECONNECT_MS
        )
        links.disconnect("peer")
        assert not links.has_peer("peer")
    finally:
        links.close()


# Guards against a link whose library ends it by a TCP_USER_TIMEOUT while its peer does
# not read.
def test_links_have_no_tcp_user_timeout() -> None:
    links = Links("me", f"127.0.0.1:{free_port()}", HybridClock(), Metrics(), None)
    try:
        links.connect("peer", f"127.0.0.1:{free_port()}")
        for link in (links._senders["peer"], links.receiver):
            assert link.getsockopt(zmq.TCP_MAXRT) == 0
            assert link.getsockopt(zmq.TCP_KEEPALIVE) == -1
    finally:
        links.close()
