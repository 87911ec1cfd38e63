"""The platform's headers, paths and environment variable."""

from __future__ import annotations

from typing import Final

__all__ = [
    "BASE_VERSION",
    "CONFIG_GET_PATH",
    "CONFIG_PATCH_PATH",
    "CONFIG_PUT_PATH",
    "EVACUATE_PREFIX",
    "EXPECTED_SERVER",
    "GRANT_PATH",
    "HANDOVER",
    "INSTANCES_PREFIX",
    "KEY_SHIFT_BITS",
    "NOT_RUN",
    "RELEASE_PATH",
    "REQUEST_ID",
    "SERVER_NAME",
    "SETTINGS_VARIABLE",
]

SETTINGS_VARIABLE: Final = "DRAGONFLYROCK_SETTINGS"

REQUEST_ID: Final = b"x-dragonflyrock-request-id"
EXPECTED_SERVER: Final = b"x-dragonflyrock-expected-instance"
SERVER_NAME: Final = b"x-dragonflyrock-instance-id"
NOT_RUN: Final = b"x-dragonflyrock-not-executed"
# A key in a header or body has 16 bits; they are the top bits of a 64-bit hash.
KEY_SHIFT_BITS: Final = 48

BASE_VERSION: Final = b"x-dragonflyrock-base-version"
HANDOVER: Final = b"x-dragonflyrock-handover"

CONFIG_GET_PATH: Final = "/-/config/get"
CONFIG_PATCH_PATH: Final = "/-/config/patch"
CONFIG_PUT_PATH: Final = "/-/config/put"
GRANT_PATH: Final = b"/-/grant"
RELEASE_PATH: Final = b"/-/release"
EVACUATE_PREFIX: Final = "/-/evacuate/"
INSTANCES_PREFIX: Final = "/-/instances/"
