"""Records of a history; each has the time in seconds since the run began."""

from __future__ import annotations

from typing import NamedTuple

__all__ = [
    "Acted",
    "Answered",
    "Beaten",
    "Began",
    "Broken",
    "Ended",
    "Finished",
    "Left",
    "Put",
    "Read",
    "Readied",
    "Record",
    "Sent",
    "Started",
    "Unreached",
    "Violation",
]


class Sent(NamedTuple):
    """A caller has written a whole request; ``until`` is its deadline."""

    at: float
    request: str
    node: str
    route: str
    safe: bool
    until: float
    fresh: bool
    attempt: int = 1


class Answered(NamedTuple):
    """A caller has read a whole answer; ``problem`` tells what is wrong with it."""

    at: float
    request: str
    node: str
    status: int
    stamped: bool
    problem: str = ""


class Broken(NamedTuple):
    """The connection ended before the whole answer."""

    at: float
    request: str
    node: str
    detail: str


class Left(NamedTuple):
    """The caller closed its connection before the answer."""

    at: float
    request: str
    node: str


class Unreached(NamedTuple):
    """A caller's new connection was refused or not made in time."""

    at: float
    node: str


class Readied(NamedTuple):
    """The readiness check had an answer; 0 is none."""

    at: float
    node: str
    status: int


class Began(NamedTuple):
    """A server began to run a request; ``fence`` is that of the key's grant."""

    at: float
    request: str
    server: str
    service: str
    key: int = -1
    fence: int = 0
    arrived: float = 0.0


class Finished(NamedTuple):
    """A server's run ended."""

    at: float
    request: str
    server: str
    how: str


class Beaten(NamedTuple):
    """A server's announcement was acknowledged."""

    at: float
    server: str
    state: str
    node: str


class Put(NamedTuple):
    """An operator's change had its clear answer, or none (status 0)."""

    at: float
    sent_at: float
    node: str
    version: int
    base: int
    content: str
    status: int
    again: bool = False
    adds: str = ""
    tries: int = 1


class Read(NamedTuple):
    """An operator has read the configuration back."""

    at: float
    sent_at: float
    node: str
    version: int
    content: str
    last: bool = False


class Acted(NamedTuple):
    """A fault or a signal from outside, on a node, server or way, until a time."""

    at: float
    target: str
    what: str
    until: float


class Started(NamedTuple):
    """A process was started."""

    at: float
    node: str


class Ended(NamedTuple):
    """A process has ended; ``asked_at`` is the time of its SIGTERM, or -1."""

    at: float
    node: str
    code: int
    asked_at: float
    killed: bool


Record = (
    Sent
    | Answered
    | Broken
    | Left
    | Unreached
    | Readied
    | Began
    | Finished
    | Beaten
    | Put
    | Read
    | Acted
    | Started
    | Ended
)


class Violation(NamedTuple):
    """A broken check, with what it concerns, for the time line."""

    check: str
    at: float
    detail: str
    subject: str = ""
