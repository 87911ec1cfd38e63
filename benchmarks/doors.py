"""Processor time of a forwarded request, with threads and with an event loop.

``python -m benchmarks.doors``. Both variants forward the same requests to the same
stand-in server. The printed time and memory are those of the forwarding process.
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

REQUEST_COUNT: Final = 3000
CALLER_COUNT: Final = 8
BACKEND_PORT: Final = 18_801
FORWARDER_PORT: Final = 18_802
BODY: Final = b"x" * 1500


def _serve_backend() -> None:
    """Answer every request with the same body."""

    async def answer(request: Request) -> Response:
        return make_response(200, BODY)

    async def run() -> None:
        await HttpServer(answer, WireLimits()).start(f"127.0.0.1:{BACKEND_PORT}")
        await asyncio.sleep(60)

    asyncio.run(run())


def _serve_threads(stop_event: Any, results: Any) -> None:
    """Forward with cheroot and urllib3, one thread per connection."""
    pool = urllib3.HTTPConnectionPool("127.0.0.1", BACKEND_PORT, maxsize=CALLER_COUNT)

    def forward(
        environ: dict[str, Any], start: Callable[..., object]
    ) -> Iterable[bytes]:
        response = pool.request(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        start("200 OK", [("Content-Length", str(len(response.data)))])
        return [response.data]

    server = Server(("127.0.0.1", FORWARDER_PORT), forward, numthreads=CALLER_COUNT)
    threading.Thread(target=server.safe_start, daemon=True).start()
    _report_usage(stop_event, results)


def _serve_loop(stop_event: Any, results: Any) -> None:
    """Forward with the HTTP server and connection pool of the product."""
    connections = ConnectionPool()
    address = f"127.0.0.1:{BACKEND_PORT}"

    async def forward(request: Request) -> Response:
        connection = connections.acquire_idle(address, b"1")
        if connection is None:
            opened = await connections.connect(address, 1.0)
            if isinstance(opened, ExchangeFault):
                return make_response(502)
            connection = opened
        response = await connection.exchange(request)
        connections.release(connection)
        return make_response(502) if isinstance(response, ExchangeFault) else response

    async def run() -> None:
        await HttpServer(forward, WireLimits()).start(f"127.0.0.1:{FORWARDER_PORT}")
        while not stop_event.is_set():
            await asyncio.sleep(0.05)

    threading.Thread(target=lambda: asyncio.run(run()), daemon=True).start()
    _report_usage(stop_event, results)


def _report_usage(stop_event: Any, results: Any) -> None:
    """Wait for the stop event, then send processor seconds and peak memory in kB."""
    stop_event.wait()
    usage = resource.getrusage(resource.RUSAGE_SELF)
    results.put((usage.ru_utime + usage.ru_stime, usage.ru_maxrss))


def _call(count: int) -> None:
    """Send requests one after the other on a persistent connection."""
    pool = urllib3.HTTPConnectionPool("127.0.0.1", FORWARDER_PORT, maxsize=1)
    for _ in range(count):
        assert pool.request("GET", "/x", retries=False).status == 200


def _measure(serve: Callable[[Any, Any], None]) -> tuple[float, int]:
    """Return processor milliseconds per request and peak memory in kB of a variant."""
    context = multiprocessing.get_context("spawn")
    stop_event, results = context.Event(), context.Queue()
    forwarder = context.Process(target=serve, args=(stop_event, results))
    forwarder.start()
    time.sleep(1.5)
    callers = [
        threading.Thread(target=_call, args=(REQUEST_COUNT // CALLER_COUNT,))
        for _ in range(CALLER_COUNT)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    stop_event.set()
    seconds, peak_kilobytes = results.get(timeout=10)
    forwarder.join()
    return seconds / REQUEST_COUNT * 1000, peak_kilobytes


def main() -> None:
    """Measure and print both variants in turn, twice."""
    backend = multiprocessing.get_context("spawn").Process(target=_serve_backend)
    backend.start()
    time.sleep(1.0)
    for _ in range(2):
        for name, serve in (("threads", _serve_threads), ("loop", _serve_loop)):
            milliseconds, peak_kilobytes = _measure(serve)
            print(f"{name}: {milliseconds:.3f} ms a request, {peak_kilobytes} kB")
    backend.terminate()


if __name__ == "__main__":
    main()
