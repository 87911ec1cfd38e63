"""Addresses, names and settings files of the nodes."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Final, NamedTuple

from . import const

NETWORKS: Final = range(20, 200)


class Place(NamedTuple):
    """A node; ``door`` is where a proxy listens for it, ``home`` its own address."""

    name: str
    role: str
    zone: str
    door: str
    home: str

    @property
    def port(self) -> int:
        """Return the port at which it is called from outside."""
        return const.CONTROL_PORT if self.role == "control" else const.CALLERS_PORT

    @property
    def address(self) -> str:
        """Return where it is called from outside, by way of its proxy."""
        return f"{self.door}:{self.port}"


class Layout(NamedTuple):
    """The nodes of a run within one block of loopback addresses."""

    network: int

    def list_role(self, role: str) -> list[Place]:
        """Return the nodes of a role."""
        count = const.CONTROL_NODES if role == "control" else const.ENTRY_NODES
        places = []
        for number in range(1, count + 1):
            host = number + (0 if role == "control" else 10)
            zone = const.ZONES[number % len(const.ZONES)]
            door, home = (f"127.{self.network}.{net}.{host}" for net in (1, 2))
            places.append(Place(f"{role}-{number}", role, zone, door, home))
        return places

    def list_nodes(self) -> list[Place]:
        """Return the control nodes and then the entry nodes."""
        return self.list_role("control") + self.list_role("entry")

    def find_server(self, number: int) -> tuple[str, str]:
        """Return where a server is announced, and where it listens."""
        port = const.SERVER_PORT
        door, home = (f"127.{self.network}.{net}.{number}:{port}" for net in (3, 4))
        return door, home


def reserve_network() -> tuple[Layout, socket.socket]:
    """Return a free block; it stays taken while the socket is open."""
    for network in NETWORKS:
        holder = socket.socket()
        try:
            holder.bind((f"127.{network}.0.1", const.LINK_PORT))
            holder.listen()
        except OSError:
            # Another run has this block.
            holder.close()
            continue
        return Layout(network), holder
    raise RuntimeError("no free block of loopback addresses")


def encode_settings(
    layout: Layout, node: Place, folder: Path, forming: bool, slack: int
) -> str:
    """Return a node's settings file; ``slack`` is a value that a change alters."""
    listen = {"link": f"{node.home}:{const.LINK_PORT}"}
    identity: dict[str, object] = {"name": node.door, "label": node.name}
    identity |= {"role": node.role, "availability_zone": node.zone, "forming": forming}
    if node.role == "control":
        identity["data_folder"] = str(folder)
        listen["control"] = f"{node.home}:{node.port}"
    else:
        listen["callers"] = f"{node.home}:{node.port}"
        listen["ready"] = f"{node.home}:{const.READY_PORT}"
    bounds = {"retry_slack": slack}
    seeds = [seed.address for seed in layout.list_role("control")]
    lines = [f"seeds = {json.dumps(seeds)}"]
    for title, table in (("node", identity), ("listen", listen), ("bounds", bounds)):
        lines.append(f"[{title}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
    return "\n".join(lines) + "\n"
