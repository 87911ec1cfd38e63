"""Tests of sending orders, on a paused clock."""

from __future__ import annotations

import asyncio

from dragonflyrock.control.directed_models import OrderOutcome, OrderResult, ProbeOrder
from dragonflyrock.http import ExchangeFault, Request, Response
from dragonflyrock.models import ServerRow
from dragonflyrock.platform.orders import OrderClient
from tests.paused_clock import PausedClock, run_paused

SERVER = ServerRow("one", "s", "127.0.0.1:9", "a", 1, 2, 0, True)
TIMEOUT_SECONDS = 1.0


class SlowConnection:
    """A connection that gives no response."""

    async def exchange(
        self, request: Request, id_header: bytes, request_id: bytes
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
