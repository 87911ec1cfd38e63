"""Settings of a node: TOML, decoded into checked types."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from ..consensus import Timing
from ..control.directed_models import DirectedTiming
from ..control.tables import LeaderTiming
from ..router.budget import BudgetPolicy
from ..settings import SettingsError

__all__ = [
    "BoundSettings",
    "ListenAddresses",
    "NodeIdentity",
    "NodeSettings",
    "load_node_settings",
    "make_budget_policy",
    "make_consensus_timing",
    "make_directed_timing",
    "make_lease_timing",
]


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file, in which unknown keys are errors."""


class NodeIdentity(_Table, frozen=True, kw_only=True):
    """Who this node is; its name is the IP number at which peers reach it.

    ``forming`` is true only where the whole system starts for the first time.
    """

    name: str
    label: str
    role: str
    availability_zone: str
    forming: bool = False
    data_folder: str = ""


class ListenAddresses(_Table, frozen=True, kw_only=True):
    """Addresses, each ``ip:port``; the link's port is the same on all nodes."""

    link: str
    callers: str = ""
    ready: str = ""
    control: str = ""
    metrics: str = ""


class BoundSettings(_Table, frozen=True, kw_only=True):
    """Times and shares that the surroundings set; times in milliseconds."""

    hold_max_ms: int = 10_000
    stop_grace_ms: int = 6_000
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 60.0
    announce_ms: int = 1_000
    tolerated_losses: int = 1


class TimeoutSettings(_Table, frozen=True, kw_only=True):
    """Elections, leases and renewals; times in milliseconds."""

    heartbeat_ms: int = 200
    election_min_ms: int = 450
    election_max_ms: int = 800
    host_lease_ms: int = 4_000
    host_renew_ms: int = 700
    hold_ms: int = 6_000
    hold_renew_ms: int = 2_000


class NodeSettings(_Table, frozen=True, kw_only=True):
    """A whole settings file; ``seeds`` are ``ip:port`` of some control nodes."""

    node: NodeIdentity
    listen: ListenAddresses
    seeds: tuple[str, ...]
    bounds: BoundSettings = BoundSettings()
    timeouts: TimeoutSettings = TimeoutSettings()

    @property
    def seed_names(self) -> tuple[str, ...]:
        """Return the names of the seeds, in an order that all nodes share."""
        return tuple(sorted({seed.rpartition(":")[0] for seed in self.seeds}))

    @property
    def link_port(self) -> str:
        """Return the port of the links of every node."""
        return self.listen.link.rpartition(":")[2]


def load_node_settings(path: Path) -> NodeSettings:
    """Read, decode and check a settings file, or raise ``SettingsError``."""
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
    for problem in _find_problems(settings):
        raise SettingsError(f"{path}: {problem}", step="settings")
    return settings


def _find_problems(settings: NodeSettings) -> list[str]:
    """Return what is wrong in well-typed settings."""
    problems = []
    role = settings.node.role
    if role not in ("entry", "control"):
        problems.append(f"node.role: found {role!r}; allowed: entry or control")
    if not settings.seeds:
        problems.append("seeds: found none; allowed: at least one ip:port")
    for name in ("link", "callers", "ready", "control", "metrics"):
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
    if 2 * timeouts.hold_renew_ms > timeouts.hold_ms:
        problems.append("timeouts.hold_renew_ms: must be at most half of hold_ms")
    return problems


def make_consensus_timing(settings: NodeSettings) -> Timing:
    """Return the time-outs of the replicated log."""
    timeouts = settings.timeouts
    return Timing(
        timeouts.heartbeat_ms / 1000,
        timeouts.election_min_ms / 1000,
        timeouts.election_max_ms / 1000,
        tells_commits=True,
    )


def make_lease_timing(settings: NodeSettings) -> LeaderTiming:
    """Return the leases of the entry nodes."""
    timeouts = settings.timeouts
    return LeaderTiming(
        entry_lease=timeouts.host_lease_ms / 1000,
        answer_limit=3 * timeouts.host_renew_ms / 1000,
        longest_deadline=timeouts.host_lease_ms / 1000,
    )


def make_directed_timing(settings: NodeSettings) -> DirectedTiming:
    """Return the holds and waits of servers that are granted ranges by orders."""
    timeouts = settings.timeouts
    return DirectedTiming(
        hold=timeouts.hold_ms / 1000,
        renew=timeouts.hold_renew_ms / 1000,
        silence=3.2 * settings.bounds.announce_ms / 1000,
    )


def make_budget_policy(settings: NodeSettings) -> BudgetPolicy:
    """Return the budget of repeated sends."""
    bounds = settings.bounds
    return BudgetPolicy(bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack)
