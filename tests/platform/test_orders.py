"""Tests of sending orders, on a paused clock."""

from __future__ import annotations

import asyncio

from dragonflyrock.control.directed_models import (
    GrantOrder,
    Order,
    OrderOutcome,
    OrderResult,
    ProbeOrder,
    ReleaseOrder,
)
from dragonflyrock.http import ExchangeFault, Request, Response
from dragonflyrock.models import ServerRow
from dragonflyrock.platform.orders import OrderClient
from tests.paused_clock import PausedClock, run_paused

SERVER = ServerRow("one", "s", "127.0.0.1:9", "a", 1, 2, 0, True)
TIMEOUT_SECONDS = 1.0


class SlowConnection:
    """A connection that gives no response."""

    async def exchange(
        self,
        request: Request,
        id_header: bytes,
        request_id: bytes,
        *,
        needs_id: bool,
        max_body_bytes: int,
    ) -> Response:
        """Wait for ever."""
        await asyncio.Event().wait()
        raise AssertionError


class SlowPool:
    """A pool whose connections take some seconds to open."""

    def __init__(self, seconds: float) -> None:
        """Initialize with the time that a connection takes."""
        self._seconds = seconds

    def acquire_idle(self, address: str, request_id: bytes) -> None:
        """Return no connection."""

    async def connect(
        self, address: str, timeout: float
    ) -> SlowConnection | ExchangeFault:
        """Open a connection slowly."""
        await asyncio.sleep(self._seconds)
        return SlowConnection()


def send_slowly(connect_seconds: float) -> tuple[OrderResult, float]:
    """Send an order to a slow server; return its result and the time it took."""
    results: list[tuple[OrderResult, float]] = []

    async def run(clock: PausedClock) -> None:
        client = OrderClient()
        client._connections = SlowPool(connect_seconds)  # type: ignore[assignment]
        since = clock.read()
        result = await client.send(ProbeOrder(SERVER, "/health"), TIMEOUT_SECONDS)
        results.append((result, clock.read() - since))

    run_paused(run)
    return results[0]


# Guards against an order that takes twice its timeout, half of it to connect.
def test_connecting_and_the_exchange_share_one_timeout() -> None:
    result, elapsed = send_slowly(0.8)
    assert result.outcome == OrderOutcome.UNKNOWN
    assert elapsed <= TIMEOUT_SECONDS + 0.01


# Guards against an order that counts as possibly carried out though it was never sent.
def test_an_order_whose_connection_takes_too_long_was_not_sent() -> None:
    result, elapsed = send_slowly(5.0)
    assert result.outcome == OrderOutcome.NOT_SENT
    assert elapsed <= TIMEOUT_SECONDS + 0.01


def count_connections(orders: list[Order]) -> int:
    """Send orders to a server that names no request; return how often it was connected.

    All orders must be done.
    """
    opened = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal opened
        opened += 1
        while line := await reader.readline():
            if line.startswith(b"Content-Length:"):
                await reader.readline()
                await reader.readexactly(int(line.partition(b":")[2]))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = OrderClient()
        for order in orders:
            row = order.server._replace(address=f"127.0.0.1:{port}")
            result = await client.send(order._replace(server=row), TIMEOUT_SECONDS)
            assert result.outcome == OrderOutcome.DONE
        server.close()

    asyncio.run(run())
    return opened


# Guards against OWNER: a second copy of the answer to a release says that the work on
# the keys of the next one has ended.
def test_each_release_gets_a_new_connection() -> None:
    orders: list[Order] = [
        ReleaseOrder(SERVER, "s", 0, 9, epoch) for epoch in (1, 2, 3)
    ]
    assert count_connections(orders) == 3


# Guards against a new connection for each renewal of a grant, as the platform's servers
# name no order in their answers.
def test_grants_to_a_server_that_names_no_order_share_a_connection() -> None:
    orders: list[Order] = [
        GrantOrder(SERVER, "s", 0, 9, epoch, 4000, "") for epoch in (1, 2, 3)
    ]
    assert count_connections(orders) == 1


# Guards against connections to servers that are gone without closing them, which the
# leader kept for good, as it never sent them an order again.
def test_idle_connections_to_servers_are_closed_in_time() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        await reader.readexactly(length)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        ended.append(await reader.read())
        writer.close()

    async def run(clock: PausedClock) -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        order = GrantOrder(SERVER._replace(address=address), "s", 0, 9, 1, 6000, "")
        client = OrderClient()
        result = await client.send(order, TIMEOUT_SECONDS)
        assert result.outcome == OrderOutcome.DONE
        assert client._connections.count_idle(address) == 1
        await asyncio.sleep(10.0)
        assert client._connections.count_idle(address) == 0
        assert not client._connections.has_open(address)
        server.close()

    ended: list[bytes] = []
    run_paused(run)
    assert ended == [b""]
