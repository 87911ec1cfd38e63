"""The HTTP server of a node's metrics."""

from __future__ import annotations

from ..client_guard import MONITOR_CONNECTIONS, MONITOR_LIMITS, ClientGuard
from ..http import HttpServer, Request, Response, make_response
from ..observe.metrics import CONTENT_TYPE, Metrics

__all__ = ["make_metrics_server"]


def make_metrics_server(metrics: Metrics, guard: ClientGuard) -> HttpServer:
    """Return the server for the metrics of a node."""

    async def handle(request: Request) -> Response:
        content_type = CONTENT_TYPE.encode()
        return make_response(200, metrics.render(), content_type=content_type)

    return HttpServer(handle, MONITOR_LIMITS, guard.memory, MONITOR_CONNECTIONS)
