"""The state of a request while it is routed."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, Protocol

from ..http import Request
from ..routes import Route
from .header_names import HeaderNames

__all__ = [
    "CrashReporter",
    "Rejection",
    "RejectionCause",
    "RelayNotice",
    "RequestContext",
    "RouterConfig",
]


class RelayNotice(NamedTuple):
    """What a host says with a request that it relays.

    ``document_version`` is None from a host of a build that does not name it.
    """

    earlier_sends: int
    document_version: int | None


@dataclass(slots=True)
class RequestContext:
    """A request that is being routed; times are in seconds of the runtime's clock.

    ``target_at`` is the time at which the request misses its target latency.
    ``sends`` counts the sends to servers, and ``server_rejections`` those that a
    server answered without running the request, ``connect_failures`` those that reached
    no server. ``wrong_owner`` is set while the
    last server has answered that it does not own the key. Servers whose lives are in
    ``avoid`` are chosen only if there is no other. ``chosen_at`` is when the last
    server was chosen, and ``outdated_choices`` counts those that were outdated before
    the send.
    ``suspect_waits`` is set once it has waited for another suspect request to end, and
    ``link_wait`` is how long it waited for room on this host's link.

    ``notice`` is set if another host relayed the request. ``relay`` is the last host to
    which this one relayed it, ``relay_version`` the version of the document by which
    that host answered, and ``relay_refused`` is set once no host took it.
    """

    request: Request
    request_id: bytes
    route: Route
    service: str
    key_hash: int | None
    started: float
    deadline: float
    target_at: float
    sends: int = 0
    server_rejections: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    wrong_owner: bool = False
    avoid: set[str] = field(default_factory=set)
    server: str = ""
    detail: str = ""
    fingerprint: str = ""
    chosen_at: float = 0.0
    outdated_choices: int = 0
    suspect_waits: bool = False
    link_wait: float = 0.0
    notice: RelayNotice | None = None
    relay: str = ""
    relay_version: int | None = None
    relay_refused: bool = False

    @property
    def is_relayed(self) -> bool:
        """Return whether another host relayed the request to this one."""
        return self.notice is not None

    @property
    def all_sends(self) -> int:
        """Return the sends to servers, with those of the host that relayed it."""
        return self.sends + (self.notice.earlier_sends if self.notice else 0)


class CrashReporter(Protocol):
    """Interface that reports requests that were running on a server when it ended."""

    def report_crash(
        self, fingerprint: str, method: str, target: str, life: str
    ) -> None:
        """Report that a life of a server ended while it ran a request."""

    async def begin_suspect_run(
        self, fingerprint: str, life: str, seconds: float
    ) -> bool:
        """Return whether a suspect may run on a server now, for some seconds at most.

        It may unless another suspect may be running there.
        """

    def clear_suspect(self, fingerprint: str) -> None:
        """Report that a request suspected of ending servers was answered."""


class RejectionCause(StrEnum):
    """What a request is refused for.

    With ``NO_OWNER``, ``LEAVING``, ``EVACUATED`` and ``ENDED``, newer rows may name
    another owner.
    """

    LOAD = "load"
    NO_OWNER = "no-owner"
    ENDED = "ended"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    PAUSED = "paused"
    LIMITED = "limited"
    LINK = "link"


class Rejection(NamedTuple):
    """Why a request is refused without running, and the seconds until a retry."""

    detail: str
    retry_after: float
    cause: RejectionCause = RejectionCause.LOAD


class RouterConfig(NamedTuple):
    """The name and availability zone of this host, and the header names it uses.

    ``relay_port`` is the port at which every host takes requests of other hosts; 0 if
    hosts relay none.
    """

    host: str
    zone: str
    header_names: HeaderNames
    relay_port: int = 0
