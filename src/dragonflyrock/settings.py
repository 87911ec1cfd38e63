"""Settings of a daemon, read from a TOML file and checked."""

from __future__ import annotations

import struct
import tomllib
from pathlib import Path
from typing import Any, Final

import msgspec
from zmq.utils import z85

from .addresses import is_address
from .consensus import Timing
from .control.leader import ServicePolicy
from .control.tables import LeaderTiming
from .errors import SettingsError
from .systems.placement import PlacementPolicy

__all__ = [
    "ControlSettings",
    "HostSettings",
    "ListenSettings",
    "PeerSettings",
    "ServiceSettings",
    "Settings",
    "SettingsError",
    "TimeoutSettings",
    "load_settings",
    "make_leader_timing",
    "make_service_policies",
    "make_timing",
]

CURVE_KEY_BYTES: Final = 32
ROLES: Final = ("entry", "control")
VOTER_COUNTS: Final = (1, 3, 5)
# Within this time after a host or server is lost, others must serve its keys.
MAX_FAILOVER_MS: Final = 3000
# The part of the failover time that the handover takes after the lease has expired.
HANDOVER_ALLOWANCE_MS: Final = 200
# The longest election to allow for, in multiples of election_max_ms.
ELECTION_TIMEOUT_MULTIPLE: Final = 1.5
SHA256_HEX_LENGTH: Final = 64
MAX_MACHINE_SIZE: Final = 1e9


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the settings file; an unknown key in it is an error."""


class HostSettings(_Table, frozen=True, kw_only=True):
    """The name, zone and roles of this host.

    The role control needs ``data_folder``, which holds its logs and snapshots.
    """

    name: str
    availability_zone: str
    roles: tuple[str, ...]
    data_folder: str = ""


class ListenSettings(_Table, frozen=True, kw_only=True):
    """Addresses ``ip:port`` at which this daemon listens.

    ``link`` is for other daemons, ``platform`` for backend servers, load balancers
    and monitoring. Only the role entry needs ``callers``.
    """

    link: str
    callers: str = ""
    platform: str
    operators: str


class PeerSettings(_Table, frozen=True, kw_only=True):
    """A host of the system; the list includes this host."""

    name: str
    link: str
    curve_public_key: str = ""


class ControlSettings(_Table, frozen=True, kw_only=True):
    """The control group and the ledger groups, whose first voters are the same hosts.

    Each of the ``ledger_shards`` groups stores up to ``ledger_entries`` requests for
    ``ledger_retention_s`` seconds. A group takes a snapshot after
    ``snapshot_entries`` log entries.
    """

    voters: tuple[str, ...]
    ledger_shards: int = 1
    ledger_retention_s: float = 3600.0
    ledger_entries: int = 100_000
    snapshot_entries: int = 400


class OperatorSettings(_Table, frozen=True, kw_only=True):
    """The hashes of the tokens that the operators' port accepts."""

    token_sha256: tuple[str, ...]


class ServiceSettings(_Table, frozen=True, kw_only=True):
    """A service whose keys are divided among its backend servers.

    ``ranges`` is the number of ranges at the start. ``checks_grants`` says whether its
    servers check grants; by default each server announces this itself. See
    ``PlacementPolicy`` for ``min_gain``, ``max_moves`` and ``hysteresis_s``.
    """

    name: str
    ranges: int = 64
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    checks_grants: bool | None = None
    min_gain: float = 0.1
    max_moves: int = 4
    hysteresis_s: float = 30.0


class TimeoutSettings(_Table, frozen=True, kw_only=True):
    """Timeouts of elections, leases and stops, and the intervals of renewals.

    ``grant_ms`` is the lease of the grants of a backend server, which announces
    itself every ``announce_ms``. ``drift_percent`` is the largest difference in
    speed between two clocks. The move of a range is cancelled if the entry hosts have
    not drained it within ``drain_limit_ms``. A stopping host reports for
    ``stop_notice_ms`` that it is not ready before it refuses requests, and then waits
    up to ``stop_limit_ms`` for the requests in flight.
    """

    heartbeat_ms: int = 100
    election_min_ms: int = 300
    election_max_ms: int = 600
    entry_lease_ms: int = 1500
    entry_renew_ms: int = 400
    grant_ms: int = 1500
    announce_ms: int = 400
    drift_percent: float = 2.0
    drain_limit_ms: int = 250
    stop_notice_ms: int = 500
    stop_limit_ms: int = 30_000


class LimitSettings(_Table, frozen=True, kw_only=True):
    """Limits of this daemon, which apply besides those of the contracts.

    ``body_bytes`` limits the bodies of requests, ``answer_bytes`` those of responses.
    ``longest_deadline_ms`` is the longest deadline that the leader expects a request to
    have. ``caller_threads`` is the number of requests that are handled at once, and
    ``waiting_requests`` the number of those that may wait for a server.
    """

    body_bytes: int = 16 * 1024 * 1024
    answer_bytes: int = 64 * 1024 * 1024
    longest_deadline_ms: int = 30_000
    caller_threads: int = 64
    waiting_requests: int = 10_000


class MachineSettings(_Table, frozen=True, kw_only=True):
    """The size of the machine, of which 0 says nothing.

    ``memory_mb`` is the memory and ``max_fds`` the number of descriptors of the daemon.
    With 0 the daemon finds out, and takes at most 512 MB for itself and its clients.
    """

    memory_mb: int = 0
    max_fds: int = 0


class KeySettings(_Table, frozen=True, kw_only=True):
    """The file with this host's CURVE secret key, which encrypts the links."""

    curve_secret_file: str = ""


class Settings(_Table, frozen=True, kw_only=True):
    """The contents of a settings file."""

    host: HostSettings
    listen: ListenSettings
    hosts: tuple[PeerSettings, ...]
    control: ControlSettings
    operators: OperatorSettings
    services: tuple[ServiceSettings, ...]
    timeouts: TimeoutSettings = TimeoutSettings()
    limits: LimitSettings = LimitSettings()
    machine: MachineSettings = MachineSettings()
    keys: KeySettings = KeySettings()

    @property
    def is_control(self) -> bool:
        """Return whether this daemon is a member of the control group."""
        return "control" in self.host.roles

    @property
    def is_entry(self) -> bool:
        """Return whether this daemon accepts requests of callers."""
        return "entry" in self.host.roles


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Raise ``SettingsError`` if it cannot be read or its settings are invalid.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}", step="settings") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}", step="settings") from error
    try:
        settings = msgspec.convert(data, Settings)
    except msgspec.ValidationError as error:
        detail = f"{path}: {_describe_error(error, data)}"
        raise SettingsError(detail, step="settings") from error
    for problem in _find_problems(settings):
        raise SettingsError(f"{path}: {problem}", step="settings")
    return settings


def _describe_error(error: msgspec.ValidationError, data: dict[str, Any]) -> str:
    """Return the text of an error; for an unknown key, add the allowed keys."""
    text = str(error)
    if "unknown field" not in text:
        return text
    _, _, path = text.partition(" - at `$")
    table: Any = Settings
    for name in path.strip("`.").split("."):
        fields = {field.name: field.type for field in msgspec.structs.fields(table)}
        field = name.partition("[")[0]
        if field in fields:
            table = _get_table_type(fields[field])
    allowed = ", ".join(field.name for field in msgspec.structs.fields(table))
    return f"{text}; allowed: {allowed}"


def _get_table_type(field_type: Any) -> Any:
    """Return the type of a table or of the elements of an array of tables."""
    return getattr(field_type, "__args__", (field_type,))[0]


def _find_problems(settings: Settings) -> list[str]:
    """Return what is invalid in well-typed settings, most basic first."""
    return [
        *_check_host(settings),
        *_check_addresses(settings),
        *_check_control(settings),
        *_check_operators(settings),
        *_check_services(settings),
        *_check_timeouts(settings.timeouts),
        *_check_limits(settings.limits),
        *_check_machine(settings.machine),
        *_check_keys(settings),
    ]


def _format_problem(path: str, found: object, allowed: str) -> str:
    """Return the text of a problem with the setting at ``path``."""
    return f"{path}: found {found!r}; allowed: {allowed}"


def _check_host(settings: Settings) -> list[str]:
    """Check the table ``host``."""
    host = settings.host
    problems = []
    if not host.name or any(character in host.name for character in " @/,"):
        allowed = "a name without spaces, '@', '/' and ','"
        problems.append(_format_problem("host.name", host.name, allowed))
    if not host.availability_zone:
        problems.append(_format_problem("host.availability_zone", "", "a name"))
    unknown = [role for role in host.roles if role not in ROLES]
    if unknown or not host.roles:
        problems.append(
            _format_problem("host.roles", list(host.roles), " or ".join(ROLES))
        )
    if settings.is_control and not host.data_folder:
        allowed = "a folder, since this host has the role control"
        problems.append(_format_problem("host.data_folder", "", allowed))
    return problems


def _check_addresses(settings: Settings) -> list[str]:
    """Check all addresses, and that each host, also this one, is listed once."""
    listen = settings.listen
    addresses = [
        ("listen.link", listen.link),
        ("listen.platform", listen.platform),
        ("listen.operators", listen.operators),
    ]
    if settings.is_entry:
        addresses.append(("listen.callers", listen.callers))
    addresses += [(f"hosts.{peer.name}.link", peer.link) for peer in settings.hosts]
    allowed = "an IP number and a port, as in '127.0.0.1:7000'"
    problems = [
        _format_problem(path, address, allowed)
        for path, address in addresses
        if not is_address(address)
    ]
    names = [peer.name for peer in settings.hosts]
    if settings.host.name not in names:
        problems.append(
            _format_problem("hosts", names, f"a list with {settings.host.name!r}")
        )
    if len(set(names)) != len(names):
        problems.append(_format_problem("hosts", names, "each name once"))
    return problems


def _check_control(settings: Settings) -> list[str]:
    """Check the table ``control``."""
    control = settings.control
    problems = []
    if len(control.voters) not in VOTER_COUNTS:
        allowed = "1, 3 or 5 names"
        problems.append(
            _format_problem("control.voters", list(control.voters), allowed)
        )
    names = {peer.name for peer in settings.hosts}
    unknown = [voter for voter in control.voters if voter not in names]
    if unknown or len(set(control.voters)) != len(control.voters):
        problems.append(
            _format_problem("control.voters", unknown, "names from hosts, each once")
        )
    if control.ledger_shards < 1:
        problems.append(
            _format_problem("control.ledger_shards", control.ledger_shards, ">= 1")
        )
    if control.snapshot_entries < 1:
        found = control.snapshot_entries
        problems.append(_format_problem("control.snapshot_entries", found, ">= 1"))
    if control.ledger_entries < 1:
        found = control.ledger_entries
        problems.append(_format_problem("control.ledger_entries", found, ">= 1"))
    return problems


def _check_operators(settings: Settings) -> list[str]:
    """Check that the operators' tokens are SHA-256 hashes, at least one."""
    allowed = "the 64 hexadecimal digits of a token's SHA-256"
    return [
        _format_problem("operators.token_sha256", token, allowed)
        for token in settings.operators.token_sha256 or ("",)
        if len(token) != SHA256_HEX_LENGTH or not set(token) <= set("0123456789abcdef")
    ]


def _check_services(settings: Settings) -> list[str]:
    """Check the names, range counts, methods and moves of the services."""
    problems = []
    names = [service.name for service in settings.services]
    if not names or len(set(names)) != len(names):
        problems.append(
            _format_problem("services", names, "at least one, each name once")
        )
    for service in settings.services:
        path = f"services.{service.name}"
        if not service.name or any(character in service.name for character in "/?# "):
            allowed = "a path segment"
            problems.append(_format_problem("services.name", service.name, allowed))
        if not 1 <= service.ranges <= 65_536:
            problems.append(
                _format_problem(f"{path}.ranges", service.ranges, "1 to 65536")
            )
        if "POST" in service.idempotent_methods:
            found = list(service.idempotent_methods)
            allowed = "any method but POST"
            problems.append(
                _format_problem(f"{path}.idempotent_methods", found, allowed)
            )
        if service.max_moves < 1:
            problems.append(
                _format_problem(f"{path}.max_moves", service.max_moves, ">= 1")
            )
    return problems


def _check_timeouts(timeouts: TimeoutSettings) -> list[str]:
    """Check that leases outlast elections and that a failover ends in time."""
    problems = []
    for name in timeouts.__struct_fields__:
        value = getattr(timeouts, name)
        if value <= 0:
            problems.append(_format_problem(f"timeouts.{name}", value, "more than 0"))
    if timeouts.election_min_ms <= 2 * timeouts.heartbeat_ms:
        allowed = "more than 2 * heartbeat_ms"
        found = timeouts.election_min_ms
        problems.append(_format_problem("timeouts.election_min_ms", found, allowed))
    if timeouts.election_max_ms < timeouts.election_min_ms:
        found = timeouts.election_max_ms
        problems.append(
            _format_problem("timeouts.election_max_ms", found, ">= election_min_ms")
        )
    election_ms = timeouts.election_max_ms * ELECTION_TIMEOUT_MULTIPLE
    left_ms = timeouts.entry_lease_ms - timeouts.entry_renew_ms
    if election_ms >= left_ms:
        allowed = (
            f"more than {election_ms:.0f} + entry_renew_ms, to outlast an election"
        )
        found = timeouts.entry_lease_ms
        problems.append(_format_problem("timeouts.entry_lease_ms", found, allowed))
    lease_ms = max(timeouts.entry_lease_ms, timeouts.grant_ms)
    failover_ms = (
        election_ms
        + lease_ms * (1 + timeouts.drift_percent / 100)
        + HANDOVER_ALLOWANCE_MS
    )
    if failover_ms > MAX_FAILOVER_MS:
        allowed = f"election + lease + handover of at most {MAX_FAILOVER_MS} ms"
        problems.append(_format_problem("timeouts", f"{failover_ms:.0f} ms", allowed))
    if timeouts.announce_ms * 2 > timeouts.grant_ms:
        found = timeouts.announce_ms
        problems.append(
            _format_problem("timeouts.announce_ms", found, "at most half of grant_ms")
        )
    return problems


def _check_limits(limits: LimitSettings) -> list[str]:
    """Check that all limits are positive."""
    return [
        _format_problem(f"limits.{name}", getattr(limits, name), "more than 0")
        for name in limits.__struct_fields__
        if getattr(limits, name) <= 0
    ]


def _check_machine(machine: MachineSettings) -> list[str]:
    """Check that the sizes of the machine are in range."""
    return [
        _format_problem(f"machine.{name}", getattr(machine, name), "0 or more")
        for name in machine.__struct_fields__
        if not 0 <= getattr(machine, name) < MAX_MACHINE_SIZE
    ]


def _check_keys(settings: Settings) -> list[str]:
    """Check the keys of links, which are needed unless all links are on loopback."""
    remote = [peer.name for peer in settings.hosts if not peer.link.startswith("127.")]
    problems = []
    if remote and not settings.keys.curve_secret_file:
        allowed = "a file, since not all links are on loopback"
        problems.append(_format_problem("keys.curve_secret_file", "", allowed))
    problems += [
        _format_problem(
            f"hosts.{peer.name}.curve_public_key",
            peer.curve_public_key,
            "a Z85 key of 40 characters",
        )
        for peer in settings.hosts
        if (remote or peer.curve_public_key) and not _is_key(peer.curve_public_key)
    ]
    return problems


def _is_key(text: str) -> bool:
    """Return whether a text is a Z85-encoded key of 32 bytes."""
    try:
        return len(z85.decode(text)) == CURVE_KEY_BYTES
    except (ValueError, KeyError, struct.error):
        return False


def make_timing(settings: Settings) -> Timing:
    """Return the timeouts of the consensus groups."""
    timeouts = settings.timeouts
    return Timing.from_ms(
        timeouts.heartbeat_ms,
        timeouts.election_min_ms,
        timeouts.election_max_ms,
        timeouts.drift_percent,
    )


def make_leader_timing(settings: Settings) -> LeaderTiming:
    """Return the leases and timeouts of the control leader, in seconds."""
    timeouts = settings.timeouts
    return LeaderTiming(
        entry_lease=timeouts.entry_lease_ms / 1000,
        grant=timeouts.grant_ms / 1000,
        announce=timeouts.announce_ms / 1000,
        drift=timeouts.drift_percent / 100,
        drain_limit=timeouts.drain_limit_ms / 1000,
        answer_timeout=2 * timeouts.entry_renew_ms / 1000,
        longest_deadline=settings.limits.longest_deadline_ms / 1000,
    )


def make_service_policies(settings: Settings) -> dict[str, ServicePolicy]:
    """Return how the control leader places the ranges of each service."""
    return {
        service.name: ServicePolicy(
            service.ranges,
            PlacementPolicy(
                min_gain=service.min_gain,
                max_moves=service.max_moves,
                hysteresis=service.hysteresis_s,
            ),
            service.checks_grants,
        )
        for service in settings.services
    }
