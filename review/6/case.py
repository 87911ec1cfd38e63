"""Case 6: a control node that starts again takes the answer to a call of its former process."""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_ins_2 import CONTROL_PORT, ROUTES, CannotRunError, call, find_leader, run_case

RUN_SECONDS = 90.0
# The kill comes while the order is on its way: after these shares of the time that a change
# takes through such a node on this machine.
KILL_AFTER_SHARES = (0.4, 0.5, 0.6, 0.7, 0.3)
MEASURED_CHANGES = 7
DOWN_SECONDS = 0.2
LATER_SECONDS = 0.3
SETTLE_SECONDS = 1.5


class Change:
    """An order of one operator: a new timeout, on top of a version."""

    def __init__(self, deployment, config, operator: str, base: int, timeout_ms: int):
        self.deployment, self.operator, self.base = deployment, operator, base
        changed = json.loads(json.dumps(config))
        changed["version"] = f"r{base + 1}"
        changed["listeners"][0]["rules"][0]["action"]["timeoutMs"] = timeout_ms
        self.body = json.dumps(changed).encode()
        self.timeout_ms = timeout_ms
        self.status = 0

    async def send(self, node) -> bool:
        """Send it to a node; return whether there is a clear answer."""
        headers = {"X-Dragonflyrock-Base-Version": f"r{self.base}"}
        answer = await call(node.address, "POST", "/-/config/put", self.body, headers)
        status = answer.status if answer is not None else 0
        self.deployment.record.add(
            "change",
            operator=self.operator,
            base=self.base,
            timeout_ms=self.timeout_ms,
            node=node.name,
            status=status or "none",
        )
        if status in (200, 400, 409, 412, 413, 422):
            self.status = status
        return bool(self.status)

    async def send_on(self, nodes) -> None:
        """Send it again, unchanged, until there is a clear answer."""
        for pause in (0.25, 0.5, 1.0, 1.0, 1.0, 1.0):
            for node in nodes:
                if await self.send(node):
                    return
            await asyncio.sleep(pause)


async def read_config(deployment):
    answer = await deployment.operate("GET", "/-/config/get")
    return json.loads(answer.body)


def read_version(config) -> int:
    return int(config["version"][1:])


async def measure_change(deployment) -> float:
    """Return the median time of a change that a node passes to the leader."""
    leader = await find_leader(deployment)
    # Not through the node that the first round uses: that one has had no call yet.
    follower = [node for node in deployment.controls if node is not leader][-1]
    times = []
    for number in range(MEASURED_CHANGES):
        answer = await call(leader.address, "GET", "/-/config/get")
        if answer is None or answer.status != 200:
            raise CannotRunError("the leader doesn't read the configuration back")
        config = json.loads(answer.body)
        change = Change(deployment, config, "one", read_version(config), 1100 + number)
        began = deployment.record.now()
        if not await change.send(follower):
            await change.send_on([leader])
        times.append(deployment.record.now() - began)
    return sorted(times)[len(times) // 2]


async def start_later(node) -> None:
    """Start a process a little later than the other one."""
    await asyncio.sleep(LATER_SECONDS)
    await node.start()


async def play_round(deployment, record, trouble, kill_after, first) -> list[str]:
    leader = await find_leader(deployment)
    follower, other = [node for node in deployment.controls if node is not leader]
    if trouble and not first:
        # A process that was started lately, as in the first round.
        await follower.kill()
        await asyncio.sleep(DOWN_SECONDS)
        await follower.start()
        await asyncio.sleep(SETTLE_SECONDS)
        if await find_leader(deployment) is not leader:
            return []
    answer = await call(leader.address, "GET", "/-/config/get")
    if answer is None or answer.status != 200:
        return []
    config = json.loads(answer.body)
    base = read_version(config)
    one = Change(deployment, config, "one", base, 1200 + base)
    two = Change(deployment, config, "two", base, 1300 + base)
    if trouble:
        first = asyncio.create_task(one.send(follower))
        await asyncio.sleep(kill_after)
        # Two of the three processes are killed at the same moment, and start again.
        record.add("herd-kill", nodes=f"{follower.name},{other.name}")
        await asyncio.gather(follower.kill(), other.kill())
        await first
        await asyncio.sleep(DOWN_SECONDS)
        await follower.start()
        restart = asyncio.create_task(start_later(other))
        # The second operator calls the node as soon as it is there.
        while True:
            try:
                _, writer = await asyncio.open_connection(follower.ip, CONTROL_PORT)
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.005)
        await two.send(follower)
        await restart
    else:
        await asyncio.gather(one.send(follower), two.send(follower))
    nodes = [leader, follower, other]
    for change in (one, two):
        if not change.status:
            await change.send_on(nodes)
    await asyncio.sleep(0.5)
    final = await read_config(deployment)
    rule = final["listeners"][0]["rules"][0]["action"]
    record.add("read", version=final["version"], timeout_ms=rule["timeoutMs"])
    if one.status == two.status == 200:
        return [
            f"two changes on top of r{base} were both acknowledged, with timeouts of"
            f" {one.timeout_ms} and {two.timeout_ms} ms; in force is {rule['timeoutMs']} ms"
        ]
    return []


async def play(deployment, record, trouble) -> list[str]:
    await deployment.start()
    await find_leader(deployment)
    await asyncio.sleep(SETTLE_SECONDS)
    leader = await find_leader(deployment)
    await deployment.put_config(1, ROUTES, leader)
    usual = await measure_change(deployment)
    record.add("usual", seconds_of_a_change=f"{usual:.4f}")
    for number, share in enumerate(itertools.cycle(KILL_AFTER_SHARES)):
        kill_after = usual * share
        if record.now() > (RUN_SECONDS if trouble else RUN_SECONDS / 3):
            break
        record.add("round", number=number, kill_after=f"{kill_after:.4f}")
        broken = await play_round(deployment, record, trouble, kill_after, number == 0)
        if broken:
            return broken
    return []


run_case(__file__, play)
