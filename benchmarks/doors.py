"""Processor time of a forwarded request: a thread each, and an event loop.

Run by hand: ``python -m benchmarks.doors``. Both variants forward the same requests
to the same stand-in; what is told is processor time of the forwarding process.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import resource
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, Final

import urllib3
from cheroot.wsgi import Server

from dragonflyrock.http import (
    ConnectionPool,
    ExchangeFault,
    HttpServer,
    Request,
    Response,
    WireLimits,
    make_response,
)

REQUESTS: Final = 3000
CALLERS: Final = 8
BACKEND_PORT: Final = 18_801
DOOR_PORT: Final = 18_802
BODY: Final = b"x" * 1500


def _serve_backend() -> None:
    """Answer every request."""

    async def answer(request: Request) -> Response:
        return make_response(200, BODY)

    async def run() -> None:
        await HttpServer(answer, WireLimits()).start(f"127.0.0.1:{BACKEND_PORT}")
        await asyncio.sleep(60)

    asyncio.run(run())


def _serve_threads(done: Any, told: Any) -> None:
    """Forward by cheroot and urllib3."""
    pool = urllib3.HTTPConnectionPool("127.0.0.1", BACKEND_PORT, maxsize=CALLERS)

    def forward(
        environ: dict[str, Any], start: Callable[..., object]
    ) -> Iterable[bytes]:
        answer = pool.request(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        start("200 OK", [("Content-Length", str(len(answer.data)))])
        return [answer.data]

    server = Server(("127.0.0.1", DOOR_PORT), forward, numthreads=CALLERS)
    threading.Thread(target=server.safe_start, daemon=True).start()
    _tell(done, told)


def _serve_loop(done: Any, told: Any) -> None:
    """Forward by the product's event loop."""
    connections = ConnectionPool()
    address = f"127.0.0.1:{BACKEND_PORT}"

    async def forward(request: Request) -> Response:
        connection = connections.acquire_idle(address)
        if connection is None:
            opened = await connections.connect(address, 1.0)
            if isinstance(opened, ExchangeFault):
                return make_response(502)
            connection = opened
        answer = await connection.exchange(request)
        connections.release(connection)
        return make_response(502) if isinstance(answer, ExchangeFault) else answer

    async def run() -> None:
        await HttpServer(forward, WireLimits()).start(f"127.0.0.1:{DOOR_PORT}")
        while not done.is_set():
            await asyncio.sleep(0.05)

    threading.Thread(target=lambda: asyncio.run(run()), daemon=True).start()
    _tell(done, told)


def _tell(done: Any, told: Any) -> None:
    """Wait for the end, then tell processor seconds and peak memory in kB."""
    done.wait()
    usage = resource.getrusage(resource.RUSAGE_SELF)
    told.put((usage.ru_utime + usage.ru_stime, usage.ru_maxrss))


def _call(count: int) -> None:
    """Send requests one after the other on a kept connection."""
    pool = urllib3.HTTPConnectionPool("127.0.0.1", DOOR_PORT, maxsize=1)
    for _ in range(count):
        assert pool.request("GET", "/x", retries=False).status == 200


def _measure(serve: Callable[[Any, Any], None]) -> tuple[float, int]:
    """Return milliseconds a request and peak memory in kB of one variant."""
    context = multiprocessing.get_context("spawn")
    done, told = context.Event(), context.Queue()
    door = context.Process(target=serve, args=(done, told))
    door.start()
    time.sleep(1.5)
    callers = [
        threading.Thread(target=_call, args=(REQUESTS // CALLERS,))
        for _ in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    done.set()
    seconds, memory = told.get(timeout=10)
    door.join()
    return seconds / REQUESTS * 1000, memory


def main() -> None:
    """Measure both variants, twice in turn."""
    backend = multiprocessing.get_context("spawn").Process(target=_serve_backend)
    backend.start()
    time.sleep(1.0)
    for _ in range(2):
        for name, serve in (("threads", _serve_threads), ("loop", _serve_loop)):
            milliseconds, memory = _measure(serve)
            print(f"{name}: {milliseconds:.3f} ms a request, {memory} kB")
    backend.terminate()


if __name__ == "__main__":
    main()
