"""Calls of backend servers and operators at a control node's address."""

from __future__ import annotations

import msgspec

from ..control.commands import ChangeRoutes, Done, PutRoutes
from ..errors import Reason, Refusal
from ..http import Request, Response, find_header, make_response
from ..node.control import ControlNode
from .beats import decode_beat, make_goodbye
from .documents import (
    UnreadableError,
    decode_change,
    decode_document,
    decode_version,
    digest_change,
    encode_document,
)
from .names import (
    BASE_VERSION,
    CONFIG_GET,
    CONFIG_PATCH,
    CONFIG_PUT,
    INSTANCES_PREFIX,
)

__all__ = ["ControlCalls"]


class ControlCalls:
    """Translate each call to the node's own, and its answer back."""

    def __init__(self, node: ControlNode) -> None:
        """Answer for a node."""
        self._node = node

    async def handle(self, request: Request) -> Response:
        """Answer one call."""
        path = request.target.decode("latin-1").partition("?")[0]
        try:
            match request.method, path:
                case b"GET", p if p == CONFIG_GET:
                    return await self._get()
                case b"POST", p if p in (CONFIG_PUT, CONFIG_PATCH):
                    return await self._put(request, path)
                case b"POST", p if p.startswith(INSTANCES_PREFIX):
                    return await self._hear(request, path)
        except UnreadableError as error:
            return _answer(400, str(error))
        return _answer(404, f"no such call: {path}")

    async def _get(self) -> Response:
        """Answer a read of the configuration."""
        document = await self._node.read_routes()
        if isinstance(document, Refusal):
            return _answer(503, document.detail)
        if not document.version:
            return _answer(404, "there is no configuration yet")
        return make_response(200, encode_document(document))

    async def _put(self, request: Request, path: str) -> Response:
        """Answer a change of the configuration."""
        told = find_header(request.headers, BASE_VERSION)
        if told is None:
            return _answer(400, "the base version is missing")
        base = decode_version(told.decode("latin-1").strip())
        digest = digest_change(request.target, base, request.body)
        command: PutRoutes | ChangeRoutes
        if path == CONFIG_PUT:
            command = PutRoutes(base, digest, decode_document(request.body))
        else:
            command = ChangeRoutes(base, digest, decode_change(request.body))
        result = await self._node.put_routes(command)
        if isinstance(result, Done):
            return make_response(200, msgspec.json.encode({"version": result.version}))
        return _answer(_find_status(result), result.detail)

    async def _hear(self, request: Request, path: str) -> Response:
        """Answer an announcement of a backend server."""
        name, _, call = path.removeprefix(INSTANCES_PREFIX).partition("/")
        if call == "heartbeat":
            beat = decode_beat(name, request.body)
        elif call == "deregister":
            beat = make_goodbye(name)
        else:
            return _answer(404, f"no such call: {path}")
        result = await self._node.receive_heartbeat(beat)
        if isinstance(result, Refusal):
            return _answer(_find_status(result), result.detail)
        body: dict[str, str] = {}
        if self._node.is_in_same_zone(beat):
            body["heartbeatAddress"] = self._node.control_address
        return make_response(200, msgspec.json.encode(body))


def _find_status(refusal: Refusal) -> int:
    """Return the status of a refusal."""
    match refusal.reason:
        case Reason.NO_LEADER | Reason.NOT_LEADER:
            return 503
        case Reason.VERSION_CONFLICT:
            return 412
        case Reason.BAD_REQUEST:
            return 400
    return 409


def _answer(status: int, detail: str) -> Response:
    """Return an answer with a reason."""
    return make_response(status, msgspec.json.encode({"error": detail}))
