"""Cost of heartbeats that say what servers hold, by servers and rows.

``python -m benchmarks.heartbeats`` prints the leader's processor time for one heartbeat
and its answer, and the bytes of both.
"""

from __future__ import annotations

import time
from typing import Final

import msgspec

from dragonflyrock.control import commands as c
from dragonflyrock.control.calls import HeartbeatAccepted
from dragonflyrock.control.directed import DirectedLeader
from dragonflyrock.control.directed_models import (
    DirectedTiming,
    HeldPart,
    ServerHeartbeat,
)
from dragonflyrock.control.state import ControlState
from dragonflyrock.hashing import KEY_SPACE
from dragonflyrock.models import GrantedBy, ServerRow
from dragonflyrock.platform.heartbeats import decode_heartbeat, encode_acknowledgement
from dragonflyrock.platform.names import KEY_SHIFT_BITS
from dragonflyrock.routes import RouteDocument, RoutedService

SERVICE: Final = "finder"
SIZES: Final = ((20, 4), (80, 4), (320, 4), (80, 1), (80, 16))
ROUNDS: Final = 2000


def make_leader(servers: int, rows: int) -> DirectedLeader:
    """Return a leader of servers that own so many rows each."""
    state = ControlState()
    service = RoutedService(SERVICE, "/health", 100, True, 0.0)
    commands: list[c.Command] = [
        c.PutRoutes(0, "first", RouteDocument(1, (), (service,)))
    ]
    for number in range(servers):
        name = f"i-{number:010x}"
        row = ServerRow(name, SERVICE, f"10.0.0.1:{number}", "a", 0, 2, 0, True)
        commands.append(c.RegisterServer(row))
    width = KEY_SPACE // (servers * rows)
    parts = []
    for place in range(servers * rows):
        owner = f"i-{place % servers:010x}@0"
        high = KEY_SPACE - 1 if place == servers * rows - 1 else (place + 1) * width - 1
        parts.append(c.RangePart(place * width, high, 0, owner))
    commands.append(c.AssignRanges(SERVICE, tuple(parts)))
    for command in commands:
        state.apply(state.revision + 1, c.COMMANDS.encode(command))
    timing = DirectedTiming(granted_by=GrantedBy.HEARTBEAT)
    return DirectedLeader(state, timing, lambda *_, **__: None, 0.0)


def encode_beat(name: str, held: tuple[HeldPart, ...]) -> bytes:
    """Return the body of a heartbeat in the platform's format."""
    rows = [(p.low >> KEY_SHIFT_BITS, p.high >> KEY_SHIFT_BITS, p.epoch) for p in held]
    body = {"service": SERVICE, "address": "10.0.0.1:80", "zone": "a", "version": "v1"}
    more = {"slots": 2, "state": "ready", "warmupRemainingMs": 0, "sequence": 9}
    return msgspec.json.encode(body | more | {"holds": rows, "freed": []})


def main() -> None:
    """Print a line for each size."""
    print("servers, rows each: leader us, wire us, heartbeat bytes, answer bytes")
    for servers, rows in SIZES:
        leader = make_leader(servers, rows)
        held: dict[str, tuple[HeldPart, ...]] = {}
        decided = coded = 0.0
        answer = HeartbeatAccepted()
        # The first answer reads all committed rows.
        first = ServerHeartbeat("i-0000000000", SERVICE, "10.0.0.1:0", "a", 2, 0)
        leader.receive_holds(first, 1.0)
        for turn in range(ROUNDS):
            name = f"i-{turn % servers:010x}"
            beat = ServerHeartbeat(
                name,
                SERVICE,
                f"10.0.0.1:{turn % servers}",
                "a",
                2,
                turn,
                held=held.get(name, ()),
            )
            began = time.process_time()
            leader.receive_heartbeat(beat, 1.0)
            leader.receive_holds(beat, 1.0)
            answer = leader.answer_heartbeat(beat, 1.0, 1.0)
            decided += time.process_time() - began
            held[name] = tuple(HeldPart(*row[:3]) for row in answer.held or ())
            body = encode_beat(name, held[name])
            began = time.process_time()
            decode_heartbeat(name, body)
            encoded = encode_acknowledgement(answer, "10.0.0.1:8080")
            coded += time.process_time() - began
        print(
            f"{servers:5}, {rows:3}: {decided / ROUNDS * 1e6:6.1f}"
            f" {coded / ROUNDS * 1e6:6.1f} {len(body):6} {len(encoded):6}"
        )


if __name__ == "__main__":
    main()
