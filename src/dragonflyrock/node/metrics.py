"""The metrics address of a node."""

from __future__ import annotations

from ..http import HttpServer, Request, Response, WireLimits, make_response
from ..observe.metrics import Metrics
from .settings import NodeSettings

__all__ = ["make_metrics_server"]


def make_metrics_server(settings: NodeSettings, metrics: Metrics) -> HttpServer | None:
    """Return the server of the metrics address, if the settings name one."""
    if not settings.listen.metrics:
        return None

    async def answer(request: Request) -> Response:
        from prometheus_client import generate_latest  # noqa: PLC0415 (rarely asked)

        body = generate_latest(metrics.registry)
        return make_response(200, body, content_type=b"text/plain; version=0.0.4")

    return HttpServer(answer, WireLimits())
