"""The HTTP calls of backend servers and operators to a control node."""

from __future__ import annotations

from urllib.parse import unquote

import msgspec

from ..control.commands import ChangeRoutes, Done, PutRoutes
from ..errors import Reason, Refusal
from ..http import Request, Response, find_header, make_response
from ..node.control import ControlNode
from .documents import (
    UnreadableError,
    decode_change,
    decode_document,
    decode_version,
    digest_change,
    encode_document,
)
from .heartbeats import (
    decode_deregistration,
    decode_heartbeat,
    encode_acknowledgement,
)
from .names import (
    BASE_VERSION,
    CONFIG_GET_PATH,
    CONFIG_PATCH_PATH,
    CONFIG_PUT_PATH,
    EVACUATE_PREFIX,
    INSTANCES_PREFIX,
)

__all__ = ["ControlCalls"]


class ControlCalls:
    """Translate HTTP calls to methods of the control node, and results to responses."""

    def __init__(self, node: ControlNode) -> None:
        """Initialize with the node that handles the calls."""
        self._node = node

    async def handle(self, request: Request) -> Response:
        """Handle one call."""
        path = request.target.decode("latin-1").partition("?")[0]
        try:
            match request.method, path:
                case b"GET", path if path == CONFIG_GET_PATH:
                    return await self._get_config()
                case b"POST", path if path in (CONFIG_PUT_PATH, CONFIG_PATCH_PATH):
                    return await self._change_config(request, path)
                case b"POST", path if path.startswith(EVACUATE_PREFIX):
                    return await self._order_evacuation(request, path)
                case b"POST", path if path.startswith(INSTANCES_PREFIX):
                    return await self._receive_announcement(request, path)
        except UnreadableError as error:
            self._node.log_unreadable(path, str(error))
            return _make_error(400, str(error))
        return _make_error(404, f"no such call: {path}")

    async def _get_config(self) -> Response:
        """Return the configuration."""
        document = await self._node.read_routes()
        if isinstance(document, Refusal):
            return _make_error(503, document.detail)
        if not document.version:
            return _make_error(404, "there is no configuration yet")
        return make_response(200, encode_document(document))

    async def _change_config(self, request: Request, path: str) -> Response:
        """Replace or change the configuration."""
        base_header = find_header(request.headers, BASE_VERSION)
        if base_header is None:
            return _make_error(400, "the base version is missing")
        base = decode_version(base_header.decode("latin-1").strip())
        digest = digest_change(request.target, base, request.body)
        command: PutRoutes | ChangeRoutes
        if path == CONFIG_PUT_PATH:
            command = PutRoutes(base, digest, decode_document(request.body))
        else:
            command = ChangeRoutes(base, digest, decode_change(request.body))
        result = await self._node.put_routes(command)
        if isinstance(result, Done):
            return make_response(200, msgspec.json.encode({"version": result.version}))
        return _make_error(_get_status(result), result.detail)

    async def _order_evacuation(self, request: Request, path: str) -> Response:
        """Evacuate an availability zone, or take it back."""
        zone, _, order = path.removeprefix(EVACUATE_PREFIX).rpartition("/")
        if order not in ("start", "end"):
            return _make_error(400, f"{path}: expected a zone, then start or end")
        if request.body:
            self._node.log_ignored_body(path, len(request.body))
        result = await self._node.order_evacuation(
            unquote(zone), evacuated=order == "start"
        )
        if isinstance(result, Done):
            return make_response(200, b"")
        status = _get_status(result)
        if result.reason == Reason.VERSION_CONFLICT:
            # 412 would end the call, although the operator may still want the order.
            status = 503
        return _make_error(status, result.detail)

    async def _receive_announcement(self, request: Request, path: str) -> Response:
        """Handle a heartbeat or the deregistration of a backend server."""
        name, _, call = path.removeprefix(INSTANCES_PREFIX).partition("/")
        if call == "heartbeat":
            heartbeat = decode_heartbeat(name, request.body)
        elif call == "deregister":
            heartbeat = decode_deregistration(name, request.body)
        else:
            return _make_error(404, f"no such call: {path}")
        result = await self._node.receive_heartbeat(heartbeat)
        if isinstance(result, Refusal):
            return _make_error(_get_status(result), result.detail)
        address = self._node.choose_heartbeat_address(heartbeat)
        return make_response(200, encode_acknowledgement(result, address))


def _get_status(refusal: Refusal) -> int:
    """Return the HTTP status for a refusal."""
    match refusal.reason:
        case Reason.NO_LEADER | Reason.NOT_LEADER | Reason.OVERLOADED:
            return 503
        case Reason.OUTDATED:
            return 503
        case Reason.VERSION_CONFLICT:
            return 412
        case Reason.BODY_TOO_LARGE:
            return 413
        case Reason.BAD_REQUEST:
            return 400
    return 409


def _make_error(status: int, detail: str) -> Response:
    """Return a response with an error message."""
    return make_response(status, msgspec.json.encode({"error": detail}))
