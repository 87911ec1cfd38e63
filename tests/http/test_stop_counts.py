"""What the listening side counts while it drains, and why it cancels a handler."""

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

ASK = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Slow:
    """A handler that answers when released, and keeps why it was cancelled."""

    def __init__(self) -> None:
        """Start with nothing asked."""
        self.asked = asyncio.Event()
        self.reasons: list[object] = []

    async def handle(self, request: Request) -> Response:
        """Wait for ever."""
        self.asked.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError as error:
            self.reasons.extend(error.args)
            raise
        return make_response(200)


# Guards against a request that the host cut being told as one whose client left.
def test_a_request_cut_by_the_host_is_told_and_counted_as_such() -> None:
    async def play() -> None:
        slow = Slow()
        server = HttpServer(slow.handle, WireLimits())
        port = free_port()
        await server.start(f"127.0.0.1:{port}")
        kept_reader, kept = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.05)
        server.draining = True
        kept.write(ASK)
        await slow.asked.wait()
        slow.asked.clear()
        _, new = await asyncio.open_connection("127.0.0.1", port)
        new.write(ASK)
        await slow.asked.wait()
        assert server.counts == StopCounts(kept=1, new=1, cut=0)
        server.close()
        async with asyncio.timeout(5):
            assert await kept_reader.read() == b""
        assert server.counts == StopCounts(kept=1, new=1, cut=2)
        assert slow.reasons == [CANCELLED_BY_HOST, CANCELLED_BY_HOST]
        kept.close()
        new.close()

    asyncio.run(play())
