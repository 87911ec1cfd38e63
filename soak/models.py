"""Records of a history, as callers, servers, operators and the player see them."""

from __future__ import annotations

from typing import NamedTuple


class Sent(NamedTuple):
    """A caller has written a request, to a fresh connection or one used before.

    ``until`` is its deadline.
    """

    request: str
    node: str
    route: str
    safe: bool
    until: float
    fresh: bool = False


class Outcome(NamedTuple):
    """How an attempt ended: "answered", "broken", or "left" by the caller itself.

    ``detail`` of an answer tells what is wrong with it.
    """

    request: str
    node: str
    how: str
    status: int = 0
    stamped: bool = False
    detail: str = ""


class Unreached(NamedTuple):
    """A caller's new connection was refused or not made in time."""

    node: str


class Readied(NamedTuple):
    """The readiness check had an answer; 0 is none."""

    node: str
    status: int


class Began(NamedTuple):
    """A server began to run a request; ``fence`` is that of the key's grant."""

    request: str
    server: str
    key: int = -1
    fence: int = 0
    arrived: float = 0.0


class Finished(NamedTuple):
    """A run ended: "done", "cut" by its caller, "ended" with its server, and so on."""

    request: str
    server: str
    how: str


class Beaten(NamedTuple):
    """A node acknowledged a server's announcement."""

    server: str
    state: str
    node: str


class Put(NamedTuple):
    """A change had its clear answer, or none (status 0)."""

    sent_at: float
    node: str
    version: int
    base: int
    content: str
    status: int
    again: bool = False


class Read(NamedTuple):
    """An operator has read the configuration; ``last`` when no change is under way."""

    sent_at: float
    node: str
    version: int
    content: str
    last: bool = False


class Acted(NamedTuple):
    """A fault or signal from outside: what, on whom, until when, and from whom."""

    target: str
    what: str
    until: float
    source: str = ""


class Starved(NamedTuple):
    """A process waited for the machine's processor until a time, or the soak did."""

    name: str
    until: float


class Started(NamedTuple):
    """A process was started."""

    node: str


class Ended(NamedTuple):
    """A process has ended; ``asked_at`` is the time of its SIGTERM, or -1."""

    node: str
    code: int
    asked_at: float
    killed: bool


Record = (
    Sent | Outcome | Unreached | Readied | Began | Finished | Beaten | Put | Read
    | Acted | Starved | Started | Ended
)  # fmt: skip


class Event(NamedTuple):
    """A record, and when it was made, in seconds since the run began."""

    at: float
    record: Record


class Violation(NamedTuple):
    """A broken check; ``subjects`` are the names that its time line is about."""

    check: str
    at: float
    detail: str
    subjects: tuple[str, ...] = ()
