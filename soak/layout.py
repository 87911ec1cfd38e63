"""Names, addresses and settings files of the nodes."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any, Final, NamedTuple

from . import const

NETWORK_NUMBERS: Final = range(20, 200)


class NodeSpec(NamedTuple):
    """A node's name, role, availability zone and IP addresses.

    Others connect to ``proxy_ip``, where a proxy listens; the node listens on
    ``node_ip``.
    """

    name: str
    role: str
    zone: str
    proxy_ip: str
    node_ip: str

    @property
    def port(self) -> int:
        """Return the port for calls from outside."""
        return const.CONTROL_PORT if self.role == "control" else const.CALLERS_PORT

    @property
    def address(self) -> str:
        """Return the address for calls from outside, which is that of its proxy."""
        return f"{self.proxy_ip}:{self.port}"


class Layout(NamedTuple):
    """The addresses of a run, in the loopback network ``127.<network>.0.0/16``.

    With ``by_heartbeat`` servers hear of their keys in the answers to heartbeats. With
    ``link_mbps`` entry nodes take their links for so narrow, and some bodies are large.
    """

    network: int
    by_heartbeat: bool = False
    link_mbps: float = 0.0

    def list_role(self, role: str) -> list[NodeSpec]:
        """Return the nodes of a role."""
        count = (
            const.CONTROL_NODE_COUNT if role == "control" else const.ENTRY_NODE_COUNT
        )
        specs = []
        for number in range(1, count + 1):
            host = number + (0 if role == "control" else 10)
            zone = const.ZONES[number % len(const.ZONES)]
            proxy_ip, node_ip = (f"127.{self.network}.{net}.{host}" for net in (1, 2))
            specs.append(NodeSpec(f"{role}-{number}", role, zone, proxy_ip, node_ip))
        return specs

    def list_nodes(self) -> list[NodeSpec]:
        """Return the control nodes and then the entry nodes."""
        return self.list_role("control") + self.list_role("entry")

    def get_server_addresses(self, number: int) -> tuple[str, str]:
        """Return a server's proxy address, which it announces, and its own address."""
        port = const.SERVER_PORT
        proxy, server = (f"127.{self.network}.{net}.{number}:{port}" for net in (3, 4))
        return proxy, server


def reserve_network(
    by_heartbeat: bool = False, link_mbps: float = 0.0
) -> tuple[Layout, socket.socket]:
    """Return a free network; it stays reserved while the socket is open."""
    for network in NETWORK_NUMBERS:
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{network}.0.1", const.LINK_PORT))
            reservation.listen()
        except OSError:
            # Another run uses this network.
            reservation.close()
            continue
        return Layout(network, by_heartbeat, link_mbps), reservation
    raise RuntimeError("no free loopback network for a run")


def encode_settings(
    layout: Layout, node: NodeSpec, folder: Path, forming: bool, retry_slack: int
) -> str:
    """Return a node's settings file; a "change" step alters ``retry_slack``."""
    listen = {"link": f"{node.node_ip}:{const.LINK_PORT}"}
    identity: dict[str, object] = {"name": node.proxy_ip, "label": node.name}
    identity |= {"role": node.role, "availability_zone": node.zone, "forming": forming}
    if node.role == "control":
        identity["data_folder"] = str(folder)
        listen["control"] = f"{node.node_ip}:{node.port}"
    else:
        listen["callers"] = f"{node.node_ip}:{node.port}"
        listen["relay"] = f"{node.node_ip}:{const.RELAY_PORT}"
        listen["ready"] = f"{node.node_ip}:{const.READY_PORT}"
    bounds = {"stop_grace_s": const.GRACE_SECONDS, "retry_slack": retry_slack}
    seeds = [seed.address for seed in layout.list_role("control")]
    lines = [f"seeds = {json.dumps(seeds)}"]
    tables: dict[str, dict[str, Any]] = {"node": identity, "listen": listen}
    tables["bounds"] = bounds
    if layout.by_heartbeat:
        tables["ownership"] = {"granted_by": "heartbeat"}
    if layout.link_mbps and node.role == "entry":
        tables["machine"] = {"link_mbps": layout.link_mbps}
    for title, table in tables.items():
        lines.append(f"[{title}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
    return "\n".join(lines) + "\n"
