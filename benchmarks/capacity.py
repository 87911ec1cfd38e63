"""Cost per object in memory, bytes and processor time, for docs/CAPACITY.md.

``python -m benchmarks.capacity [--json FILE]``. Each slope is the difference of the
costs of two object counts, divided by the difference of the counts, which leaves out
fixed costs.
"""

from __future__ import annotations

import gc
import json as json_module
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

import defopt

from dragonflyrock.consensus import Timing, open_group
from dragonflyrock.control import calls
from dragonflyrock.control import commands as c
from dragonflyrock.control.grants import make_server_row
from dragonflyrock.control.leader import ControlLeader, ServicePolicy
from dragonflyrock.control.state import ControlState
from dragonflyrock.control.tables import LeaderTiming
from dragonflyrock.entry.tables import EntryTables
from dragonflyrock.ledger import Ledger
from dragonflyrock.ledger.commands import (
    LEDGER_COMMANDS,
    Complete,
    RecordedResponse,
    Reserve,
)
from dragonflyrock.models import Contract, HostRecord
from dragonflyrock.observe import EventRing, HybridClock
from dragonflyrock.systems.placement import PlacementPolicy
from dragonflyrock.transport.messages import MESSAGES, CallRequest, Envelope, HostRenew

SERVICE = "finder"
SMALL, LARGE = 1000, 4000


class Slope(NamedTuple):
    """A measured cost per object and its unit."""

    name: str
    value: float
    unit: str


def run_capacity(*, json: Path | None = None) -> int:
    """Measure and print the slopes.

    :param json: file to write the slopes to as JSON
    """
    slopes = [
        *measure_state(),
        *measure_leader(),
        *measure_messages(),
        *measure_ledger(),
        *measure_log(),
    ]
    for slope in slopes:
        print(f"{slope.name:52}  {slope.value:12.3f}  {slope.unit}")
    if json is not None:
        json.write_text(json_module.dumps([s._asdict() for s in slopes], indent=1))
    return 0


def make_state(ranges: int, servers: int, contracts: int) -> ControlState:
    """Return a control state with these counts, in which a server owns every range."""
    state = ControlState()
    apply(state, c.DeclareService(SERVICE, ranges))
    for number in range(servers):
        announcement = make_announcement(number, 1)
        row = make_server_row(announcement, make_policy())
        apply(state, c.RegisterServer(row))
    for number in range(contracts):
        contract = Contract(
            f"c{number}", (f"{number:064x}",), (SERVICE,), 1, 1, 1, 1, 1
        )
        apply(state, c.PutContract(f"id{number}", "operator", 0, contract))
    moves = [
        c.Move(SERVICE, row.low, 0, f"server-{i % max(1, servers)}@1", True)
        for i, row in enumerate(state.ranges)
    ]
    if servers:
        apply(state, c.BeginMoves(tuple(moves)))
        begun = tuple(c.MoveRef(SERVICE, row.low, row.revision) for row in state.ranges)
        apply(state, c.FinishMoves(begun))
    return state


def apply(state: ControlState, command: c.Command) -> None:
    """Apply a command as the next log entry."""
    state.apply(state.revision + 1, c.COMMANDS.encode(command))


def make_policy() -> ServicePolicy:
    """Return the policy of a service."""
    return ServicePolicy(64, PlacementPolicy())


def make_announcement(number: int, sequence: int) -> calls.Announcement:
    """Return a server's announcement."""
    return calls.Announcement(
        f"server-{number}",
        SERVICE,
        f"10.0.{number // 250}.{number % 250}:8000",
        "zone-1",
        1,
        sequence,
        2,
        130,
        0.5,
        True,
        True,
        0,
    )


def measure_memory(make: Callable[[], object]) -> float:
    """Return the bytes allocated by a new object."""
    gc.collect()
    tracemalloc.start()
    created = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return size


def measure_time(run: Callable[[], object], repeat: int = 5) -> float:
    """Return the shortest processor time of some runs, in seconds."""
    shortest = float("inf")
    for _ in range(repeat):
        started = time.process_time()
        run()
        shortest = min(shortest, time.process_time() - started)
    return shortest


def compute_slope(small: float, large: float) -> float:
    """Return the cost per object, from the costs of the two counts."""
    return (large - small) / (LARGE - SMALL)


def measure_state() -> list[Slope]:
    """Measure the control state, its snapshot and an entry host's copy."""
    slopes = []
    for name, sizes in (
        ("range", lambda n: (n, 1, 0)),
        ("backend server", lambda n: (1, n, 0)),
        ("contract", lambda n: (1, 1, n)),
    ):
        small, large = (make_state(*sizes(n)) for n in (SMALL, LARGE))
        memory_sizes = [
            measure_memory(lambda n=n, sizes=sizes: make_state(*sizes(n)))  # type: ignore[misc]
            for n in (SMALL, LARGE)
        ]
        slopes.append(
            Slope(
                f"control state: memory per {name}", compute_slope(*memory_sizes), "B"
            )
        )
        snapshot_sizes = [len(state.dump()) for state in (small, large)]
        slopes.append(
            Slope(f"snapshot: bytes per {name}", compute_slope(*snapshot_sizes), "B")
        )
        entry_sizes = [
            measure_memory(lambda s=s: make_entry(s))  # type: ignore[misc]
            for s in (small, large)
        ]
        slopes.append(
            Slope(f"entry copy: memory per {name}", compute_slope(*entry_sizes), "B")
        )
        times = [measure_time(state.dump) for state in (small, large)]
        slopes.append(
            Slope(f"snapshot: time per {name}", compute_slope(*times) * 1e6, "us")
        )
    return slopes


def make_entry(state: ControlState) -> EntryTables:
    """Return an entry host's copy of the state, from an encoded update."""
    tables = EntryTables()
    leader = make_leader(state)
    update, _ = leader.renew_host(make_renew("e", 0), state.revision, 0.0)
    tables.apply(MESSAGES.decode(MESSAGES.encode(update)), 1.5, 0.0)
    return tables


def make_leader(state: ControlState) -> ControlLeader:
    """Return a leader that may move ranges from time 10 on."""
    events = EventRing("leader", HybridClock())
    return ControlLeader(
        "leader", 1, state, {SERVICE: make_policy()}, LeaderTiming(), events, 0.0
    )


def make_renew(host: str, revision: int) -> HostRenew:
    """Return an entry host's renewal."""
    return HostRenew(make_host(host), 1.0, revision, (), ())


def make_host(name: str) -> HostRecord:
    """Return an entry host."""
    return HostRecord(name, 1, "zone-1", "10.0.0.1:1", "10.0.0.1:2")


def measure_leader() -> list[Slope]:
    """Measure the leader's processor time by kind of work."""
    slopes = []
    announces, renewals, tick_servers, tick_ranges, move_times = [], [], [], [], []
    for count in (SMALL, LARGE):
        state = make_state(64, count, 0)
        leader = make_leader(state)
        announcements = [make_announcement(i, 2) for i in range(count)]

        def announce_all(
            leader: ControlLeader = leader,
            listed: list = announcements,  # type: ignore[type-arg]
        ) -> None:
            for item in listed:
                leader.receive_announcement(item, 10.0)

        announces.append(measure_time(announce_all))
        for number in range(count):
            apply(state, c.RegisterHost(make_host(f"host-{number}")))
        hosts = [make_renew(f"host-{i}", state.revision) for i in range(count)]

        def renew_all(
            leader: ControlLeader = leader,
            hosts: list = hosts,  # type: ignore[type-arg]
            revision: int = state.revision,
        ) -> None:
            for item in hosts:
                leader.renew_host(item, revision, 10.0)

        renewals.append(measure_time(renew_all))
        tick_servers.append(measure_time(lambda leader=leader: leader.tick(10.0)))  # type: ignore[misc]
        state = make_state(count, 8, 0)
        leader = make_leader(state)
        for number in range(8):
            leader.receive_announcement(make_announcement(number, 2), 10.0)
        tick_ranges.append(measure_time(lambda leader=leader: leader.tick(10.0)))  # type: ignore[misc]
        moves = tuple(
            c.Move(SERVICE, row.low, row.epoch, "server-0@1", True)
            for row in state.ranges
        )
        apply(state, c.BeginMoves(moves))
        move_times.append(measure_time(lambda leader=leader: leader.tick(10.1), 1))  # type: ignore[misc]
    slopes.append(
        Slope("leader: time per announcement", compute_slope(*announces) * 1e6, "us")
    )
    slopes.append(
        Slope("leader: time per renewal", compute_slope(*renewals) * 1e6, "us")
    )
    slopes.append(
        Slope("leader: tick per server", compute_slope(*tick_servers) * 1e6, "us")
    )
    slopes.append(
        Slope("leader: tick per range", compute_slope(*tick_ranges) * 1e6, "us")
    )
    slopes.append(
        Slope("leader: move per lost range", compute_slope(*move_times) * 1e6, "us")
    )
    return slopes


def measure_messages() -> list[Slope]:
    """Measure the sizes of messages on the links, and the time to decode one."""
    clock = HybridClock()

    def measure_envelope(message: object) -> int:
        body = MESSAGES.encode(message)
        return len(MESSAGES.encode(Envelope("gulberg-1", clock.stamp(), body)))

    state = make_state(64, 16, 8)
    leader = make_leader(state)
    renew = make_renew("host-1", state.revision)
    idle, _ = leader.renew_host(renew, state.revision, 10.0)
    contract = state.contracts["c1"].contract
    before = state.revision
    apply(state, c.PutContract("x", "operator", 1, contract))
    changed, _ = leader.renew_host(make_renew("host-1", before), state.revision, 10.0)
    call = CallRequest(1, "control", calls.CALLS.encode(make_announcement(1, 2)))
    grants, _ = leader.receive_announcement(make_announcement(1, 3), 10.0)
    encoded = MESSAGES.encode(changed)
    return [
        Slope("link: renewal", measure_envelope(renew), "B"),
        Slope("link: answer without changes", measure_envelope(idle), "B"),
        Slope(
            "link: contract in an update",
            measure_envelope(changed) - measure_envelope(idle),
            "B",
        ),
        Slope("link: announcement", measure_envelope(call), "B"),
        Slope("link: grants of 4 ranges", len(calls.CALLS.encode(grants)), "B"),
        Slope(
            "link: decode an update",
            measure_time(lambda: [MESSAGES.decode(encoded) for _ in range(1000)]) * 1e3,
            "us",
        ),
    ]


def measure_ledger() -> list[Slope]:
    """Measure the memory, snapshot size and time of the request ledger."""
    answer = RecordedResponse(200, (("Content-Type", "application/json"),), b"x" * 200)

    def fill(count: int) -> Ledger:
        ledger = Ledger(10**6, 10**9)
        for number in range(count):
            reserve = Reserve(f"customer/{number}", "f" * 64, f"{number:032x}", number)
            ledger.apply(1, LEDGER_COMMANDS.encode(reserve))
            complete = Complete(reserve.key, reserve.request_id, answer)
            ledger.apply(1, LEDGER_COMMANDS.encode(complete))
        return ledger

    memory_sizes = [measure_memory(lambda n=n: fill(n)) for n in (SMALL, LARGE)]  # type: ignore[misc]
    snapshot_sizes = [len(fill(n).dump()) for n in (SMALL, LARGE)]
    times = [measure_time(lambda n=n: fill(n), 2) for n in (SMALL, LARGE)]  # type: ignore[misc]
    return [
        Slope(
            "ledger: memory per key (answer of 200 B)",
            compute_slope(*memory_sizes),
            "B",
        ),
        Slope("ledger: snapshot per key", compute_slope(*snapshot_sizes), "B"),
        Slope("ledger: time per key", compute_slope(*times) * 1e6, "us"),
    ]


def measure_log() -> list[Slope]:
    """Measure the commits of one voter, with one and with many entries per sync."""
    with tempfile.TemporaryDirectory() as folder:
        group = open_group(
            "control",
            "a",
            Path(folder),
            ("a",),
            Timing(),
            Random(1),
            ControlState(),
            0.0,
        )
        now = 1.0
        group.tick(now)
        group.flush(now)
        group.flush(now)
        command = c.COMMANDS.encode(c.CancelMoves(()))
        slopes = []
        for batch in (1, 100):
            started, cpu = time.perf_counter(), time.process_time()
            count = 400
            for _ in range(count // batch):
                for _ in range(batch):
                    group.propose(command, lambda result: None)
                group.flush(now)
            elapsed = (time.perf_counter() - started) / count
            used = (time.process_time() - cpu) / count
            slopes.append(
                Slope(f"log: commit in batches of {batch}", elapsed * 1e6, "us")
            )
            slopes.append(
                Slope(f"log: processor, batches of {batch}", used * 1e6, "us")
            )
        group.close()
    return slopes


if __name__ == "__main__":
    sys.exit(defopt.run(run_capacity))
