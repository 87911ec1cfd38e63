"""Names on the platform's wire that are headers or paths."""

from __future__ import annotations

from typing import Final

from ..router import Dialect

__all__ = [
    "BASE_VERSION",
    "CONFIG_GET",
    "CONFIG_PATCH",
    "CONFIG_PUT",
    "DIALECT",
    "GRANT_PATH",
    "HANDOVER",
    "INSTANCES_PREFIX",
    "RELEASE_PATH",
    "SETTINGS_VARIABLE",
]

SETTINGS_VARIABLE: Final = "DRAGONFLYROCK_SETTINGS"

DIALECT: Final = Dialect(
    request_id=b"x-dragonflyrock-request-id",
    # Not a point in time: the milliseconds that are left.
    time_left_ms=b"x-dragonflyrock-deadline-ms",
    expected_server=b"x-dragonflyrock-expected-instance",
    server_name=b"x-dragonflyrock-instance-id",
    signature=b"x-dragonflyrock-server-stamp",
    not_run=b"x-dragonflyrock-not-executed",
    load=b"x-dragonflyrock-server-load",
    key=b"x-dragonflyrock-shard-key",
    key_shift=48,
)

BASE_VERSION: Final = b"x-dragonflyrock-base-version"
HANDOVER: Final = b"x-dragonflyrock-handover"

CONFIG_GET: Final = "/-/config/get"
CONFIG_PATCH: Final = "/-/config/patch"
CONFIG_PUT: Final = "/-/config/put"
GRANT_PATH: Final = b"/-/grant"
RELEASE_PATH: Final = b"/-/release"
INSTANCES_PREFIX: Final = "/-/instances/"
