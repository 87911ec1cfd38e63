"""Case 7: the heartbeat of another writer ends the control nodes."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_ins_2 import HEARTBEAT_SECONDS, ROUTES, ZONES, Callers, Server, call, run_case

WATCH_SECONDS = 30.0
# More than any 64-bit number.
ODD_SEQUENCE = 2**64 + 4


async def write_otherwise(deployment, record) -> None:
    """Announce a server that is none of ours, as its own kind of writer does."""
    body = {
        "service": "ledger",
        "address": f"{deployment.make_ip(9, 9)}:9000",
        "zone": ZONES[0],
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmupRemainingMs": 2000,
        "sequence": ODD_SEQUENCE,
    }
    path = "/-/instances/other-writer/heartbeat"
    while True:
        # As PROTOCOL says: the next node is called where one does not acknowledge.
        for node in deployment.controls:
            answer = await call(node.address, "POST", path, json.dumps(body).encode())
            status = answer.status if answer is not None else "none"
            record.add("odd-heartbeat", node=node.name, status=status)
            if answer is not None and 200 <= answer.status < 300:
                break
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def play(deployment, record, trouble) -> list[str]:
    await deployment.start()
    for number, zone in enumerate(ZONES):
        for kind, service in enumerate(("finder", "engage")):
            ip = deployment.make_ip(3 + kind, number + 1)
            await Server(deployment, f"i-{service}-{number}", service, zone, ip).start()
    await deployment.put_config(1, ROUTES)
    await deployment.wait_ready()
    callers = Callers(deployment)
    callers.start("/search/", 10)
    callers.start("/book/", 10, "POST")
    await asyncio.sleep(8)
    writer = asyncio.create_task(write_otherwise(deployment, record)) if trouble else None
    await asyncio.sleep(WATCH_SECONDS)
    if writer is not None:
        writer.cancel()
    await callers.stop()
    ends = {node.name: len(node.own_ends) for node in deployment.nodes}
    record.add("own-ends", **{name: count for name, count in ends.items()})
    # RULES, Fault: on half of the core, processes end by themselves three times.
    core = [node.name for node in deployment.controls if len(node.own_ends) >= 3]
    if 2 * len(core) >= len(deployment.controls):
        return [f"processes ended by themselves, without any fault of a machine: {ends}"]
    return []


run_case(__file__, play)
