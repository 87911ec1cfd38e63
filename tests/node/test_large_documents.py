"""Tests of changes that would make the route document too large for the memory."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from dragonflyrock.clock import read_clock
from dragonflyrock.control.commands import ChangeRoutes, Done, PutRoutes
from dragonflyrock.errors import Reason, Refusal
from dragonflyrock.http import Request
from dragonflyrock.node import control
from dragonflyrock.node.control import ControlNode
from dragonflyrock.node.settings import NodeSettings
from dragonflyrock.platform.control_calls import ControlCalls
from dragonflyrock.routes import (
    Route,
    RouteChange,
    RouteDocument,
    RoutedService,
    RouteKind,
    ServiceShare,
)

from .test_control_disk import handle_request, reject_order, settings, wait_until

__all__ = ["settings"]

SERVICE = RoutedService("service", "/health", 0, False, 0.0)


def make_routes(first: int, count: int) -> tuple[Route, ...]:
    """Return routes with sources of 100 bytes."""
    share = (ServiceShare("service", 1.0),)
    return tuple(
        Route(
            f"r{n}",
            "host",
            f"/{n}/",
            RouteKind.ONCE,
            share,
            900.0,
            1,
            400.0,
            1,
            bytes(100),
        )
        for n in range(first, first + count)
    )


def run_with_node(
    settings: NodeSettings, check: Callable[[ControlNode], Awaitable[None]]
) -> None:
    """Run a check with a control node that leads its own group."""

    async def run_node() -> None:
        node = ControlNode(settings, reject_order, read_clock())
        task = asyncio.create_task(node.run(handle_request))
        await wait_until(lambda: node._group.is_settled_leader(node._loop.clock()))
        try:
            await check(node)
        finally:
            node.stop()
            await task

    asyncio.run(run_node())


# Guards against a document that no control host can hold in memory: each is killed when
# it applies the change, and again at each start.
def test_a_change_that_makes_the_document_too_large_is_refused(
    settings: NodeSettings, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(control, "MAX_DOCUMENT_BYTES", 1000)

    async def check(node: ControlNode) -> None:
        document = RouteDocument(1, make_routes(0, 9), (SERVICE,))
        assert isinstance(await node.put_routes(PutRoutes(0, "a", document)), Done)
        whole = RouteDocument(2, make_routes(0, 11), (SERVICE,))
        more = RouteChange(2, make_routes(9, 2))
        for command in (PutRoutes(1, "b", whole), ChangeRoutes(1, "c", more)):
            refusal = await node.put_routes(command)
            assert isinstance(refusal, Refusal)
            assert refusal.reason == Reason.BODY_TOO_LARGE
        one = RouteChange(2, make_routes(9, 1))
        assert isinstance(await node.put_routes(ChangeRoutes(1, "d", one)), Done)

    run_with_node(settings, check)


# Guards against a document over the limit, which an earlier version took, that can't be
# made smaller.
def test_a_document_over_the_limit_may_be_made_smaller(
    settings: NodeSettings, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def check(node: ControlNode) -> None:
        document = RouteDocument(1, make_routes(0, 30), (SERVICE,))
        assert isinstance(await node.put_routes(PutRoutes(0, "a", document)), Done)
        monkeypatch.setattr(control, "MAX_DOCUMENT_BYTES", 1000)
        fewer = RouteChange(2, removed_routes=("r1", "r2"))
        assert isinstance(await node.put_routes(ChangeRoutes(1, "b", fewer)), Done)
        more = RouteChange(3, make_routes(30, 3))
        refusal = await node.put_routes(ChangeRoutes(2, "c", more))
        assert isinstance(refusal, Refusal)

    run_with_node(settings, check)


# Guards against an operator that sends such a change again and again, as it was told to
# come back.
def test_an_operator_is_told_that_its_document_is_too_large(
    settings: NodeSettings, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(control, "MAX_DOCUMENT_BYTES", 10)
    body = (
        b'{"version":"r1","listeners":[],'
        b'"clusters":[{"name":"a","healthCheckPath":"/health"}]}'
    )

    async def check(node: ControlNode) -> None:
        headers = ((b"X-Dragonflyrock-Base-Version", b"0"),)
        request = Request(b"POST", b"/-/config/put", headers, body)
        assert (await ControlCalls(node).handle(request)).status == 413

    run_with_node(settings, check)
