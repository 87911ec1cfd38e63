"""Answers to orders on connections that carry several."""

from __future__ import annotations

import asyncio

import pytest

from dragonflyrock.control.directed_models import (
    GrantOrder,
    Order,
    OrderOutcome,
    OrderResult,
    ProbeOrder,
    ReleaseOrder,
)
from dragonflyrock.models import ServerRow
from dragonflyrock.platform.names import SERVER_NAME
from dragonflyrock.platform.orders import OrderClient

TOP_KEY = 2**64 - 1


async def _read_request_id(reader: asyncio.StreamReader) -> bytes:
    """Read a request and return its id."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
    await reader.readexactly(int(lines.get(b"content-length", b"0")))
    return lines.get(b"x-dragonflyrock-request-id", b"")


async def _send_two(first: str, second: str) -> tuple[OrderOutcome, int]:
    """Send two orders, with a second answer to the first in between.

    Return the outcome of the second order and the number of connections.
    """
    connections: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(writer)
        answer = (
            b"HTTP/1.1 200 OK\r\n" + SERVER_NAME + b": one\r\nContent-Length: 0\r\n"
        )
        try:
            request_id = await _read_request_id(reader)
            if request_id:
                answer += b"X-Dragonflyrock-Request-Id: " + request_id + b"\r\n"
            writer.write(answer + b"\r\n")
            await _read_request_id(reader)
            writer.write(answer + b"\r\n")
            await reader.read()
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    row = ServerRow("one", "s", f"127.0.0.1:{port}", "a", 1, 2, 0, True)
    orders: dict[str, Order] = {
        "grant": GrantOrder(row, "s", 0, TOP_KEY, 5, 6_000, ""),
        "probe": ProbeOrder(row, "/health"),
        "release": ReleaseOrder(row, "s", 0, TOP_KEY, 5),
    }
    client = OrderClient()
    assert (await client.send(orders[first], 1.0)).outcome == OrderOutcome.DONE
    result = await client.send(orders[second], 0.3)
    server.close()
    return result.outcome, len(connections)


# Guards against a second answer to an order that counts as the answer to the next one:
# keys count as released while their server still works on them.
@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        ("grant", "grant", (OrderOutcome.UNKNOWN, 1)),
        # An answer may have no id, so these orders have connections of their own.
        ("grant", "release", (OrderOutcome.DONE, 2)),
        ("probe", "release", (OrderOutcome.DONE, 2)),
        ("release", "grant", (OrderOutcome.DONE, 2)),
    ],
)
def test_an_extra_answer_is_not_that_of_the_next_order(
    first: str, second: str, expected: tuple[OrderOutcome, int]
) -> None:
    assert asyncio.run(_send_two(first, second)) == expected


# Guards against OWNER: a grant of an epoch that one life of a server has goes to the
# next life, which listens at the same address before it has announced itself.
def test_a_grant_that_needs_a_closed_connection_is_not_sent() -> None:
    received: list[bytes] = []

    async def run() -> list[OrderResult]:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                while True:
                    request_id = await _read_request_id(reader)
                    received.append(request_id)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
                    writer.write(b"X-Dragonflyrock-Request-Id: %s\r\n\r\n" % request_id)
            except asyncio.IncompleteReadError:
                return
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        row = ServerRow("one", "s", f"127.0.0.1:{port}", "a", 5, 2, 0, True)
        order = GrantOrder(row, "s", 0, TOP_KEY, 5, 6_000, "")
        client = OrderClient()
        first = await client.send(order, 1.0)
        again = order._replace(connection=first.connection)
        # Several at once wait for their connection.
        results = [first, await client.send(again, 1.0)]
        results += await asyncio.gather(
            client.send(again, 1.0), client.send(again, 1.0)
        )
        client._connections.close_idle(row.address)
        await asyncio.sleep(0.05)
        results.append(await client.send(again, 1.0))
        results.append(await client.send(order, 1.0))
        client._connections.close()
        server.close()
        await asyncio.sleep(0.05)
        return results

    *sent, closed, anew = asyncio.run(run())
    assert [result.outcome for result in sent] == [OrderOutcome.DONE] * 4
    assert len({result.connection for result in sent}) == 1
    assert closed.outcome == OrderOutcome.NO_CONNECTION
    assert anew.outcome == OrderOutcome.DONE
    assert anew.connection != sent[0].connection
    assert len(received) == 5
