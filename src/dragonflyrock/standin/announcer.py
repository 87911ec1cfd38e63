"""Periodic announcement of a stand-in to the router."""

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

ANNOUNCE_TIMEOUT_SECONDS: Final = 1.0
RETRY_DELAY_SECONDS: Final = 0.2
CHANGED_DELAY_SECONDS: Final = 0.1
LOST_ANSWER_PERIOD: Final = 3
OVERTAKEN_ANSWER_PERIOD: Final = 5


class Identity(NamedTuple):
    """The name, service, address and availability zone of a stand-in.

    ``incarnation`` distinguishes this run from earlier runs under the same name.
    """

    name: str
    service: str
    address: str
    zone: str
    incarnation: int


class Announcer(threading.Thread):
    """Thread that announces the stand-in until stopped.

    It uses one platform port and switches to the next one when a call fails.
    """

    def __init__(
        self,
        identity: Identity,
        behaviour: Behaviour,
        platforms: list[str],
        grants: Grants,
        get_load: Callable[[], float],
    ) -> None:
        """Create an announcer; ``get_load`` returns the load to report."""
        super().__init__(name="announcer", daemon=True)
        self._identity = identity
        self._behaviour = behaviour
        self._platforms = platforms
        self._grants = grants
        self._get_load = get_load
        self._pool = urllib3.PoolManager(
            retries=False, timeout=ANNOUNCE_TIMEOUT_SECONDS
        )
        self._sequence = 0
        self._overtaken: GrantBody | None = None
        self._position = 0
        self._stop_requested = threading.Event()
        self.ready = True

    def run(self) -> None:
        """Announce in a loop, at the interval that the router asks for."""
        delay = RETRY_DELAY_SECONDS
        while not self._stop_requested.wait(delay):
            delay = self._announce()

    def stop(self) -> None:
        """Make the loop end."""
        self._stop_requested.set()

    def _announce(self) -> float:
        """Announce once; return the delay in seconds until the next announcement."""
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
            "load": self._get_load(),
            "ready": self.ready,
            "checks_grants": behaviour.checks_grants,
            "grant_revision": self._grants.revision,
        }
        platform = self._platforms[self._position % len(self._platforms)]
        url = f"http://{platform}/backend-servers/{identity.name}"
        self._grants.record_sent(self._sequence)
        try:
            response = self._pool.request("POST", url, body=json.dumps(body))
            if response.status != 200:
                raise ValueError(f"{response.status}: {response.data[:200]!r}")
            grants = msgspec.json.decode(response.data, type=GrantBody)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            _LOGGER.debug(
                "step=announce peer=%s: announcement failed: %s", platform, error
            )
            self._position += 1
            return RETRY_DELAY_SECONDS
        held_before = self._grants.revision
        self._receive_answer(grants)
        is_changed = self._grants.revision != held_before
        if is_changed and not self._behaviour.takes_pushes:
            # The router hears only from the next announcement that a range is free.
            return CHANGED_DELAY_SECONDS
        return grants.announce_ms / 1000

    def _receive_answer(self, answer: GrantBody) -> None:
        """Apply an answer, unless it is one to be lost or to arrive after the next."""
        if self._behaviour.loses_answers:
            if self._sequence % LOST_ANSWER_PERIOD == 0:
                return
            if self._sequence % OVERTAKEN_ANSWER_PERIOD == 0:
                self._overtaken = answer
                return
        self._grants.apply(answer)
        if self._overtaken is not None:
            self._grants.apply(self._overtaken)
            self._overtaken = None
