"""Plans of fleets: the two example systems and a single host."""

from __future__ import annotations

from typing import Final, NamedTuple

__all__ = [
    "LAHORE",
    "SINGLE",
    "STOCKHOLM",
    "FleetPlan",
    "ServicePlan",
    "format_settings",
]

HOST_COUNT: Final = 11
VOTER_COUNT: Final = 5
LINK_PORT_OFFSET: Final = 0
CALLERS_PORT_OFFSET: Final = 100
PLATFORM_PORT_OFFSET: Final = 200
OPERATORS_PORT_OFFSET: Final = 300


class ServicePlan(NamedTuple):
    """A service, the number of its backend servers, and its settings.

    With ``by_heartbeat`` its servers hear of their grants only in the answers to their
    announcements. With ``loses_answers`` some of these are lost or overtaken.
    """

    name: str
    servers: int
    ranges: int = 64
    checks_grants: bool = True
    min_gain: float = 0.1
    max_moves: int = 4
    by_heartbeat: bool = False
    loses_answers: bool = False


class FleetPlan(NamedTuple):
    """A whole system on loopback, with ports from ``first_port``.

    Host ``i`` uses port ``first_port`` + offset + ``i`` for each kind of port.
    ``slots`` and ``service_ms`` apply to every backend server. ``extra_settings``
    is TOML that is appended to every host's settings.
    """

    name: str
    zones: tuple[str, ...]
    hosts: int
    voters: int
    slots: int
    services: tuple[ServicePlan, ...]
    first_port: int = 7100
    service_ms: float = 2.0
    extra_settings: str = ""

    def host_name(self, number: int) -> str:
        """Return the name of a host, counted from 0.

        >>> LAHORE.host_name(4)
        'johar-2'
        """
        zone = self.zones[number % len(self.zones)]
        return f"{zone}-{number // len(self.zones) + 1}"

    def address(self, number: int, offset: int) -> str:
        """Return a host's address for one kind of port, given by its offset."""
        return f"127.0.0.1:{self.first_port + offset + number}"


LAHORE: Final = FleetPlan(
    "lahore",
    ("gulberg", "johar", "model-town"),
    HOST_COUNT,
    VOTER_COUNT,
    2,
    (
        ServicePlan("finder", 14),
        ServicePlan("engage", 7),
        ServicePlan("dossier", 12),
    ),
)
# In this system a move costs more than uneven load, so a move must gain more.
STOCKHOLM: Final = FleetPlan(
    "stockholm",
    ("pier-f", "pier-g", "terminal-5"),
    HOST_COUNT,
    VOTER_COUNT,
    3,
    (
        ServicePlan("standview", 14, min_gain=0.2, max_moves=2),
        ServicePlan("standbook", 6, min_gain=0.2, max_moves=2),
        ServicePlan("seasonload", 13, min_gain=0.2, max_moves=2),
    ),
)
SINGLE: Final = FleetPlan(
    "single",
    ("local",),
    1,
    1,
    2,
    (ServicePlan("finder", 3, ranges=16),),
)


def format_settings(
    plan: FleetPlan, number: int, folder: str, token_sha256: str
) -> str:
    """Return the settings of one host as TOML."""
    names = [plan.host_name(i) for i in range(plan.hosts)]
    voters = names[: plan.voters]
    name = names[number]
    roles = ["entry", "control"] if number < plan.voters else ["entry"]
    lines = [
        "[host]",
        f'name = "{name}"',
        f'availability_zone = "{plan.zones[number % len(plan.zones)]}"',
        f"roles = {_format_array(roles)}",
        f'data_folder = "{folder}/{name}"' if number < plan.voters else "",
        "",
        "[listen]",
        f'link = "{plan.address(number, LINK_PORT_OFFSET)}"',
        f'callers = "{plan.address(number, CALLERS_PORT_OFFSET)}"',
        f'platform = "{plan.address(number, PLATFORM_PORT_OFFSET)}"',
        f'operators = "{plan.address(number, OPERATORS_PORT_OFFSET)}"',
        "",
        "[control]",
        f"voters = {_format_array(voters)}",
        "",
        "[operators]",
        f'token_sha256 = ["{token_sha256}"]',
        "",
    ]
    for peer, peer_name in enumerate(names):
        lines += [
            "[[hosts]]",
            f'name = "{peer_name}"',
            f'link = "{plan.address(peer, LINK_PORT_OFFSET)}"',
            "",
        ]
    for service in plan.services:
        lines += [
            "[[services]]",
            f'name = "{service.name}"',
            f"ranges = {service.ranges}",
            f"min_gain = {service.min_gain}",
            f"max_moves = {service.max_moves}",
            "",
        ]
    lines.append(plan.extra_settings)
    text = "\n".join(lines)
    while "\n\n\n" in text:
        text = text.replace("\n\n\n", "\n\n")
    return text.rstrip() + "\n"


def _format_array(names: list[str]) -> str:
    """Return a TOML array of strings."""
    return "[" + ", ".join(f'"{name}"' for name in names) + "]"
