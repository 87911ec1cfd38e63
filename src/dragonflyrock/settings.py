"""Settings of a daemon: TOML, decoded into checked types."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, Final

import msgspec

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

ROLES: Final = ("entry", "control")
VOTER_COUNTS: Final = (1, 3, 5)
SERVE_AGAIN_MS: Final = 3000
HANDOVER_MS: Final = 200
ELECTION_ROUNDS: Final = 1.5
SHA256_HEX_LENGTH: Final = 64


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file, in which unknown keys are errors."""


class HostSettings(_Table, frozen=True, kw_only=True):
    """Who this daemon is and where its state lives."""

    name: str
    availability_zone: str
    roles: tuple[str, ...]
    data_folder: str = ""


class ListenSettings(_Table, frozen=True, kw_only=True):
    """Addresses, each ``ip:port``, that this daemon listens at."""

    link: str
    callers: str = ""
    platform: str
    operators: str


class PeerSettings(_Table, frozen=True, kw_only=True):
    """A host of the system, this one included."""

    name: str
    link: str
    curve_public_key: str = ""


class ControlSettings(_Table, frozen=True, kw_only=True):
    """The control group and the request ledger on the same hosts."""

    voters: tuple[str, ...]
    ledger_shards: int = 1
    ledger_retention_s: float = 3600.0
    ledger_entries: int = 100_000
    snapshot_entries: int = 400


class OperatorSettings(_Table, frozen=True, kw_only=True):
    """The operators who may call the operators' port."""

    token_sha256: tuple[str, ...]


class ServiceSettings(_Table, frozen=True, kw_only=True):
    """A service of backend servers that is divided by key.

    ``checks_grants`` overrides what its servers say of themselves.
    """

    name: str
    ranges: int = 64
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    checks_grants: bool | None = None
    min_gain: float = 0.1
    max_moves: int = 4
    hysteresis_s: float = 30.0


class TimeoutSettings(_Table, frozen=True, kw_only=True):
    """Leases, heartbeats and waits."""

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
    """Bounds of this daemon, whatever a contract allows."""

    body_bytes: int = 16 * 1024 * 1024
    answer_bytes: int = 64 * 1024 * 1024
    longest_deadline_ms: int = 30_000
    caller_threads: int = 64
    waiting_requests: int = 10_000


class KeySettings(_Table, frozen=True, kw_only=True):
    """The file with this host's CURVE secret key."""

    curve_secret_file: str = ""


class Settings(_Table, frozen=True, kw_only=True):
    """A whole settings file."""

    host: HostSettings
    listen: ListenSettings
    hosts: tuple[PeerSettings, ...]
    control: ControlSettings
    operators: OperatorSettings
    services: tuple[ServiceSettings, ...]
    timeouts: TimeoutSettings = TimeoutSettings()
    limits: LimitSettings = LimitSettings()
    keys: KeySettings = KeySettings()

    @property
    def is_control(self) -> bool:
        """Return whether this daemon is a member of the control group."""
        return "control" in self.host.roles

    @property
    def is_entry(self) -> bool:
        """Return whether this daemon takes callers' requests."""
        return "entry" in self.host.roles


def load_settings(path: Path) -> Settings:
    """Read, decode and check a settings file, or raise ``SettingsError``."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}", step="settings") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}", step="settings") from error
    try:
        settings = msgspec.convert(data, Settings)
    except msgspec.ValidationError as error:
        detail = f"{path}: {_explain(error, data)}"
        raise SettingsError(detail, step="settings") from error
    for problem in _find_problems(settings):
        raise SettingsError(f"{path}: {problem}", step="settings")
    return settings


def _explain(error: msgspec.ValidationError, data: dict[str, Any]) -> str:
    """Add the allowed keys to an error about an unknown one."""
    text = str(error)
    if "unknown field" not in text:
        return text
    _, _, place = text.partition(" - at `$")
    table: Any = Settings
    for name in place.strip("`.").split("."):
        fields = {field.name: field.type for field in msgspec.structs.fields(table)}
        field = name.partition("[")[0]
        if field in fields:
            table = _element_type(fields[field])
    allowed = ", ".join(field.name for field in msgspec.structs.fields(table))
    return f"{text}; allowed: {allowed}"


def _element_type(kind: Any) -> Any:
    """Return the table type of a field, which may be an array of tables."""
    return getattr(kind, "__args__", (kind,))[0]


def _find_problems(settings: Settings) -> list[str]:
    """Return what is wrong in well-typed settings, most basic first."""
    return [
        *_check_host(settings),
        *_check_addresses(settings),
        *_check_control(settings),
        *_check_operators(settings),
        *_check_services(settings),
        *_check_timeouts(settings.timeouts),
        *_check_limits(settings.limits),
        *_check_keys(settings),
    ]


def _found(path: str, found: object, allowed: str) -> str:
    """Return the text of one problem."""
    return f"{path}: found {found!r}; allowed: {allowed}"


def _check_host(settings: Settings) -> list[str]:
    """Check the table ``host``."""
    host = settings.host
    problems = []
    if not host.name or any(sign in host.name for sign in " @/,"):
        allowed = "a name without spaces, '@', '/' and ','"
        problems.append(_found("host.name", host.name, allowed))
    if not host.availability_zone:
        problems.append(_found("host.availability_zone", "", "a name"))
    wrong = [role for role in host.roles if role not in ROLES]
    if wrong or not host.roles:
        problems.append(_found("host.roles", list(host.roles), " or ".join(ROLES)))
    if settings.is_control and not host.data_folder:
        allowed = "a folder, since this host has the role control"
        problems.append(_found("host.data_folder", "", allowed))
    return problems


def _check_addresses(settings: Settings) -> list[str]:
    """Check every address, and that this host is in the list of hosts."""
    listen = settings.listen
    named = [
        ("listen.link", listen.link),
        ("listen.platform", listen.platform),
        ("listen.operators", listen.operators),
    ]
    if settings.is_entry:
        named.append(("listen.callers", listen.callers))
    named += [(f"hosts.{peer.name}.link", peer.link) for peer in settings.hosts]
    allowed = "an IP number and a port, as in '127.0.0.1:7000'"
    problems = [
        _found(path, address, allowed)
        for path, address in named
        if not _is_address(address)
    ]
    names = [peer.name for peer in settings.hosts]
    if settings.host.name not in names:
        problems.append(_found("hosts", names, f"a list with {settings.host.name!r}"))
    if len(set(names)) != len(names):
        problems.append(_found("hosts", names, "each name once"))
    return problems


def _is_address(address: str) -> bool:
    """Return whether a text is ``ip:port``."""
    ip, _, port = address.rpartition(":")
    octets = ip.split(".")
    if len(octets) != 4 or not port.isdecimal() or not 0 < int(port) < 65536:
        return False
    return all(octet.isdecimal() and int(octet) < 256 for octet in octets)


def _check_control(settings: Settings) -> list[str]:
    """Check the table ``control``."""
    control = settings.control
    problems = []
    if len(control.voters) not in VOTER_COUNTS:
        counts = "1, 3 or 5 names"
        problems.append(_found("control.voters", list(control.voters), counts))
    names = {peer.name for peer in settings.hosts}
    strange = [voter for voter in control.voters if voter not in names]
    if strange or len(set(control.voters)) != len(control.voters):
        problems.append(_found("control.voters", strange, "names from hosts, once"))
    if control.ledger_shards < 1:
        problems.append(_found("control.ledger_shards", control.ledger_shards, ">= 1"))
    if control.snapshot_entries < 1:
        found = control.snapshot_entries
        problems.append(_found("control.snapshot_entries", found, ">= 1"))
    if control.ledger_entries < 1:
        found = control.ledger_entries
        problems.append(_found("control.ledger_entries", found, ">= 1"))
    return problems


def _check_operators(settings: Settings) -> list[str]:
    """Check that operators' tokens are given as hashes."""
    allowed = "the 64 hexadecimal digits of a token's SHA-256"
    return [
        _found("operators.token_sha256", token, allowed)
        for token in settings.operators.token_sha256 or ("",)
        if len(token) != SHA256_HEX_LENGTH or not set(token) <= set("0123456789abcdef")
    ]


def _check_services(settings: Settings) -> list[str]:
    """Check the services."""
    problems = []
    names = [service.name for service in settings.services]
    if not names or len(set(names)) != len(names):
        problems.append(_found("services", names, "at least one, each name once"))
    for service in settings.services:
        path = f"services.{service.name}"
        if not service.name or any(sign in service.name for sign in "/?# "):
            allowed = "a path segment"
            problems.append(_found("services.name", service.name, allowed))
        if not 1 <= service.ranges <= 65_536:
            problems.append(_found(f"{path}.ranges", service.ranges, "1 to 65536"))
        if "POST" in service.idempotent_methods:
            found = list(service.idempotent_methods)
            allowed = "any method but POST"
            problems.append(_found(f"{path}.idempotent_methods", found, allowed))
        if service.max_moves < 1:
            problems.append(_found(f"{path}.max_moves", service.max_moves, ">= 1"))
    return problems


def _check_timeouts(timeouts: TimeoutSettings) -> list[str]:
    """Check that leases outlast elections and a key is served again in time."""
    problems = []
    for name in timeouts.__struct_fields__:
        value = getattr(timeouts, name)
        if value <= 0:
            problems.append(_found(f"timeouts.{name}", value, "more than 0"))
    if timeouts.election_min_ms <= 2 * timeouts.heartbeat_ms:
        allowed = "more than 2 * heartbeat_ms"
        found = timeouts.election_min_ms
        problems.append(_found("timeouts.election_min_ms", found, allowed))
    if timeouts.election_max_ms < timeouts.election_min_ms:
        found = timeouts.election_max_ms
        problems.append(_found("timeouts.election_max_ms", found, ">= election_min_ms"))
    election = timeouts.election_max_ms * ELECTION_ROUNDS
    left = timeouts.entry_lease_ms - timeouts.entry_renew_ms
    if election >= left:
        allowed = f"more than {election:.0f} + entry_renew_ms, to outlast an election"
        found = timeouts.entry_lease_ms
        problems.append(_found("timeouts.entry_lease_ms", found, allowed))
    lease = max(timeouts.entry_lease_ms, timeouts.grant_ms)
    total = election + lease * (1 + timeouts.drift_percent / 100) + HANDOVER_MS
    if total > SERVE_AGAIN_MS:
        allowed = f"election + lease + handover of at most {SERVE_AGAIN_MS} ms"
        problems.append(_found("timeouts", f"{total:.0f} ms", allowed))
    if timeouts.announce_ms * 2 > timeouts.grant_ms:
        found = timeouts.announce_ms
        problems.append(_found("timeouts.announce_ms", found, "half of grant_ms"))
    return problems


def _check_limits(limits: LimitSettings) -> list[str]:
    """Check that all limits are positive."""
    return [
        _found(f"limits.{name}", getattr(limits, name), "more than 0")
        for name in limits.__struct_fields__
        if getattr(limits, name) <= 0
    ]


def _check_keys(settings: Settings) -> list[str]:
    """Check that links beyond this machine are encrypted."""
    remote = [p.name for p in settings.hosts if not p.link.startswith("127.")]
    if not remote:
        return []
    problems = []
    if not settings.keys.curve_secret_file:
        allowed = "a file, since not all links are on loopback"
        problems.append(_found("keys.curve_secret_file", "", allowed))
    problems += [
        _found(f"hosts.{peer.name}.curve_public_key", "", "a Z85 key of 40 signs")
        for peer in settings.hosts
        if len(peer.curve_public_key) != 40
    ]
    return problems


def make_timing(settings: Settings) -> Timing:
    """Return the time-outs of the replicated groups."""
    timeouts = settings.timeouts
    return Timing.from_ms(
        timeouts.heartbeat_ms,
        timeouts.election_min_ms,
        timeouts.election_max_ms,
        timeouts.drift_percent,
    )


def make_leader_timing(settings: Settings) -> LeaderTiming:
    """Return the leases and waits of the control leader."""
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
    """Return the placement of each service."""
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
