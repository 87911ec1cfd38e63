"""A faulty server writes a refusal once more on a kept connection."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from dragonflyrock.http import Request, Response, find_header
from dragonflyrock.models import ServerRow
from dragonflyrock.routes import RouteKind
from tests.common import free_port

from .harness import RouterHarness, run_scenario

WORK_SECONDS = 0.05
FULL_SECONDS = 0.3


class RepeatingServer:
    """A server that refuses the first request on a connection, and runs later ones.

    Before it runs one, it writes the refusal once more; with ``unnamed`` the copy has
    no request id. ``runs`` counts the runs by request id.
    """

    def __init__(self, *, unnamed: bool, refused_connections: int) -> None:
        """Refuse on so many connections, and run all requests on later ones."""
        self.unnamed = unnamed
        self.refused_connections = refused_connections
        self.runs: Counter[bytes] = Counter()
        self.port = free_port()

    async def start(self) -> asyncio.Server:
        """Listen on the loopback interface."""
        return await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection."""
        refuses = self.refused_connections > 0
        self.refused_connections -= 1
        refusal = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = _find_id(head)
                if refuses and not refusal:
                    refusal = _encode(b"503 Busy", request_id, b"X-Not-Run: 1\r\n")
                    writer.write(refusal)
                    continue
                if refusal and self.unnamed:
                    refusal = _encode(b"503 Busy", b"", b"X-Not-Run: 1\r\n")
                writer.write(refusal)
                self.runs[request_id] += 1
                await asyncio.sleep(WORK_SECONDS)
                writer.write(_encode(b"200 OK", request_id, b"X-Signature: s\r\n"))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _find_id(head: bytes) -> bytes:
    """Return the request id of a request head."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-request-id":
            return value.strip()
    return b""


def _encode(status: bytes, request_id: bytes, header: bytes) -> bytes:
    """Return an encoded response without a body."""
    named = b"X-Request-Id: %s\r\n" % request_id if request_id else b""
    return b"HTTP/1.1 %s\r\n%s%sContent-Length: 0\r\n\r\n" % (status, named, header)


async def send(harness: RouterHarness, request_id: bytes) -> Response:
    """Send a request that may not be repeated."""
    headers = (
        (b"Host", b"h"),
        (b"X-Request-Id", request_id),
        (b"X-Request-Timeout-Ms", b"800"),
    )
    return await harness.router.handle(Request(b"GET", b"/p/x", headers, b""))


# Guards against REFUSED and TWICE: callers are told that a request has not run, which
# runs, by a second copy of a refusal on the connection on which it is sent.
@pytest.mark.parametrize("unnamed", [False, True], ids=["named", "unnamed"])
@pytest.mark.parametrize("kind", list(RouteKind))
def test_a_second_copy_of_a_refusal_answers_no_request(
    kind: RouteKind, unnamed: bool
) -> None:
    async def scenario(harness: RouterHarness) -> None:
        server = RepeatingServer(unnamed=unnamed, refused_connections=1)
        listener = await server.start()
        address = f"127.0.0.1:{server.port}"
        harness.rows["s1"] = ServerRow("s1", "s", address, "a", 0, 2, 0, True)
        harness.apply_update(kind)
        ids = [b"%d" % number for number in range(6)]
        statuses = {}
        for request_id in ids:
            statuses[request_id] = (await send(harness, request_id)).status
            # A server that refused is taken for full for a while.
            await asyncio.sleep(FULL_SECONDS)
        for request_id, status in statuses.items():
            if status == 503:
                assert not server.runs[request_id], statuses
            elif status == 200:
                assert server.runs[request_id], statuses
        if kind == RouteKind.ONCE:
            assert max(server.runs.values()) == 1
        assert list(statuses.values()).count(200) >= len(ids) - 2, statuses
        listener.close()

    run_scenario(scenario)


# Guards against a refusal between hosts that names no request, which is not told from a
# copy of an earlier one.
def test_a_refusal_of_another_host_names_its_request() -> None:
    async def scenario(harness: RouterHarness) -> None:
        harness.apply_update()
        harness.router.reach.is_cut_off = True
        headers = ((b"Host", b"h"), (b"X-Request-Id", b"id-1"))
        request = Request(b"GET", b"/p/x", headers, b"")
        response = await harness.router.handle_relayed(request)
        assert find_header(response.headers, b"relay-refused") is not None
        assert find_header(response.headers, b"x-request-id") == b"id-1"

    run_scenario(scenario)
