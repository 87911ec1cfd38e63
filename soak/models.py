"""Records of a history: what callers, servers, operators and the player observed."""

from __future__ import annotations

from typing import NamedTuple


class Sent(NamedTuple):
    """A caller sends a request.

    ``until`` is its deadline; ``fresh`` is set for the first one on a connection, and
    ``again`` if its caller has tried it before.
    """

    request: str
    node: str
    route: str
    safe: bool
    until: float
    fresh: bool = False
    again: bool = False


class Outcome(NamedTuple):
    """How an attempt ended: "answered", "broken" (connection lost) or "left".

    "left" means that the caller closed the connection. ``stamped`` is set if the
    response has a server's signature; ``detail`` says what is wrong with a response.
    """

    request: str
    node: str
    how: str
    status: int = 0
    stamped: bool = False
    detail: str = ""


class Unreached(NamedTuple):
    """A caller's connection attempt was refused or timed out.

    ``again`` is set if its caller has tried the request before.
    """

    node: str
    again: bool = False


class Readied(NamedTuple):
    """The status of a readiness check, or 0 if there was no response."""

    node: str
    status: int


class Began(NamedTuple):
    """A server began to run a request, which it received at ``arrived``.

    ``fence`` is the fence of the key's grant; the key is -1 in an unsharded service.
    """

    request: str
    server: str
    key: int = -1
    fence: int = 0
    arrived: float = 0.0


class Finished(NamedTuple):
    """A run ended.

    ``how`` is "done", "cut" (cancelled as the node closed its connection), "ended"
    (the server stopped), "deadline" (passed) or "lease" (expired).
    """

    request: str
    server: str
    how: str


class Told(NamedTuple):
    """A server answers that it leaves, or that it wants a pause of ``seconds``.

    A response that asks for a pause turns the request away.
    """

    request: str
    server: str
    what: str
    seconds: float = 0.0


class Limited(NamedTuple):
    """A request arrived at a server that names a limit of requests a second."""

    request: str
    server: str
    per_second: float


class Evacuated(NamedTuple):
    """A control node acknowledged the order to evacuate a zone."""

    zone: str


class Returned(NamedTuple):
    """An operator sends the order to take a zone back."""

    zone: str


class Beaten(NamedTuple):
    """A control node acknowledged a server's heartbeat."""

    server: str
    state: str
    node: str


class Put(NamedTuple):
    """A configuration change got a final response, or none (status 0).

    ``again`` is set for a repeat of an accepted change.
    """

    sent_at: float
    node: str
    version: int
    base: int
    content: str
    status: int
    again: bool = False


class Read(NamedTuple):
    """An operator read the configuration; ``last`` if no change was in progress."""

    sent_at: float
    node: str
    version: int
    content: str
    last: bool = False


class Acted(NamedTuple):
    """The player applied a fault or signal to a target, until a time.

    ``source`` limits a network fault to the connections from one node or role.
    """

    target: str
    what: str
    until: float
    source: str = ""


class Starved(NamedTuple):
    """A node or the soak test itself waited for a processor, until a time."""

    name: str
    until: float


class Grown(NamedTuple):
    """A node's process holds more memory than before, in megabytes."""

    node: str
    megabytes: int


class Started(NamedTuple):
    """A process was started."""

    node: str


class Ended(NamedTuple):
    """A process ended; ``asked_at`` is the time of its SIGTERM, or -1."""

    node: str
    code: int
    asked_at: float
    killed: bool


Record = (
    Sent | Outcome | Unreached | Readied | Began | Finished | Told | Limited | Beaten
    | Evacuated | Returned
    | Put | Read | Acted | Starved | Grown | Started | Ended
)  # fmt: skip


class Event(NamedTuple):
    """A record and its time in seconds since the run began."""

    at: float
    record: Record


class Violation(NamedTuple):
    """A failed check.

    ``subjects`` are the requests, servers and nodes that its time line shows.
    """

    check: str
    at: float
    detail: str
    subjects: tuple[str, ...] = ()
