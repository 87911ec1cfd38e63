"""HTTP servers for WSGI applications."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable

from cheroot import wsgi

from ..errors import DragonflyrockError
from .problem import Environ, StartResponse

__all__ = ["Application", "WebServer", "read_json_body"]

_LOGGER = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
SHUTDOWN_TIMEOUT_SECONDS = 1

Application = Callable[[Environ, StartResponse], Iterable[bytes]]


class WebServer:
    """A cheroot server for one application, which runs in its own thread."""

    def __init__(
        self, name: str, address: str, application: Application, threads: int
    ) -> None:
        """Bind the server to ``address`` (``ip:port``).

        Raise DragonflyrockError if it cannot listen there. The application runs in
        ``threads`` worker threads.
        """
        self.name = name
        ip, _, port = address.rpartition(":")
        self._server = wsgi.Server(
            (ip, int(port)),
            application,
            numthreads=threads,
            request_queue_size=LISTEN_BACKLOG,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        )
        # cheroot lets applications replace this method to receive its messages.
        setattr(self._server, "error_log", self._log_error)  # noqa: B010
        try:
            self._server.prepare()
        except OSError as error:
            detail = f"cannot listen on {address}: {error}"
            raise DragonflyrockError(detail, step="listen", peer=address) from error
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{name}", daemon=True
        )

    def start(self) -> None:
        """Start the server thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the server and wait for its thread, at most for the shutdown timeout."""
        self._server.stop()
        self._thread.join(SHUTDOWN_TIMEOUT_SECONDS)

    def _log_error(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Write a message of the server to the log."""
        _LOGGER.log(level, "http %s: %s", self.name, msg, exc_info=traceback)


def read_json_body(environ: Environ, limit: int) -> bytes | None:
    """Return the body, or None if its length is invalid or above ``limit`` bytes."""
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdecimal() or int(text) > limit:
        return None
    body: bytes = environ["wsgi.input"].read(int(text))
    return body
