"""A simulation of a leader and servers that it tells by heartbeat what they hold."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from dragonflyrock.control.calls import HeartbeatAccepted
from dragonflyrock.control.directed import DirectedLeader
from dragonflyrock.control.directed_models import (
    FreedPart,
    HeldPart,
    ProbeOrder,
    ServerHeartbeat,
)
from dragonflyrock.errors import Refusal
from dragonflyrock.models import GrantedBy

from .directed_world import (
    KEY_STEP,
    SERVICE,
    TIMING,
    DirectedWorld,
    HeldKey,
    ServerInstance,
)

BEAT_SECONDS: Final = 0.87
RELEASING_BEAT_SECONDS: Final = 0.1
CALL_TIMEOUT_SECONDS: Final = 1.0
COMMIT_SECONDS: Final = 0.02


@dataclass(slots=True)
class ToldServer:
    """What a server that is told by heartbeat keeps beside its keys.

    ``working`` has until when it works on requests of keys that it was to release,
    ``freed`` the keys released since its last acknowledged heartbeat.
    """

    working: dict[int, float] = field(default_factory=dict)
    freed: dict[int, str] = field(default_factory=dict)
    calling_since: float = -1.0
    frozen_until: float = 0.0


class HeartbeatWorld(DirectedWorld):
    """A world of servers that release what an answer leaves out."""

    def __init__(self, seed: int, servers: int = 4) -> None:
        """Start with servers that announce themselves."""
        self.told: dict[str, ToldServer] = {}
        self.rows_at_once = 0
        super().__init__(seed, servers, says_born=True)

    def _make_leader(self) -> DirectedLeader:
        """Return a newly elected leader that answers heartbeats with holds."""
        timing = TIMING._replace(granted_by=GrantedBy.HEARTBEAT)
        return DirectedLeader(self.state, timing, lambda *_, **__: None, self.now)

    def restart(self, instance: ServerInstance) -> None:
        """Restart a server at once under its name."""
        self._begin_life(instance)
        self.told[instance.name] = ToldServer()

    def freeze(self, instance: ServerInstance, seconds: float) -> None:
        """Suspend a server; what it holds goes on expiring."""
        self.told.setdefault(instance.name, ToldServer()).frozen_until = (
            self.now + seconds
        )

    def _handle(self, event: object) -> None:
        """Handle a scheduled event."""
        match event:
            case ("again", str(name)):
                instance, told = self.instances[name], self.told[name]
                if instance.running and self.now >= told.frozen_until:
                    self._call(instance, told)
            case ("call", leader, ServerHeartbeat() as heartbeat):
                self._receive_call(leader, heartbeat)  # type: ignore[arg-type]
            case ("assign", leader, ServerHeartbeat() as heartbeat, float(received)):
                self._assign(leader, heartbeat, received)  # type: ignore[arg-type]
            case ("answer", ServerHeartbeat() as heartbeat, float(sent), answer):
                self._receive_answer(heartbeat, sent, answer)  # type: ignore[arg-type]
            case _:
                super()._handle(event)

    def _send_heartbeat(self, instance: ServerInstance) -> None:
        """Send a server's heartbeat, which may be lost or arrive seconds late."""
        if not instance.running:
            return
        told = self.told.setdefault(instance.name, ToldServer())
        if self.now < told.frozen_until:
            self._schedule(told.frozen_until, ("beat", instance.name))
            return
        self._schedule(self.now + BEAT_SECONDS, ("beat", instance.name))
        self._call(instance, told)

    def _call(self, instance: ServerInstance, told: ToldServer) -> None:
        """Send one heartbeat to the leader."""
        instance.sequence += 1
        told.calling_since = self.now
        if instance.cut_off:
            return
        held = {
            key: value.fence
            for key, value in instance.keys.items()
            if value.until > self.now or told.working.get(key, 0.0) > self.now
        }
        heartbeat = ServerHeartbeat(
            instance.name,
            SERVICE,
            instance.address,
            "a",
            2,
            instance.sequence,
            instance.leaving,
            held=tuple(HeldPart(*_span(k), fence) for k, fence in held.items()),
            freed=tuple(FreedPart(*_span(k), t) for k, t in told.freed.items()),
            born=instance.born,
        )
        delay = self.random.uniform(0.001, 0.04)
        if self.random.random() < self.faults.late:
            delay = self.random.uniform(0.5, 8.0)
        if self.random.random() >= self.faults.lost:
            self._schedule(self.now + delay, ("call", self.leader, heartbeat))

    def _receive_call(self, leader: DirectedLeader, heartbeat: ServerHeartbeat) -> None:
        """Have the leader receive a heartbeat; a delayed one reaches the new leader."""
        while (
            command := self.leader.receive_heartbeat(heartbeat, self.now)
        ) is not None:
            if isinstance(command, Refusal):
                return
            self.commit(command)
        commands = self.leader.receive_holds(heartbeat, self.now)
        for each in commands:
            self._schedule(self.now + COMMIT_SECONDS, ("commit", self.leader, each))
        wait = COMMIT_SECONDS if commands else 0.0
        event = ("assign", self.leader, heartbeat, self.now)
        self._schedule(self.now + wait, event)

    def _assign(
        self, leader: DirectedLeader, heartbeat: ServerHeartbeat, received: float
    ) -> None:
        """Have the leader answer a heartbeat, once its commands are applied."""
        if leader is not self.leader:
            return
        answer = leader.answer_heartbeat(heartbeat, received, self.now)
        if self.random.random() < self.faults.unanswered:
            return
        delay = self.random.uniform(0.001, 0.04)
        if self.random.random() < self.faults.late:
            delay = self.random.uniform(0.5, 3.0)
        event = ("answer", heartbeat, received, answer)
        self._schedule(self.now + delay, event)

    def _receive_answer(
        self, heartbeat: ServerHeartbeat, sent: float, answer: HeartbeatAccepted
    ) -> None:
        """Have a server take an answer, unless its call has ended already."""
        instance = self.instances[heartbeat.name]
        told = self.told[heartbeat.name]
        overdue = self.now - told.calling_since > CALL_TIMEOUT_SECONDS
        if not instance.running or self.now < told.frozen_until:
            return
        if heartbeat.sequence != instance.sequence or overdue:
            return
        if heartbeat.born != instance.born:
            return
        for part in heartbeat.freed:
            told.freed.pop(part.low // KEY_STEP, None)
        if answer.held is not None:
            self._take_rows(instance, told, answer)

    def _take_rows(
        self, instance: ServerInstance, told: ToldServer, answer: HeartbeatAccepted
    ) -> None:
        """Hold what an answer names, and release the rest."""
        assert answer.held is not None
        self.rows_at_once = max(self.rows_at_once, len(answer.held))
        span = answer.hold_ms / 1000 * (1 + instance.slowness)
        until = told.calling_since + span
        named: set[int] = set()
        for row in answer.held:
            keys = range(row.low // KEY_STEP, row.high // KEY_STEP + 1)
            if any(
                instance.keys[k].fence > row.epoch for k in keys if k in instance.keys
            ):
                continue
            named.update(keys)
            for key in keys:
                held = instance.keys.get(key, HeldKey(row.epoch, 0.0))
                instance.keys[key] = HeldKey(row.epoch, max(held.until, until))
                life = f"{instance.name} of {instance.born}"
                self._check_fence(key, row.epoch, instance.name, life)
                self._check_sole_holder(key)
        for key, held in list(instance.keys.items()):
            if key in named or held.until <= self.now:
                continue
            instance.keys[key] = HeldKey(held.fence, 0.0)
            told.working[key] = min(
                held.until, self.now + self.random.choice((0.0, 0.1, 0.3, 1.5))
            )
            told.freed[key] = f"token-{key}-{held.fence}"
        if any(end > self.now for end in told.working.values()):
            when = self.now + RELEASING_BEAT_SECONDS
            self._schedule(when, ("again", instance.name))

    def holders(self, key: int) -> list[str]:
        """Return the servers that hold a key, or work on it although released."""
        names = super().holders(key)
        for name, told in self.told.items():
            busy = self.instances[name].running and name not in names
            if busy and told.working.get(key, 0.0) > self.now:
                names.append(name)
        return names

    def _send(self, order: object) -> None:
        """Send an order; these servers take probes only."""
        if not isinstance(order, ProbeOrder):
            self.violations.append(f"{self.now:.2f}: sent {order}")
            return
        super()._send(order)


def _span(key: int) -> tuple[int, int]:
    """Return the hashes of a key, both ends included."""
    return key * KEY_STEP, (key + 1) * KEY_STEP - 1
