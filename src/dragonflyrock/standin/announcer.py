"""Announcing a stand-in to the router, a few times a second."""

from __future__ import annotations

import json
import logging
import threading
from collections.abc import Callable
from typing import Final, NamedTuple

import msgspec
import urllib3

from .grants import GrantBody, Grants
from .models import Behaviour

__all__ = ["Announcer", "Identity"]

_LOGGER = logging.getLogger(__name__)

TIMEOUT_SECONDS: Final = 1.0
FIRST_PAUSE_SECONDS: Final = 0.2


class Identity(NamedTuple):
    """Who a stand-in is and where it listens."""

    name: str
    service: str
    address: str
    zone: str
    incarnation: int


class Announcer(threading.Thread):
    """Announce until stopped, at the platform ports in turn when one fails."""

    def __init__(
        self,
        identity: Identity,
        behaviour: Behaviour,
        platforms: list[str],
        grants: Grants,
        find_load: Callable[[], float],
    ) -> None:
        """Announce the identity with the load that ``find_load`` tells."""
        super().__init__(name="announcer", daemon=True)
        self._identity = identity
        self._behaviour = behaviour
        self._platforms = platforms
        self._grants = grants
        self._find_load = find_load
        self._pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_SECONDS)
        self._sequence = 0
        self._position = 0
        self._ended = threading.Event()
        self.ready = True

    def run(self) -> None:
        """Announce in a loop."""
        pause = FIRST_PAUSE_SECONDS
        while not self._ended.wait(pause):
            pause = self._announce()

    def stop(self) -> None:
        """End the loop."""
        self._ended.set()

    def _announce(self) -> float:
        """Announce once; return the pause until the next time in seconds."""
        self._sequence += 1
        identity, behaviour = self._identity, self._behaviour
        body = {
            "service": identity.service,
            "address": identity.address,
            "availability_zone": identity.zone,
            "incarnation": identity.incarnation,
            "sequence": self._sequence,
            "slots": behaviour.slots,
            "connections": behaviour.connections,
            "load": self._find_load(),
            "ready": self.ready,
            "checks_grants": behaviour.checks_grants,
            "grant_revision": self._grants.revision,
        }
        platform = self._platforms[self._position % len(self._platforms)]
        url = f"http://{platform}/backend-servers/{identity.name}"
        self._grants.record_sent(self._sequence)
        try:
            answer = self._pool.request("POST", url, body=json.dumps(body))
            if answer.status != 200:
                raise ValueError(f"{answer.status}: {answer.data[:200]!r}")
            grants = msgspec.json.decode(answer.data, type=GrantBody)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            _LOGGER.debug("step=announce peer=%s: %s", platform, error)
            self._position += 1
            return FIRST_PAUSE_SECONDS
        self._grants.apply(grants)
        return grants.announce_ms / 1000
