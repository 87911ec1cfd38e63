"""Addresses, names and settings files of the nodes."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Final, NamedTuple

from .const import (
    CALLERS_PORT,
    CONTROL_NODES,
    CONTROL_PORT,
    ENTRY_NODES,
    GRACE_SECONDS,
    LINK_PORT,
    READY_PORT,
    ZONES,
)

__all__ = ["Layout", "NodePlace", "reserve_network"]

FIRST_NETWORK: Final = 20
LAST_NETWORK: Final = 200


class NodePlace(NamedTuple):
    """A node; ``door`` is where a proxy listens for it, ``home`` its own address."""

    name: str
    role: str
    zone: str
    door: str
    home: str


class Layout(NamedTuple):
    """The nodes of a run within one block of loopback addresses."""

    network: int

    @property
    def nodes(self) -> tuple[NodePlace, ...]:
        """Return the control nodes and then the entry nodes."""
        places = []
        for role, count in (("control", CONTROL_NODES), ("entry", ENTRY_NODES)):
            for number in range(1, count + 1):
                host = number + (0 if role == "control" else 10)
                places.append(
                    NodePlace(
                        f"{role}-{number}",
                        role,
                        ZONES[(number - 1) % len(ZONES)],
                        f"127.{self.network}.1.{host}",
                        f"127.{self.network}.2.{host}",
                    )
                )
        return tuple(places)

    def list_role(self, role: str) -> tuple[NodePlace, ...]:
        """Return the nodes of a role."""
        return tuple(node for node in self.nodes if node.role == role)

    def server_door(self, number: int) -> str:
        """Return the IP at which a server is announced."""
        return f"127.{self.network}.3.{number}"

    def server_home(self, number: int) -> str:
        """Return the IP at which a server listens."""
        return f"127.{self.network}.4.{number}"


def reserve_network() -> tuple[Layout, socket.socket]:
    """Return a free block; it stays taken while the socket is open."""
    for network in range(FIRST_NETWORK, LAST_NETWORK):
        holder = socket.socket()
        try:
            holder.bind((f"127.{network}.0.1", LINK_PORT))
            holder.listen()
        except OSError:
            # Another run has this block.
            holder.close()
            continue
        return Layout(network), holder
    raise RuntimeError("no free block of loopback addresses")


def write_settings(
    path: Path, layout: Layout, node: NodePlace, folder: Path, forming: bool, slack: int
) -> None:
    """Write a node's settings file; ``slack`` is a value that a change may alter."""
    seeds = ", ".join(
        f'"{seed.door}:{CONTROL_PORT}"' for seed in layout.list_role("control")
    )
    lines = [
        f"seeds = [{seeds}]",
        "[node]",
        f'name = "{node.door}"',
        f'label = "{node.name}"',
        f'role = "{node.role}"',
        f'availability_zone = "{node.zone}"',
        f"forming = {'true' if forming else 'false'}",
    ]
    if node.role == "control":
        lines.append(f'data_folder = "{folder}"')
    lines += ["[listen]", f'link = "{node.home}:{LINK_PORT}"']
    if node.role == "control":
        lines.append(f'control = "{node.home}:{CONTROL_PORT}"')
    else:
        lines.append(f'callers = "{node.home}:{CALLERS_PORT}"')
        lines.append(f'ready = "{node.home}:{READY_PORT}"')
    lines += [
        "[bounds]",
        f"stop_grace_ms = {int(GRACE_SECONDS * 1000)}",
        f"retry_slack = {slack}.0",
        "",
    ]
    path.write_text("\n".join(lines), encoding="utf-8")
