"""Schedules of faults of control hosts that overlap, as far as they must be borne.

A host that is killed, cut off, frozen, wiped or replaced counts as lost until it, or
its successor, has run for four seconds; at most as many count at a time as a group
tolerates. Two more faults may come at any moment: a cut into halves, and the kill of
all processes at once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from .common import admit
from .test_member_schedules import (
    CATCH_UP_SECONDS,
    REPLACEMENT_DELAY_SECONDS,
    Schedule,
)

STEP_SECONDS: Final = 0.25
FAULT_COUNT: Final = 8
# Time for all hosts to be whole again before the last fault, and after it.
SETTLE_SECONDS: Final = 9.0
RECOVERY_SECONDS: Final = 15.0
GAP_SECONDS: Final = (0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0)
KILL_SECONDS: Final = (0.3, 0.75, 3.0)
CUT_SECONDS: Final = (1.0, 3.0, 5.5)
WIPE_SECONDS: Final = (0.5, 3.0)
PLANNED_SECONDS: Final = 1.0
FREEZE_SECONDS: Final = 3.0
RESTART_SECONDS: Final = (0.6, 0.9)
LAST_WIPE_SHARE: Final = 0.6
LAST_FAULT_SHARE: Final = 0.7
KINDS: Final = (
    "replace",
    "replace",
    "wipe",
    "replace-planned",
    "kill",
    "kill-all",
    "cut",
    "halves",
    "freeze",
    "none",
)
UNBOUNDED_KINDS: Final = frozenset(("kill-all", "halves"))


class OverlappingFaults(Schedule):
    """A schedule whose faults begin while others last."""

    def __init__(
        self,
        seed: int,
        size: int,
        target: int,
        tolerance: int,
        snapshot_entries: int = 0,
    ) -> None:
        """Start a group of ``size`` that tolerates the loss of ``tolerance`` hosts."""
        super().__init__(seed, size, target, snapshot_entries)
        if self.cluster.leader() is None:
            self.cluster.wait_for_leader()
        self.played: list[str] = []
        self._tolerance = tolerance
        self._lost_until: list[float] = []
        self._due: list[tuple[float, Callable[[], None]]] = []

    def play_all(self) -> None:
        """Play the faults, then a kill of all hosts at once, most often."""
        for _ in range(FAULT_COUNT):
            self.begin(self.random.choice(KINDS))
            self.advance(self.random.choice(GAP_SECONDS))
        self.settle(SETTLE_SECONDS)
        if self.random.random() < LAST_FAULT_SHARE:
            self._kill_all_and_wipe_one()
        self.settle(RECOVERY_SECONDS)

    def advance(self, seconds: float) -> None:
        """Advance the time, and end the faults that are due."""
        until = self.cluster.now + seconds
        while self.cluster.now < until:
            now = self.cluster.now
            due = [item for item in self._due if item[0] <= now]
            self._due = [item for item in self._due if item[0] > now]
            for _, end in due:
                end()
            admit(self.cluster, STEP_SECONDS)
            self.cluster.propose(b"change")
            self.take_due_snapshots()

    def settle(self, seconds: float) -> None:
        """Advance the time, and on until every fault has ended."""
        self.advance(seconds)
        while self._due:
            self.advance(STEP_SECONDS)

    def begin(self, kind: str) -> None:
        """Begin a fault of a host, most often the leader, if it must be borne now."""
        running = [
            name
            for name in self.names
            if name in self.cluster.replicas and name not in self.cluster.frozen
        ]
        if not running:
            return
        leader = self.cluster.leader()
        name = self.random.choice(running)
        if leader is not None and self.random.random() < 0.4:
            name = leader.me.name
        now = self.cluster.now
        self._lost_until = [until for until in self._lost_until if until > now]
        if kind not in UNBOUNDED_KINDS and len(self._lost_until) >= self._tolerance:
            return
        self.played.append(f"{now:.2f} {kind} {name}")
        self._begin(kind, name)

    def _begin(self, kind: str, name: str) -> None:
        """Begin a fault, and schedule its end."""
        match kind:
            case "replace":
                self.remove(name)
                self._lose(REPLACEMENT_DELAY_SECONDS, self.add)
            case "replace-planned":
                self.add()
                self._lose(PLANNED_SECONDS, lambda: self._remove_if_used(name))
            case "wipe":
                self.cluster.stop(name)
                seconds = self.random.choice(WIPE_SECONDS)
                self._lose(seconds, lambda: self._start_empty_if_used(name))
            case "kill":
                self.cluster.stop(name)
                seconds = self.random.choice(KILL_SECONDS)
                self._lose(seconds, lambda: self._restart_if_stopped(name))
            case "freeze":
                self.cluster.frozen.add(name)
                self._lose(FREEZE_SECONDS, lambda: self.cluster.frozen.discard(name))
            case "cut":
                self.cluster.isolate(name)
                seconds = self.random.choice(CUT_SECONDS)
                self._lose(seconds, self.cluster.cut_links.clear)
            case "halves":
                count = max(1, len(self.names) // 2)
                self.cluster.isolate(*self.random.sample(self.names, count))
                seconds = self.random.choice(CUT_SECONDS)
                self._end_later(seconds, self.cluster.cut_links.clear)
            case "kill-all":
                for each in self.names:
                    if each in self.cluster.replicas:
                        self._kill_for_a_moment(each)

    def _kill_for_a_moment(self, name: str) -> None:
        """Kill the process of a host, which is back within a second."""
        self.cluster.stop(name)
        seconds = self.random.choice(RESTART_SECONDS)
        self._end_later(seconds, lambda: self._restart_if_stopped(name))

    def _end_later(self, seconds: float, end: Callable[[], None]) -> None:
        """Schedule the end of a fault."""
        self._due.append((self.cluster.now + seconds, end))

    def _lose(self, seconds: float, end: Callable[[], None]) -> None:
        """Schedule the end of a fault of a host that counts as lost meanwhile."""
        self._lost_until.append(self.cluster.now + seconds + CATCH_UP_SECONDS)
        self._end_later(seconds, end)

    def _remove_if_used(self, name: str) -> None:
        """Take a host away, unless another fault has done so."""
        if name in self.names:
            self.remove(name)

    def _start_empty_if_used(self, name: str) -> None:
        """Start a host with an empty disk, unless it was taken away."""
        if name in self.names:
            self.start_empty(name)

    def _restart_if_stopped(self, name: str) -> None:
        """Start a stopped host from its disk, unless it was taken away or started."""
        if name in self.names and name not in self.cluster.replicas:
            self.restart(name)

    def _kill_all_and_wipe_one(self) -> None:
        """Have all hosts lose power at once, one of them maybe its disk too."""
        wiped = self.random.choice(self.names)
        is_wiped = self.random.random() < LAST_WIPE_SHARE
        for name in self.names:
            self.cluster.stop(name)
        self.cluster.run(1.0)
        for name in self.names:
            if name == wiped and is_wiped:
                self.start_empty(name)
            else:
                self.restart(name)
