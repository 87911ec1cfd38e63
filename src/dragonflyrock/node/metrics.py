"""The HTTP server of a node's metrics."""

from __future__ import annotations

from ..http import HttpServer, Request, Response, WireLimits, make_response
from ..observe.metrics import CONTENT_TYPE, Metrics
from .settings import NodeSettings

__all__ = ["make_metrics_server"]


def make_metrics_server(settings: NodeSettings, metrics: Metrics) -> HttpServer | None:
    """Return the server for the metrics address, if the settings have one."""
    if not settings.listen.metrics:
        return None

    async def handle(request: Request) -> Response:
        content_type = CONTENT_TYPE.encode()
        return make_response(200, metrics.render(), content_type=content_type)

    return HttpServer(handle, WireLimits())
