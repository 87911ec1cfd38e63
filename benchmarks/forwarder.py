"""A minimal forwarder with urllib3, the baseline of the route benchmark."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import Any

import urllib3
import xxhash

from dragonflyrock.entry.problem import Environ, StartResponse
from dragonflyrock.entry.web import WebServer

THREAD_COUNT = 64


def main() -> None:
    """Forward each request to the server chosen by the hash of its target.

    The command line is ``LISTEN ADDRESS...``.
    """
    addresses = sys.argv[2:]
    pool = urllib3.PoolManager(num_pools=64, maxsize=THREAD_COUNT, retries=False)

    def forward(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        raw_target = environ["REQUEST_URI"]
        target = raw_target.decode() if isinstance(raw_target, bytes) else raw_target
        server_number = xxhash.xxh3_64_intdigest(target.encode()) % len(addresses)
        response: Any = pool.request(
            environ["REQUEST_METHOD"], f"http://{addresses[server_number]}{target}"
        )
        headers = [("Content-Length", str(len(response.data)))]
        start_response(f"{response.status} OK", headers)
        return [response.data]

    server = WebServer("forwarder", sys.argv[1], forward, THREAD_COUNT)
    server.start()
    sys.stdin.read()
    server.stop()


if __name__ == "__main__":
    main()
