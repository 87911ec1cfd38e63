"""Crowds at every port of a node: no process ends, and others still get answers.

The crowds and the bounds were fixed on bb73bbe, before any change for them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Final

import pytest

from dragonflyrock.platform import names
from soak import wire

from .attack import (
    CONNECTION_COUNT,
    CROWD_SIZE,
    assert_within_machine,
    attack,
    attack_deployment,
)
from .crowd import (
    make_endless_chunk_extension,
    make_endless_header,
    make_endless_trailer,
    make_large_body,
    make_link_frame,
    make_many_headers,
    make_requests_ahead,
    make_requests_ahead_with_headers,
)
from .deployment import ROUTES, Deployment, Machine, Node, run

# The default limit of a body, and what a node takes of a machine of unknown size.
LARGEST_BODY_BYTES: Final = 64 * 1024 * 1024
UNKNOWN_MACHINE_MB: Final = 512
# A configuration that takes about a megabyte.
MANY_ROUTES: Final = 4_000

FindPort = Callable[[Deployment], str]
HTTP_PORTS: dict[str, FindPort] = {
    "callers": lambda deployment: deployment.entry.address,
    "relay": lambda deployment: deployment.entry.relay,
    "ready": lambda deployment: deployment.entry.ready,
    "entry-metrics": lambda deployment: deployment.entry.metrics,
    "control": lambda deployment: deployment.control.address,
    "control-metrics": lambda deployment: deployment.control.metrics,
}
LINK_PORTS: dict[str, FindPort] = {
    "entry": lambda deployment: deployment.entry.link,
    "control": lambda deployment: deployment.control.link,
}

at_each_port = pytest.mark.parametrize("port", HTTP_PORTS)


# Guards against a header line without end, which a parser keeps until it is complete.
@at_each_port
def test_header_lines_without_end(tmp_path: Path, port: str) -> None:
    attack(tmp_path, make_endless_header, target=HTTP_PORTS[port])


# Guards against a trailer without end after a body in chunks.
@at_each_port
def test_trailers_without_end(tmp_path: Path, port: str) -> None:
    attack(tmp_path, make_endless_trailer, target=HTTP_PORTS[port])


# Guards against the extension of a chunk without end, which takes the processor.
def test_chunk_extensions_without_end(tmp_path: Path) -> None:
    attack(tmp_path, make_endless_chunk_extension)


# Guards against heads of legal size that take many times their size as objects.
def test_heads_of_many_headers(tmp_path: Path) -> None:
    attack(tmp_path, make_many_headers, CONNECTION_COUNT)


# Guards against the same in requests that wait for the answers to earlier ones.
def test_requests_ahead_with_many_headers(tmp_path: Path) -> None:
    attack(tmp_path, lambda: make_requests_ahead_with_headers("/large/x", 400), 60)


# Guards against bodies at ports whose requests have none.
@pytest.mark.parametrize("port", ["ready", "entry-metrics", "control-metrics"])
def test_large_bodies_where_requests_have_none(tmp_path: Path, port: str) -> None:
    attack(tmp_path, make_large_body, target=HTTP_PORTS[port])


# Guards against a node without a descriptor, as each port has a crowd of its own.
@at_each_port
def test_more_connections_than_descriptors(tmp_path: Path, port: str) -> None:
    attack(tmp_path, lambda: iter([b"G"]), CONNECTION_COUNT, HTTP_PORTS[port])


# Guards against metrics that nobody reads and that are kept without bound.
@pytest.mark.parametrize("port", ["entry-metrics", "control-metrics"])
def test_metrics_unread(tmp_path: Path, port: str) -> None:
    def make_stream() -> Iterator[bytes]:
        return make_requests_ahead("/metrics", 2_000)

    attack(tmp_path, make_stream, CONNECTION_COUNT, HTTP_PORTS[port])


# Guards against a large configuration that is read many times and never taken.
def test_configurations_unread(tmp_path: Path) -> None:
    names_of_routes = (f"route-{number:04}" for number in range(MANY_ROUTES))
    routes = [
        wire.RouteSpec(name, f"/{name}/", True, wire.PLAIN_SERVICE)
        for name in names_of_routes
    ]
    attack_deployment(
        Deployment(tmp_path, routes=(*ROUTES, *routes)),
        lambda: make_requests_ahead(names.CONFIG_GET_PATH, 200),
        CROWD_SIZE,
        HTTP_PORTS["control"],
    )


# Guards against a host that takes as much as it gets where its settings say nothing of
# its machine.
def test_large_bodies_on_a_machine_of_unknown_size(tmp_path: Path) -> None:
    def check(node: Node) -> None:
        assert node.is_alive, node.read_log()[-2000:]
        assert node.read_usage().peak_mb <= UNKNOWN_MACHINE_MB

    attack_deployment(
        Deployment(tmp_path, Machine(0, 0), LARGEST_BODY_BYTES),
        lambda: make_large_body(LARGEST_BODY_BYTES),
        CROWD_SIZE,
        HTTP_PORTS["callers"],
        check,
    )


# Guards against a limit that a single request meets on a machine of unknown size.
def test_the_largest_request_on_a_machine_of_unknown_size(tmp_path: Path) -> None:
    async def scenario(deployment: Deployment) -> None:
        body = bytes(LARGEST_BODY_BYTES)
        assert await deployment.send_request("POST", "/put/x", body) == 200
        assert deployment.received_bytes[-1] == len(body)
        assert_within_machine(deployment.control)

    run(Deployment(tmp_path, Machine(0, 0), LARGEST_BODY_BYTES), scenario)


# Guards against strangers on the port by which nodes speak to each other.
@pytest.mark.parametrize("port", LINK_PORTS)
def test_messages_of_strangers_on_a_link(tmp_path: Path, port: str) -> None:
    attack(tmp_path, make_link_frame, 4, LINK_PORTS[port])
