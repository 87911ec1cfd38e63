"""Settings of a node, read from a TOML file and validated."""

from __future__ import annotations

import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import msgspec

from ..errors import SettingsError
from ..models import GrantedBy

__all__ = [
    "BoundSettings",
    "ListenAddresses",
    "MachineSettings",
    "NodeIdentity",
    "NodeSettings",
    "load_node_settings",
    "read_node_settings",
]


MAX_MACHINE_SIZE: Final = 1e9
READ_RETRIES: Final = 3
READ_RETRY_SECONDS: Final = 0.1


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the settings file; an unknown key is an error."""


class NodeIdentity(_Table, frozen=True, kw_only=True):
    """Identity of a node; its name is the IP address at which peers reach it.

    ``forming`` is true only when the whole system starts for the first time.
    """

    name: str
    label: str
    role: str
    availability_zone: str
    forming: bool = False
    data_folder: str = ""


class ListenAddresses(_Table, frozen=True, kw_only=True):
    """Listen addresses, each ``ip:port``; all nodes have the same link and relay port.

    Entry nodes send each other requests at ``relay``; without it they relay none.
    """

    link: str
    callers: str = ""
    ready: str = ""
    control: str = ""
    metrics: str = ""
    relay: str = ""


class BoundSettings(_Table, frozen=True, kw_only=True):
    """Bounds that the platform requires, in milliseconds or seconds by their suffix.

    ``hold_max_ms`` is the longest hold that a server may be granted, ``stop_grace_s``
    the time from a stop signal to the end of the process, and ``announce_ms`` the
    interval of servers' heartbeats. ``lost_machines`` is how many control nodes may be
    lost at once. The ``retry_`` fields are the retry budget. ``evacuation_ms`` is the
    time after which no request may reach a server of an evacuated zone.
    """

    hold_max_ms: int = 10_000
    stop_grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 60.0
    announce_ms: int = 1_000
    lost_machines: int = 1
    evacuation_ms: int = 5_000


class TimeoutSettings(_Table, frozen=True, kw_only=True):
    """Times of elections, leases, holds and their renewals, in milliseconds."""

    heartbeat_ms: int = 200
    election_min_ms: int = 450
    election_max_ms: int = 800
    host_lease_ms: int = 4_000
    host_renew_ms: int = 700
    hold_ms: int = 4_500
    hold_renew_ms: int = 1_500


class OwnershipSettings(_Table, frozen=True, kw_only=True):
    """How servers are told which keys they hold: by "call" or by "heartbeat"."""

    granted_by: str = "call"


class MachineSettings(_Table, frozen=True, kw_only=True):
    """The size of the node's machine.

    ``memory_mb`` is the memory and ``max_fds`` the number of descriptors of a process;
    with 0, the node finds out, and takes at most 512 MB. ``link_mbps`` is the rate of
    the machine's link, in each direction; 0 stands for one that is never short of it.
    """

    memory_mb: int = 0
    max_fds: int = 0
    link_mbps: float = 0.0


class NodeSettings(_Table, frozen=True, kw_only=True):
    """A settings file; ``seeds`` are the ``ip:port`` of some control nodes.

    ``availability_zones`` are zones that operators may evacuate, besides those of the
    nodes and servers.
    """

    node: NodeIdentity
    listen: ListenAddresses
    seeds: tuple[str, ...]
    availability_zones: tuple[str, ...] = ()
    bounds: BoundSettings = BoundSettings()
    timeouts: TimeoutSettings = TimeoutSettings()
    ownership: OwnershipSettings = OwnershipSettings()
    machine: MachineSettings = MachineSettings()

    @property
    def seed_names(self) -> tuple[str, ...]:
        """Return the node names of the seeds, in the same order on all nodes."""
        return tuple(sorted({seed.rpartition(":")[0] for seed in self.seeds}))

    @property
    def link_port(self) -> str:
        """Return the link port, which is the same on all nodes."""
        return self.listen.link.rpartition(":")[2]

    @property
    def relay_port(self) -> int:
        """Return the relay port, which is the same on all entry nodes; 0 for none."""
        return int(self.listen.relay.rpartition(":")[2] or 0)


def load_node_settings(path: Path) -> NodeSettings:
    """Read and validate a settings file, or raise ``SettingsError``."""
    try:
        data: dict[str, Any] = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}", step="settings") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}", step="settings") from error
    try:
        settings = msgspec.convert(data, NodeSettings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}", step="settings") from error
    problems = _find_problems(settings)
    if problems:
        raise SettingsError(f"{path}: {'; '.join(problems)}", step="settings")
    return settings


def read_node_settings(
    path: Path, wait: Callable[[float], None] = time.sleep
) -> NodeSettings:
    """Read the settings at a start, again if the file is invalid.

    It may be written while the node starts. Raise ``SettingsError`` if it stays
    invalid. ``wait`` waits for some seconds.
    """
    for _ in range(READ_RETRIES):
        try:
            return load_node_settings(path)
        except SettingsError:
            wait(READ_RETRY_SECONDS)
    return load_node_settings(path)


def _find_problems(settings: NodeSettings) -> list[str]:
    """Return the errors in settings whose types are valid."""
    problems = []
    role = settings.node.role
    if role not in ("entry", "control"):
        problems.append(f"node.role: found {role!r}; allowed: entry or control")
    granted_by = settings.ownership.granted_by
    if granted_by not in tuple(GrantedBy):
        problems.append(
            f"ownership.granted_by: found {granted_by!r}; allowed: call or heartbeat"
        )
    if not settings.seeds:
        problems.append("seeds: found none; allowed: at least one ip:port")
    for name in ("link", "callers", "ready", "control", "metrics", "relay"):
        address = getattr(settings.listen, name)
        if address and not address.rpartition(":")[2].isdecimal():
            problems.append(f"listen.{name}: found {address!r}; allowed: ip:port")
    if role == "entry" and not settings.listen.callers:
        problems.append("listen.callers: found none; an entry node needs it")
    if role == "control" and not settings.listen.control:
        problems.append("listen.control: found none; a control node needs it")
    if role == "control" and not settings.node.data_folder:
        problems.append("node.data_folder: found none; a control node needs it")
    timeouts = settings.timeouts
    if timeouts.election_min_ms <= 2 * timeouts.heartbeat_ms:
        problems.append("timeouts.election_min_ms: must exceed 2 * heartbeat_ms")
    if timeouts.hold_ms > settings.bounds.hold_max_ms:
        problems.append("timeouts.hold_ms: must not exceed bounds.hold_max_ms")
    if settings.bounds.lost_machines < 0:
        problems.append("bounds.lost_machines: must not be below 0")
    if settings.bounds.evacuation_ms <= 0:
        problems.append("bounds.evacuation_ms: must be above 0")
    if settings.bounds.stop_grace_s <= 0:
        problems.append("bounds.stop_grace_s: must be above 0")
    machine = settings.machine
    for name, value in (
        ("memory_mb", machine.memory_mb),
        ("max_fds", machine.max_fds),
        ("link_mbps", machine.link_mbps),
    ):
        if not 0 <= value < MAX_MACHINE_SIZE:
            problems.append(f"machine.{name}: found {value!r}; allowed: 0 or more")
    if 2 * timeouts.hold_renew_ms > timeouts.hold_ms:
        problems.append("timeouts.hold_renew_ms: must be at most half of hold_ms")
    return problems
