"""Crowds at the ports of the product's own daemon: it lives, and others get answers.

The crowds and the bounds were fixed on bb73bbe, before any change for them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Final

import pytest

from dragonflyrock.trial import SINGLE, Fleet
from tests.conftest import StartFleet

from .attack import CONNECTION_COUNT, CROWD_SIZE
from .crowd import Crowd, make_filler

# The size of the machine, as the daemon's settings say.
MEMORY_MB: Final = 200
MAX_FDS: Final = 300
SETTINGS: Final = f"[machine]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n"
# The largest body that the daemon accepts, which is also in the contract.
BODY_BYTES: Final = 16 * 1024 * 1024
PIECE_BYTES: Final = 64 * 1024
LARGE_ANSWER_BYTES: Final = 1_000_000
DAEMON: Final = "local-1"
CUSTOMER_TOKEN: Final = "token-of-a-customer"
STRANGER_TOKEN: Final = "token-of-a-stranger"

MakeStream = Callable[[], Iterator[bytes]]
FindPort = Callable[[Fleet], str]
PORTS: dict[str, FindPort] = {
    "callers": lambda fleet: fleet.callers_address(0),
    "platform": lambda fleet: fleet.platform_address(0),
    "operators": lambda fleet: fleet.operators_address(0),
}

at_each_port = pytest.mark.parametrize("port", PORTS)


def make_head(fields: str, token: str = STRANGER_TOKEN, method: str = "POST") -> bytes:
    """Return the head of a request to the callers' port, but for its blank line."""
    head = f"{method} /finder/k?size={LARGE_ANSWER_BYTES} HTTP/1.1\r\nHost: x\r\n"
    return f"{head}Authorization: Bearer {token}\r\n{fields}".encode()


def make_body(token: str, size: int = BODY_BYTES) -> Iterator[bytes]:
    """Yield a request with a body, but for its last byte."""
    yield make_head(f"Content-Length: {size}\r\n\r\n", token)
    for start in range(0, size - 1, PIECE_BYTES):
        yield bytes(min(PIECE_BYTES, size - 1 - start))


def make_chunks(token: str) -> Iterator[bytes]:
    """Yield a request with a body of very small chunks, but for the last one."""
    yield make_head("Transfer-Encoding: chunked\r\n\r\n", token)
    for _ in range(200):
        yield b"2\r\nxx\r\n" * 2_000


def make_endless_header() -> Iterator[bytes]:
    """Yield a request head with a line that does not end."""
    yield make_head("X-Filler: ")
    yield from make_filler()


def make_endless_headers() -> Iterator[bytes]:
    """Yield a request head with headers that do not end."""
    yield make_head("")
    for number in range(400):
        yield b"".join(b"x-%d-%d: y\r\n" % (number, place) for place in range(2_000))


def make_endless_trailer() -> Iterator[bytes]:
    """Yield a request in chunks with a trailer that does not end."""
    yield make_head("Transfer-Encoding: chunked\r\n\r\n", CUSTOMER_TOKEN)
    yield b"1\r\nx\r\n0\r\nX-Filler: "
    yield from make_filler()


def make_requests_ahead(count: int) -> Iterator[bytes]:
    """Yield requests of a customer, sent before any answer is read."""
    for _ in range(count):
        yield make_head("\r\n", CUSTOMER_TOKEN, "GET")


def read_peak_mb(fleet: Fleet) -> float:
    """Return the peak memory of the daemon."""
    status = Path(f"/proc/{fleet.hosts[DAEMON].pid}/status").read_text().splitlines()
    return next(int(row.split()[1]) for row in status if row[:6] == "VmHWM:") / 1024


def assert_within_machine(fleet: Fleet) -> None:
    """Assert that the daemon lives, and was never larger than its machine."""
    assert fleet.hosts[DAEMON].running
    assert read_peak_mb(fleet) <= MEMORY_MB
    descriptors = Path(f"/proc/{fleet.hosts[DAEMON].pid}/fd")
    assert len(list(descriptors.iterdir())) <= MAX_FDS


def is_served(fleet: Fleet) -> bool:
    """Return whether an ordinary request is served, on a new connection."""
    caller = fleet.make_caller(CUSTOMER_TOKEN)
    try:
        return caller.call("GET", "/finder/k").status == 200
    finally:
        caller.close()


def attack(
    start_fleet: StartFleet,
    make_stream: MakeStream,
    port: str = "callers",
    count: int = CROWD_SIZE,
) -> None:
    """Let a crowd loose on a daemon, and check it and one ordinary request."""
    fleet = start_fleet(SINGLE._replace(extra_settings=SETTINGS))
    fleet.put_contract("customer", CUSTOMER_TOKEN, body_bytes=BODY_BYTES)
    fleet.wait_for("an answer", lambda: is_served(fleet))
    crowd = Crowd(PORTS[port](fleet))
    try:
        asyncio.run(crowd.attack(make_stream() for _ in range(count)))
        assert_within_machine(fleet)
        fleet.wait_for("an answer beside the crowd", lambda: is_served(fleet))
        assert_within_machine(fleet)
    finally:
        crowd.close()


# Guards against a header line that the daemon reads until it ends.
@at_each_port
def test_header_lines_without_end(start_fleet: StartFleet, port: str) -> None:
    attack(start_fleet, make_endless_header, port)


# Guards against headers without number.
@at_each_port
def test_headers_without_end(start_fleet: StartFleet, port: str) -> None:
    attack(start_fleet, make_endless_headers, port)


# Guards against a trailer that the daemon reads until it ends.
def test_trailers_without_end(start_fleet: StartFleet) -> None:
    attack(start_fleet, make_endless_trailer)


# Guards against bodies of clients without a contract, which are read to their end.
@at_each_port
def test_bodies_of_strangers(start_fleet: StartFleet, port: str) -> None:
    attack(start_fleet, lambda: make_body(STRANGER_TOKEN), port)


# Guards against bodies that a contract allows, of more clients than the machine bears.
def test_bodies_of_customers(start_fleet: StartFleet) -> None:
    attack(start_fleet, lambda: make_body(CUSTOMER_TOKEN))


# Guards against chunks that cost many times their size where each is an object.
def test_bodies_in_very_small_chunks(start_fleet: StartFleet) -> None:
    attack(start_fleet, lambda: make_chunks(CUSTOMER_TOKEN))


# Guards against threads that all wait for the rest of small bodies.
def test_more_unfinished_requests_than_threads(start_fleet: StartFleet) -> None:
    attack(start_fleet, lambda: make_body(CUSTOMER_TOKEN, 1_000), count=100)


# Guards against answers that nobody reads, each of which keeps a thread and its bytes.
def test_requests_ahead_with_large_answers_unread(start_fleet: StartFleet) -> None:
    attack(start_fleet, lambda: make_requests_ahead(400), count=100)


# Guards against a daemon without a descriptor for its backend servers.
@at_each_port
def test_more_connections_than_descriptors(start_fleet: StartFleet, port: str) -> None:
    attack(start_fleet, lambda: iter([b"G"]), port, 2 * CONNECTION_COUNT)


# Guards against a limit that a single request meets although it keeps to its contract.
def test_the_largest_request_is_served_in_calm(start_fleet: StartFleet) -> None:
    fleet = start_fleet(SINGLE._replace(extra_settings=SETTINGS))
    fleet.put_contract("customer", CUSTOMER_TOKEN, body_bytes=BODY_BYTES)
    fleet.wait_for("an answer", lambda: is_served(fleet))
    caller = fleet.make_caller(CUSTOMER_TOKEN)
    result = caller.call("POST", "/finder/k", bytes(BODY_BYTES))
    assert (result.status, result.outcome) == (200, "completed")
    assert_within_machine(fleet)
