"""HTTP calls that send orders to the platform's backend servers."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from typing import Final

import msgspec

from ..control.directed_models import (
    GrantOrder,
    Order,
    OrderOutcome,
    OrderResult,
    ProbeOrder,
    ReleaseOrder,
)
from ..http import (
    MAX_SMALL_BODY_BYTES,
    ConnectionPool,
    ExchangeFault,
    FaultKind,
    Request,
    Response,
    ServerConnection,
    find_header,
)
from .names import (
    EXPECTED_SERVER,
    GRANT_PATH,
    HANDOVER,
    KEY_SHIFT_BITS,
    NOT_RUN,
    RELEASE_PATH,
    REQUEST_ID,
    SERVER_NAME,
)

__all__ = ["OrderClient"]

# Interval at which a grant looks whether its connection is free.
BUSY_POLL_SECONDS: Final = 0.005
# Closed connections among them are forgotten beyond this number.
MAX_KEPT_CONNECTIONS: Final = 1_000


class OrderClient:
    """Send orders to backend servers over pooled connections."""

    def __init__(self) -> None:
        """Initialize without connections."""
        self._connections = ConnectionPool(closes_expired=True)
        self._grant_connections: dict[int, ServerConnection] = {}
        self._ids = itertools.count(1)
        self._id_prefix = secrets.token_hex(4)

    async def send(self, order: Order, timeout: float) -> OrderResult:
        """Send an order and return its result.

        Without a response within ``timeout`` seconds, in which the connection is opened
        too, the outcome is unknown if the order may have been sent. An answer with the
        id of another order is not taken for the answer to this one.
        """
        request_id = b"%s%08x" % (self._id_prefix.encode(), next(self._ids))
        connection: ServerConnection | ExchangeFault | None = None
        try:
            async with asyncio.timeout(timeout):
                connection = await self._connect(order, request_id, timeout)
                if connection is None:
                    return OrderResult(
                        order,
                        OrderOutcome.NO_CONNECTION,
                        detail="the connection that has carried the epoch is closed",
                    )
                if isinstance(connection, ExchangeFault):
                    return OrderResult(
                        order, OrderOutcome.NOT_SENT, detail=connection.detail
                    )
                request = _make_request(order, request_id)
                result = await connection.exchange(
                    request,
                    REQUEST_ID,
                    request_id,
                    needs_id=False,
                    max_body_bytes=MAX_SMALL_BODY_BYTES,
                )
        except TimeoutError:
            outcome = OrderOutcome.UNKNOWN if connection else OrderOutcome.NOT_SENT
            return OrderResult(order, outcome, detail="no answer in time")
        if isinstance(order, GrantOrder):
            self._connections.release(connection)
            self._keep(connection)
        else:
            # A second answer may have no id. That of a release would say that the work
            # on other keys has ended.
            connection.close()
        if isinstance(result, ExchangeFault):
            outcome = OrderOutcome.UNKNOWN
            if result.kind == FaultKind.NOT_CONNECTED:
                outcome = OrderOutcome.NOT_SENT
            return OrderResult(order, outcome, detail=result.detail)
        return _read_result(order, result)._replace(connection=connection.number)

    def _keep(self, connection: ServerConnection) -> None:
        """Keep a connection for the grants that must be sent on it."""
        if connection.is_reusable:
            self._grant_connections[connection.number] = connection
        else:
            self._grant_connections.pop(connection.number, None)
        if len(self._grant_connections) > MAX_KEPT_CONNECTIONS:
            self._grant_connections = {
                number: each
                for number, each in self._grant_connections.items()
                if each.is_reusable or each.is_busy
            }

    async def _connect(
        self, order: Order, request_id: bytes, timeout: float
    ) -> ServerConnection | ExchangeFault | None:
        """Return an idle connection for a grant, or a new one for any other order.

        Return None if a grant needs one connection and this is closed.
        """
        address = order.server.address
        if isinstance(order, GrantOrder) and order.connection:
            known = self._grant_connections.get(order.connection)
            while known is not None and known.is_busy:
                await asyncio.sleep(BUSY_POLL_SECONDS)
            if known is not None and self._connections.acquire(known, request_id):
                return known
            self._grant_connections.pop(order.connection, None)
            return None
        if isinstance(order, GrantOrder):
            connection = self._connections.acquire_idle(address, request_id)
            if connection is not None:
                return connection
        return await self._connections.connect(address, timeout)


def _make_request(order: Order, request_id: bytes) -> Request:
    """Return the HTTP request for an order."""
    headers = (
        (b"Host", order.server.address.encode()),
        (b"Content-Type", b"application/json"),
        (EXPECTED_SERVER, order.server.name.encode()),
        (REQUEST_ID, request_id),
    )
    match order:
        case ProbeOrder(_, path):
            return Request(b"GET", path.encode(), headers[:1], b"")
        case GrantOrder() | ReleaseOrder():
            target, body = _make_range_call(order)
            return Request(b"POST", target, headers, msgspec.json.encode(body))


def _make_range_call(
    order: GrantOrder | ReleaseOrder,
) -> tuple[bytes, dict[str, object]]:
    """Return the path and body for an order; the platform's keys have 16 bits."""
    shift = KEY_SHIFT_BITS
    body: dict[str, object] = {
        "from": order.low >> shift,
        "to": order.high >> shift,
        # A fencing token: later owners have higher ones.
        "fence": order.epoch,
    }
    target = RELEASE_PATH
    if isinstance(order, GrantOrder):
        target = GRANT_PATH
        body["holdMs"] = order.hold_ms
        if order.handover:
            body["handover"] = order.handover
    return target, body


def _read_result(order: Order, response: Response) -> OrderResult:
    """Return the result that a server's response states."""
    detail = f"status {response.status}"
    if isinstance(order, ProbeOrder):
        return _read_probe(order, response)
    if response.status == 200:
        token = find_header(response.headers, HANDOVER) or b""
        return OrderResult(order, OrderOutcome.DONE, token.decode("latin-1"))
    if response.status == 409:
        return OrderResult(order, OrderOutcome.NEWER_EPOCH, detail=detail)
    if response.status == 421:
        other_name = find_header(response.headers, SERVER_NAME)
        if other_name is not None and other_name != order.server.name.encode():
            detail = f"{other_name.decode('latin-1')} runs at the address"
            return OrderResult(order, OrderOutcome.OTHER_INSTANCE, detail=detail)
    if 400 <= response.status < 500:
        # Whichever server answered has read the order and refused it.
        return OrderResult(order, OrderOutcome.NOT_SENT, detail=detail)
    if find_header(response.headers, NOT_RUN) is not None:
        return OrderResult(order, OrderOutcome.NOT_SENT, detail=detail)
    return OrderResult(order, OrderOutcome.UNKNOWN, detail=detail)


def _read_probe(order: ProbeOrder, response: Response) -> OrderResult:
    """Return whether the expected server is still at its address."""
    actual_name = find_header(response.headers, SERVER_NAME)
    if actual_name is None:
        detail = f"status {response.status} without a server name"
        return OrderResult(order, OrderOutcome.UNKNOWN, detail=detail)
    if actual_name != order.server.name.encode():
        detail = f"{actual_name.decode('latin-1')} runs at the address"
        return OrderResult(order, OrderOutcome.OTHER_INSTANCE, detail=detail)
    return OrderResult(order, OrderOutcome.DONE)
