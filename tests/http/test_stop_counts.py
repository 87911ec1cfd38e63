"""Tests of the request counts of a draining server and of its cancellations."""

from __future__ import annotations

import asyncio

from dragonflyrock.http import (
    CANCELLED_BY_HOST,
    HttpServer,
    Request,
    Response,
    StopCounts,
    WireLimits,
    make_response,
)
from tests.common import free_port

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class BlockedHandler:
    """A handler that never answers and records why it was cancelled."""

    def __init__(self) -> None:
        """Initialize a handler without requests."""
        self.called = asyncio.Event()
        self.reasons: list[object] = []

    async def handle(self, request: Request) -> Response:
        """Wait until cancelled."""
        self.called.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError as error:
            self.reasons.extend(error.args)
            raise
        return make_response(200)


# Guards against a request that the host cancels being logged as one whose client
# disconnected.
def test_request_cancelled_by_the_host_is_counted_and_has_its_reason() -> None:
    async def run_scenario() -> None:
        handler = BlockedHandler()
        server = HttpServer(handler.handle, WireLimits())
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        kept_reader, kept = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.05)
        server.draining = True
        kept.write(REQUEST)
        await handler.called.wait()
        handler.called.clear()
        _, new = await asyncio.open_connection("127.0.0.1", port)
        new.write(REQUEST)
        await handler.called.wait()
        assert server.counts == StopCounts(kept=1, new=1, cut=0)
        server.close()
        async with asyncio.timeout(5):
            assert await kept_reader.read() == b""
        assert server.counts == StopCounts(kept=1, new=1, cut=2)
        assert handler.reasons == [CANCELLED_BY_HOST, CANCELLED_BY_HOST]
        kept.close()
        new.close()

    asyncio.run(run_scenario())
