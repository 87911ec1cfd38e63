"""Crowds that no page allows: no process ends, and others still get answers.

They check that the processes live, their peak memory and descriptors, and that one
ordinary request is answered afterwards, while the crowd stays connected. The crowd and
the bounds were fixed on the code that all but the last two tests ended or exceeded.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from .attack import CONNECTION_COUNT, CROWD_SIZE, assert_within_machine, attack
from .crowd import (
    make_chunked,
    make_large_body,
    make_pieces,
    make_requests_ahead,
    make_short_head,
)
from .deployment import MAX_BODY_BYTES, Deployment, run


# Guards against a host that runs out of memory by many bodies of legal size, each of
# which stops one byte short of its end and stays open.
def test_large_bodies_at_once(tmp_path: Path) -> None:
    attack(tmp_path, make_large_body)


# Guards against the same, as the bodies grow side by side.
def test_large_bodies_piece_by_piece(tmp_path: Path) -> None:
    attack(tmp_path, make_pieces)


# Guards against chunked bodies, whose size no head names.
def test_chunked_bodies_in_large_chunks(tmp_path: Path) -> None:
    attack(tmp_path, lambda: make_chunked(64 * 1024, 127, 4))


# Guards against chunks of two bytes, which cost many times their size where each is
# kept as an object of its own.
def test_chunked_bodies_in_very_small_chunks(tmp_path: Path) -> None:
    attack(tmp_path, lambda: make_chunked(2, 200_000, 2_000))


# Guards against answers that nobody reads and that are kept in memory without bound.
def test_requests_ahead_with_large_answers_unread(tmp_path: Path) -> None:
    attack(tmp_path, lambda: make_requests_ahead("/large/x", 2_000))


# Guards against many small answers that nobody reads, of requests that name no id.
def test_requests_ahead_with_small_answers_unread(tmp_path: Path) -> None:
    attack(tmp_path, lambda: make_requests_ahead("/unknown/x", 20_000), 60)


# Guards against a crowd whose connections are all busy, so that no other gets one: 200
# such clients kept out an ordinary request for 95 s before their connections gave way.
def test_more_busy_connections_than_a_host_takes(tmp_path: Path) -> None:
    attack(tmp_path, lambda: make_requests_ahead("/unknown/x", 20_000), 200)


# Guards against a host without a descriptor for servers, control nodes and readiness.
def test_more_connections_than_descriptors(tmp_path: Path) -> None:
    attack(tmp_path, lambda: iter([b"G"]), CONNECTION_COUNT)


# Guards against a control node that runs out of memory by what reaches its own port.
def test_large_bodies_at_a_control_node(tmp_path: Path) -> None:
    attack(
        tmp_path,
        lambda: make_large_body(5 * 1024 * 1024),
        CROWD_SIZE,
        lambda deployment: deployment.control.address,
    )


# Guards against heads that stop short of their end, up to the descriptors.
def test_heads_that_stop_short(tmp_path: Path) -> None:
    attack(tmp_path, make_short_head, CONNECTION_COUNT)


# Guards against a crowd at the port at which hosts send each other requests.
def test_large_bodies_at_the_port_for_other_hosts(tmp_path: Path) -> None:
    attack(
        tmp_path,
        make_large_body,
        CROWD_SIZE,
        lambda deployment: deployment.entry.relay,
    )


# Guards against a limit that a single request meets although it keeps to the pages: one
# of the largest legal size is served in calm, whole or in chunks.
@pytest.mark.parametrize("method", ["PUT", "POST"])
def test_the_largest_legal_request_is_served_in_calm(
    tmp_path: Path, method: str
) -> None:
    async def scenario(deployment: Deployment) -> None:
        body = bytes(MAX_BODY_BYTES)
        assert await deployment.send_request(method, "/put/x", body) == 200
        assert deployment.received_bytes[-1] == len(body)
        for node in (deployment.entry, deployment.control):
            assert_within_machine(node)

    run(Deployment(tmp_path), scenario)
