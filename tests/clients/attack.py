"""A crowd let loose on a deployment, and what must hold meanwhile and afterwards."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Final

from .crowd import Crowd
from .deployment import Deployment, Node, run

__all__ = [
    "CONNECTION_COUNT",
    "CROWD_SIZE",
    "assert_within_machine",
    "attack",
    "attack_deployment",
]

MakeStream = Callable[[], Iterator[bytes]]
# Each of these would hold twice the memory of the machine or more at its node.
CROWD_SIZE: Final = 24
# More connections than the machine has descriptors.
CONNECTION_COUNT: Final = 240


def assert_within_machine(node: Node) -> None:
    """Assert that a node lives, and was never larger than its machine."""
    assert node.is_alive, node.read_log()[-2000:]
    usage = node.read_usage()
    assert usage.peak_mb <= node.machine.memory_mb, (node.role, usage)
    assert usage.fds <= node.machine.max_fds, (node.role, usage)


def attack(
    folder: Path,
    make_stream: MakeStream,
    count: int = CROWD_SIZE,
    target: Callable[[Deployment], str] = lambda deployment: deployment.entry.address,
) -> None:
    """Let a crowd loose on a node of a new deployment."""
    attack_deployment(Deployment(folder), make_stream, count, target)


def attack_deployment(
    deployment: Deployment,
    make_stream: MakeStream,
    count: int,
    target: Callable[[Deployment], str],
    check: Callable[[Node], None] = assert_within_machine,
) -> None:
    """Let a crowd loose on a node, and check both nodes and one ordinary request."""

    async def scenario(deployment: Deployment) -> None:
        crowd = Crowd(target(deployment))
        try:
            await crowd.attack(make_stream() for _ in range(count))
            for node in (deployment.entry, deployment.control):
                check(node)
            await deployment.wait_for_answer()
            for node in (deployment.entry, deployment.control):
                check(node)
        finally:
            crowd.close()

    run(deployment, scenario)
