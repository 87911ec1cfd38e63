"""Conversion between the platform's configuration and the route document.

Each route, service and set of limits keeps its JSON source, so that fields unknown to
this version are returned as they were put.
"""

from __future__ import annotations

import hashlib
from typing import Any, Final

import msgspec

from ..models import ServiceWarmup
from ..routes import (
    ClientLimits,
    Route,
    RouteChange,
    RouteDocument,
    RoutedService,
    RouteKind,
    ServiceShare,
)
from ..tables import MAX_COLD_SECONDS
from .fields import Count, Integer, Milliseconds, Path, Seconds, Weight

__all__ = [
    "UnreadableError",
    "decode_change",
    "decode_document",
    "decode_version",
    "digest_change",
    "encode_document",
    "read_warmup",
]

DEFAULT_LIMITS: Final = ClientLimits()
# Requests of any other kind, "unsafe" and "upload" among them, run at most once.
IDEMPOTENT_KINDS: Final = frozenset(("safe", "download"))
# A rate of cold servers above this one limits nothing.
MAX_WARMUP_PER_SECOND: Final = 100_000.0
# Hosts read no longer version in each other's requests.
MAX_VERSION_DIGITS: Final = 18
MAX_LOGGED_LENGTH: Final = 60


class UnreadableError(Exception):
    """Raised for a body or version that cannot be decoded; the text names the field."""


class _Listener(msgspec.Struct):
    """A host name with its routes ("rules")."""

    host: str
    rules: list[msgspec.Raw]


class _Config(msgspec.Struct):
    """A whole configuration; a "cluster" is a service of backend servers."""

    version: str
    listeners: list[_Listener]
    clusters: list[msgspec.Raw]
    limits: msgspec.Raw = msgspec.Raw(b"")


class _Upsert(msgspec.Struct):
    """Routes, services and limits to add or replace."""

    listeners: list[_Listener] = []
    clusters: list[msgspec.Raw] = []
    limits: msgspec.Raw = msgspec.Raw(b"")


class _Remove(msgspec.Struct, forbid_unknown_fields=True):
    """Names of routes and services to remove."""

    routes: list[str] = []
    rules: list[str] = []
    clusters: list[str] = []
    services: list[str] = []


class _Patch(msgspec.Struct):
    """A change of some routes, services or limits."""

    version: str
    upsert: _Upsert = msgspec.field(default_factory=_Upsert)
    remove: _Remove = msgspec.field(default_factory=_Remove)


class _Match(msgspec.Struct):
    """The condition of a route besides its host name."""

    path_prefix: str = msgspec.field(name="pathPrefix")


class _Share(msgspec.Struct):
    """A service and its weight in a traffic split."""

    service: str
    weight: Weight


class _Action(msgspec.Struct):
    """The target of a route: one service, or a split between several."""

    timeout_ms: Milliseconds = msgspec.field(name="timeoutMs")
    max_attempts: Count = msgspec.field(name="maxAttempts", default=1)
    service: str = ""
    split: list[_Share] = msgspec.field(name="trafficSplit", default_factory=list)


class _Rule(msgspec.Struct):
    """A route; its "kind" says whether requests may run more than once."""

    name: str
    kind: str
    match: _Match
    action: _Action
    target_ms: Milliseconds | None = msgspec.field(name="targetLatencyMs", default=None)
    priority: Integer = 0


class _Cluster(msgspec.Struct):
    """A service; the keys of a "sharded" one are divided among its servers."""

    name: str
    health_path: Path = msgspec.field(name="healthCheckPath", default="/health")
    max_connections: Count = msgspec.field(name="maxConnections", default=0)
    sharded: bool = False
    warm_s: Seconds = msgspec.field(name="warmS", default=0.0)


class _Warmup(msgspec.Struct):
    """What cold servers of a service stand, beside what ``_Cluster`` has."""

    seconds: float = msgspec.field(name="warmupS", default=0.0)
    per_second: float = msgspec.field(name="warmupPerS", default=0.0)


class _Limits(msgspec.Struct):
    """Limits of callers."""

    header_bytes: Count = msgspec.field(
        name="maxHeaderBytes", default=DEFAULT_LIMITS.header_bytes
    )
    body_bytes: Count = msgspec.field(
        name="maxBodyBytes", default=DEFAULT_LIMITS.body_bytes
    )
    header_timeout_ms: Milliseconds = msgspec.field(
        name="headerTimeoutMs", default=DEFAULT_LIMITS.header_timeout_ms
    )
    idle_timeout_ms: Milliseconds = msgspec.field(
        name="idleTimeoutMs", default=DEFAULT_LIMITS.idle_timeout_ms
    )


_CONFIG: Final = msgspec.json.Decoder(_Config)
_PATCH: Final = msgspec.json.Decoder(_Patch)
_RULE: Final = msgspec.json.Decoder(_Rule)
_CLUSTER: Final = msgspec.json.Decoder(_Cluster)
_LIMITS: Final = msgspec.json.Decoder(_Limits)
_WARMUP: Final = msgspec.json.Decoder(_Warmup)


def decode_version(text: str) -> int:
    """Return the number of a version such as ``r12``, or raise ``UnreadableError``.

    >>> decode_version("r12"), decode_version("0")
    (12, 0)
    """
    digits = text[1:] if text.startswith("r") else text
    if not digits.isascii() or not digits.isdecimal():
        shown = text[:MAX_LOGGED_LENGTH]
        raise UnreadableError(f"version {shown!r}: expected r and a number")
    if len(digits) > MAX_VERSION_DIGITS:
        shown = text[:MAX_LOGGED_LENGTH]
        detail = f"more than {MAX_VERSION_DIGITS} digits"
        raise UnreadableError(f"version {shown!r}: {detail}")
    return int(digits)


def decode_document(body: bytes) -> RouteDocument:
    """Decode a whole configuration, or raise ``UnreadableError``."""
    config = _decode(_CONFIG, body)
    return RouteDocument(
        decode_version(config.version),
        _read_routes(config.listeners),
        tuple(_read_service(source) for source in config.clusters),
        _read_limits(config.limits) or DEFAULT_LIMITS,
    )


def decode_change(body: bytes) -> RouteChange:
    """Decode a change of a configuration, or raise ``UnreadableError``."""
    patch = _decode(_PATCH, body)
    return RouteChange(
        decode_version(patch.version),
        _read_routes(patch.upsert.listeners),
        tuple(_read_service(source) for source in patch.upsert.clusters),
        (*patch.remove.routes, *patch.remove.rules),
        (*patch.remove.clusters, *patch.remove.services),
        _read_limits(patch.upsert.limits),
    )


def digest_change(target: bytes, base: int, body: bytes) -> str:
    """Return a digest by which a repeated call is recognized."""
    return hashlib.sha256(b"%s %d %s" % (target, base, body)).hexdigest()[:32]


def encode_document(document: RouteDocument) -> bytes:
    """Encode a route document in the platform's format."""
    hosts: dict[str, list[msgspec.Raw]] = {}
    for route in document.routes:
        hosts.setdefault(route.host, []).append(msgspec.Raw(route.source))
    fields: dict[str, Any] = {"version": f"r{document.version}"}
    if document.limits.source:
        fields["limits"] = msgspec.Raw(document.limits.source)
    fields["listeners"] = [
        {"host": host, "rules": rules} for host, rules in hosts.items()
    ]
    fields["clusters"] = [msgspec.Raw(service.source) for service in document.services]
    return msgspec.json.encode(fields)


def _decode(decoder: msgspec.json.Decoder[Any], data: bytes | msgspec.Raw) -> Any:
    """Decode, or raise ``UnreadableError``."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableError(str(error)) from error


def _read_routes(listeners: list[_Listener]) -> tuple[Route, ...]:
    """Return the routes of all listeners."""
    return tuple(
        _read_route(listener.host, rule)
        for listener in listeners
        for rule in listener.rules
    )


def _read_route(host: str, source: msgspec.Raw) -> Route:
    """Return one route."""
    rule: _Rule = _decode(_RULE, source)
    action = rule.action
    shares = tuple(ServiceShare(share.service, share.weight) for share in action.split)
    if not shares:
        shares = (ServiceShare(action.service, 1.0),)
    is_idempotent = rule.kind in IDEMPOTENT_KINDS
    kind = RouteKind.IDEMPOTENT if is_idempotent else RouteKind.ONCE
    target = action.timeout_ms if rule.target_ms is None else rule.target_ms
    return Route(
        rule.name,
        host,
        rule.match.path_prefix,
        kind,
        shares,
        action.timeout_ms,
        action.max_attempts,
        target,
        rule.priority,
        bytes(source),
    )


def _read_service(source: msgspec.Raw) -> RoutedService:
    """Return one service."""
    cluster: _Cluster = _decode(_CLUSTER, source)
    return RoutedService(
        cluster.name,
        cluster.health_path,
        cluster.max_connections,
        cluster.sharded,
        cluster.warm_s * 1000,
        bytes(source),
    )


def _read_limits(source: msgspec.Raw) -> ClientLimits | None:
    """Return the limits of callers, or None if the source is empty."""
    if not bytes(source):
        return None
    limits: _Limits = _decode(_LIMITS, source)
    return ClientLimits(
        limits.header_bytes,
        limits.body_bytes,
        limits.header_timeout_ms,
        limits.idle_timeout_ms,
        bytes(source),
    )


def read_warmup(service: RoutedService) -> ServiceWarmup | None:
    """Return what a service's cold servers stand, from its source.

    Return None if the source names no rate, or none that can be used. It is not a field
    of ``RoutedService``, as released versions could not read the log with it.
    """
    try:
        warmup: _Warmup = _decode(_WARMUP, service.source)
    except UnreadableError:
        return None
    if not 0 < warmup.per_second < MAX_WARMUP_PER_SECOND:
        return None
    seconds = min(max(warmup.seconds, 0.0), MAX_COLD_SECONDS)
    return ServiceWarmup(service.name, warmup.per_second, seconds)
