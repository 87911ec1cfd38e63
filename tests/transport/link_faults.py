"""Random faults on many links at once, and the time until each is open again."""

from __future__ import annotations

import random
import socket
import sys
import time
from collections.abc import Callable, Iterator
from typing import Final

import defopt
import msgspec
import zmq

from dragonflyrock.observe import HybridClock
from dragonflyrock.observe.metrics import Metrics
from dragonflyrock.transport.links import CurveKeys, Links
from dragonflyrock.transport.messages import ConsensusMessage
from tests.common import free_port

from .relay import BACK, NO_LIMIT, THERE, Relay, Treatment, run_relays

ALLOWED_SECONDS: Final = 4.0
WATCHED_SECONDS: Final = 45.0
MAX_FAULTS: Final = 5
MAX_PAUSE_SECONDS: Final = 3.0
HANDSHAKE_BYTES: Final = 400
FLOOD_BYTES: Final = 100_000
FLOOD_MESSAGES: Final = 500
SEND_INTERVAL_SECONDS: Final = 0.02
GREETING: Final = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(48)
ANSWERS: Final = (
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n",
    GREETING,
    GREETING + b"\x06\xff" * 9,
    GREETING.replace(b"NULL", b"XXXX"),
    b"\x01\x00",
    bytes(100),
)
DISHONEST: Final = ("new-garbled", "answered", "other-type")
OTHER_TYPES: Final = (zmq.PUSH, zmq.PUB, zmq.REP, zmq.ROUTER, zmq.STREAM, zmq.PULL)


class Bench:
    """A sending node, and a relay and receiving nodes for each of its links."""

    def __init__(self, relays: list[Relay], keys: CurveKeys | None, seed: int) -> None:
        """Open the links to the relays, and the first receiver of each."""
        self.relays = relays
        self._keys = keys
        self.sender = self._open("sender", free_port())
        self.receivers: list[list[Links]] = []
        self._context = zmq.Context()
        self.recipes: list[list[str]] = [[] for _ in relays]
        self.random = random.Random(seed)
        self.unread: set[int] = set()
        self.began = 0.0
        self.is_unreviewed = False
        self.is_honest = False
        for number, relay in enumerate(relays):
            self.receivers.append([])
            self.replace_receiver(number)
            self.sender.connect(str(number), f"127.0.0.1:{relay.port}")

    def _open(self, name: str, port: int) -> Links:
        """Return a node that listens at a port."""
        return Links(name, f"127.0.0.1:{port}", HybridClock(), Metrics(), self._keys)

    def replace_receiver(self, number: int) -> None:
        """Let the target of new connections be a new node."""
        relay = self.relays[number]
        relay.target = free_port()
        self.receivers[number].append(self._open(f"receiver{number}", relay.target))

    def close(self) -> None:
        """Close all nodes and sockets."""
        self.sender.close()
        for links in self.receivers:
            for receiver in links:
                receiver.close()
        self._context.destroy(linger=0)

    def receive(self, began: float) -> Iterator[int]:
        """Yield the links over which a message came that was sent since a time."""
        for number, links in enumerate(self.receivers):
            if number in self.unread:
                continue
            for receiver in links:
                while (received := receiver.receive()) is not None:
                    assert isinstance(received.message, ConsensusMessage)
                    sent = msgspec.json.decode(received.message.sender_identity)
                    if sent >= began and receiver is links[-1]:
                        yield number

    def send(self, number: int, size: int = 0) -> bool:
        """Send a message that names its time."""
        stamp = repr(time.monotonic())
        message = ConsensusMessage("", stamp, "", bytes(size))
        return self.sender.send(str(number), message)

    def repair(self, number: int) -> None:
        """Make the network whole for new connections."""
        relay = self.relays[number]
        relay.treatment = Treatment()
        relay.call(relay.listen())
        self.unread.discard(number)

    def fault(self, number: int) -> None:
        """Cause a random fault on a link."""
        pick = self.random
        relay = self.relays[number]
        faults: dict[str, Callable[[], object]] = {
            "silent": relay.silence,
            "silent-there": lambda: relay.silence(THERE),
            "silent-back": lambda: relay.silence(BACK),
            "reset": relay.reset,
            "power-lost": lambda: self._lose_power(number),
            "restarted": lambda: self._restart(number),
            "new-hang": lambda: self._treat(number, self._draw_limits()),
            "new-reset": lambda: self._treat(
                number, self._draw_limits()._replace(resets=True)
            ),
            "new-garbled": lambda: self._treat(
                number, Treatment(garbled=(self._draw_byte(), self._draw_byte()))
            ),
            "answered": lambda: self._treat(
                number, Treatment(answer=pick.choice(ANSWERS))
            ),
            "dropped-attempts": lambda: relay.call(relay.drop_attempts()),
            "refused": lambda: relay.call(relay.refuse()),
            "other-type": lambda: self._bind_other(number),
            "unread": lambda: self.unread.add(number),
            "flood": lambda: self._flood(number),
            "garbage-callers": lambda: self._call_with_garbage(relay.target),
            "slow": lambda: self._treat(number, Treatment(delay_seconds=0.1)),
            "repaired": lambda: self.repair(number),
        }
        names = [n for n in faults if not self.is_honest or n not in DISHONEST]
        name = pick.choice(names)
        self.recipes[number].append(f"{time.monotonic() - self.began:.2f} {name}")
        faults[name]()

    def _draw_byte(self) -> int:
        """Return the position of a byte, or -1 for none."""
        return self.random.choice((-1, self.random.randrange(HANDSHAKE_BYTES)))

    def _draw_limits(self) -> Treatment:
        """Return a connection that ends within the handshake or soon after."""
        limits = [self.random.choice((NO_LIMIT, self._draw_byte())) for _ in range(2)]
        return Treatment((max(limits[0], 0), max(limits[1], 0)))

    def _treat(self, number: int, treatment: Treatment) -> None:
        """Set the treatment of new connections; the open ones end in some way."""
        relay = self.relays[number]
        relay.treatment = treatment
        changed = [
            f"{name}={value!r}"
            for name, value in treatment._asdict().items()
            if value != Treatment._field_defaults[name]
        ]
        self.recipes[number][-1] += f" ({', '.join(changed)})"
        self.random.choice((relay.reset, relay.silence))()

    def _restart(self, number: int) -> None:
        """Reset the connections, and let a new node listen at the address."""
        self.relays[number].reset()
        self.replace_receiver(number)

    def _lose_power(self, number: int) -> None:
        """Silence a node, and let a new one listen at its address."""
        self.relays[number].silence()
        self.replace_receiver(number)

    def _bind_other(self, number: int) -> None:
        """Let a socket of another type answer new connections."""
        kind = self.random.choice(OTHER_TYPES)
        other = self._context.socket(kind)
        port = other.bind_to_random_port("tcp://127.0.0.1")
        self._treat(number, Treatment(target=port))
        self.recipes[number][-1] += f" type {kind}"

    def _flood(self, number: int) -> None:
        """Fill the send queue as far as it goes."""
        for _ in range(FLOOD_MESSAGES):
            if not self.send(number, FLOOD_BYTES):
                return

    def _call_with_garbage(self, port: int) -> None:
        """Send bytes that are no greeting, or a greeting and no frame."""
        try:
            with socket.create_connection(("127.0.0.1", port)) as caller:
                caller.sendall(self.random.choice(ANSWERS) + self.random.randbytes(99))
        except OSError:
            pass


def run_link_faults(
    *,
    links: int = 100,
    seed: int = 1,
    rounds: int = 1,
    curve: bool = False,
    unreviewed: bool = False,
    honest: bool = False,
) -> int:
    """Run rounds of random faults; return 1 if a link was closed too long after one.

    :param links: Links that fail at the same time.
    :param seed: Seed of the first round; the next one has the next seed.
    :param rounds: Number of rounds.
    :param curve: Encrypt the links.
    :param unreviewed: Leave it to the library to open links again.
    :param honest: Leave out faults that bring invalid bytes to the sending node.
    """
    keys = None
    if curve:
        public, secret = (key.decode() for key in zmq.curve_keypair())
        keys = CurveKeys(
            public, secret, dict.fromkeys(("sender", *map(str, range(links))), public)
        )
    late = 0
    for round_seed in range(seed, seed + rounds):
        with run_relays(*[0] * links) as relays:
            bench = Bench(relays, keys, round_seed)
            bench.is_unreviewed = unreviewed
            bench.is_honest = honest
            late += _run_round(bench, round_seed)
            bench.close()
    return int(late > 0)


def _run_round(bench: Bench, seed: int) -> int:
    """Run one round; return how many links were closed too long."""
    count = len(bench.relays)
    bench.began = time.monotonic()
    bench.recipes = [[] for _ in range(count)]
    due = []
    for number in range(count):
        at = bench.began
        for _ in range(bench.random.randint(1, MAX_FAULTS)):
            at += bench.random.uniform(0.0, MAX_PAUSE_SECONDS)
            due.append((at, number))
    for at, number in sorted(due):
        while time.monotonic() < at:
            _exchange(bench, 0.0)
        bench.fault(number)
    for number in range(count):
        bench.repair(number)
    whole = time.monotonic()
    times: dict[int, float] = {}
    while len(times) < count and time.monotonic() - whole < WATCHED_SECONDS:
        for number in _exchange(bench, whole):
            times.setdefault(number, time.monotonic() - whole)
    late = [n for n in range(count) if times.get(n, WATCHED_SECONDS) > ALLOWED_SECONDS]
    known = sorted(times.values()) or [WATCHED_SECONDS]
    print(
        f"seed {seed}: {len(times)} of {count} open, half within "
        f"{known[len(known) // 2]:.2f} s, the last after {known[-1]:.2f} s; "
        f"{len(late)} late",
        flush=True,
    )
    for number in late:
        print(f"  {times.get(number)}: whole at {whole - bench.began:.2f}")
        print("   ", "; ".join(bench.recipes[number]), flush=True)
    return len(late)


def _exchange(bench: Bench, began: float) -> list[int]:
    """Send over all links, and return those over which a message came."""
    if not bench.is_unreviewed:
        bench.sender.review(time.monotonic())
    for number in range(len(bench.relays)):
        bench.send(number)
    time.sleep(SEND_INTERVAL_SECONDS)
    return list(bench.receive(began))


if __name__ == "__main__":
    sys.exit(defopt.run(run_link_faults))
