"""Grants and releases as calls to the platform's backend servers."""

from __future__ import annotations

import asyncio

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
    ConnectionPool,
    ExchangeFault,
    FaultKind,
    Request,
    Response,
    find_header,
)
from .names import (
    EXPECTED_SERVER,
    GRANT_PATH,
    HANDOVER,
    KEY_SHIFT,
    NOT_RUN,
    RELEASE_PATH,
    SERVER_NAME,
)

__all__ = ["OrderCalls"]


class OrderCalls:
    """Send orders; an order without an answer is broken off."""

    def __init__(self) -> None:
        """Start without connections."""
        self._connections = ConnectionPool()

    async def send(self, order: Order, timeout: float) -> OrderResult:
        """Send an order and return what is known of it after ``timeout`` seconds."""
        address = order.server.address
        connection = self._connections.acquire_idle(address)
        if connection is None:
            opened = await self._connections.connect(address, timeout)
            if isinstance(opened, ExchangeFault):
                return OrderResult(order, OrderOutcome.NOT_SENT, detail=opened.detail)
            connection = opened
        try:
            async with asyncio.timeout(timeout):
                result = await connection.exchange(_make_request(order))
        except TimeoutError:
            return OrderResult(order, OrderOutcome.UNKNOWN, detail="no answer in time")
        self._connections.release(connection)
        if isinstance(result, ExchangeFault):
            outcome = OrderOutcome.UNKNOWN
            if result.kind == FaultKind.NOT_CONNECTED:
                outcome = OrderOutcome.NOT_SENT
            return OrderResult(order, outcome, detail=result.detail)
        return _read_result(order, result)


def _make_request(order: Order) -> Request:
    """Return the call of an order."""
    headers = (
        (b"Host", order.server.address.encode()),
        (b"Content-Type", b"application/json"),
        (EXPECTED_SERVER, order.server.name.encode()),
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
    """Return the path and body of an order; the platform's keys have 16 bits."""
    shift = KEY_SHIFT
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
    """Return what a server's answer tells."""
    detail = f"status {response.status}"
    if isinstance(order, ProbeOrder):
        return _read_probe(order, response)
    if response.status == 200:
        token = find_header(response.headers, HANDOVER) or b""
        return OrderResult(order, OrderOutcome.DONE, token.decode("latin-1"))
    if response.status == 409:
        return OrderResult(order, OrderOutcome.NEWER_EPOCH, detail=detail)
    if response.status == 421:
        other = find_header(response.headers, SERVER_NAME)
        if other is not None and other != order.server.name.encode():
            detail = f"{other.decode('latin-1')} has the address"
            return OrderResult(order, OrderOutcome.OTHER_INSTANCE, detail=detail)
    if 400 <= response.status < 500:
        # Whoever answered has read the order and has not taken it.
        return OrderResult(order, OrderOutcome.NOT_SENT, detail=detail)
    if find_header(response.headers, NOT_RUN) is not None:
        return OrderResult(order, OrderOutcome.NOT_SENT, detail=detail)
    return OrderResult(order, OrderOutcome.UNKNOWN, detail=detail)


def _read_probe(order: ProbeOrder, response: Response) -> OrderResult:
    """Return whether the server that was expected is still at its address."""
    found = find_header(response.headers, SERVER_NAME)
    if found is None:
        detail = f"status {response.status} without a name"
        return OrderResult(order, OrderOutcome.UNKNOWN, detail=detail)
    if found != order.server.name.encode():
        detail = f"{found.decode('latin-1')} has the address"
        return OrderResult(order, OrderOutcome.OTHER_INSTANCE, detail=detail)
    return OrderResult(order, OrderOutcome.DONE)
