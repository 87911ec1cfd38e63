"""The metrics address of a node."""

from __future__ import annotations

from ..http import HttpServer, Request, Response, WireLimits, make_response
from ..observe.metrics import CONTENT_TYPE, Metrics
from .settings import NodeSettings

__all__ = ["make_metrics_server"]


def make_metrics_server(settings: NodeSettings, metrics: Metrics) -> HttpServer | None:
    """Return the server of the metrics address, if the settings name one."""
    if not settings.listen.metrics:
        return None

    async def answer(request: Request) -> Response:
        kind = CONTENT_TYPE.encode()
        return make_response(200, metrics.render(), content_type=kind)

    return HttpServer(answer, WireLimits())
