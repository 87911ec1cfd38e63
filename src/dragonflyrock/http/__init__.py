"""HTTP/1.1 server and client for asyncio."""

from __future__ import annotations

from .buffered_bodies import BufferedBodies
from .client import MAX_SMALL_BODY_BYTES, ConnectionPool, ServerConnection
from .link_queue import LinkQueue, compute_paced_rate, is_narrow
from .memory import ClientMemory
from .models import (
    ExchangeFault,
    FaultKind,
    Headers,
    Request,
    Response,
    WireLimits,
    find_header,
    make_response,
)
from .part_pacer import PartPacer
from .server import CANCELLED_BY_HOST, HttpServer, StopCounts

__all__ = [
    "CANCELLED_BY_HOST",
    "MAX_SMALL_BODY_BYTES",
    "BufferedBodies",
    "ClientMemory",
    "ConnectionPool",
    "ExchangeFault",
    "FaultKind",
    "Headers",
    "HttpServer",
    "LinkQueue",
    "PartPacer",
    "Request",
    "Response",
    "ServerConnection",
    "StopCounts",
    "WireLimits",
    "compute_paced_rate",
    "find_header",
    "is_narrow",
    "make_response",
]
