"""The platform's headers, paths and environment variable."""

from __future__ import annotations

from typing import Final

__all__ = [
    "BASE_VERSION",
    "CONFIG_GET",
    "CONFIG_PATCH",
    "CONFIG_PUT",
    "EXPECTED_SERVER",
    "GRANT_PATH",
    "HANDOVER",
    "INSTANCES_PREFIX",
    "KEY_SHIFT",
    "NOT_RUN",
    "RELEASE_PATH",
    "SERVER_NAME",
    "SETTINGS_VARIABLE",
]

SETTINGS_VARIABLE: Final = "DRAGONFLYROCK_SETTINGS"

EXPECTED_SERVER: Final = b"x-dragonflyrock-expected-instance"
SERVER_NAME: Final = b"x-dragonflyrock-instance-id"
NOT_RUN: Final = b"x-dragonflyrock-not-executed"
# A key in a header or body has 16 bits; they are the top bits of a 64-bit hash.
KEY_SHIFT: Final = 48

BASE_VERSION: Final = b"x-dragonflyrock-base-version"
HANDOVER: Final = b"x-dragonflyrock-handover"

CONFIG_GET: Final = "/-/config/get"
CONFIG_PATCH: Final = "/-/config/patch"
CONFIG_PUT: Final = "/-/config/put"
GRANT_PATH: Final = b"/-/grant"
RELEASE_PATH: Final = b"/-/release"
INSTANCES_PREFIX: Final = "/-/instances/"
