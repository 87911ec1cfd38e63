"""A configuration that has grown by many routes is changed some hundred times."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import lab

MEMORY_MB = 296  # memoryMb of a core machine
FIRST_ROUTES = 8
# Entries of big_config: the largest dose of the site, and twice that of its troubles.
GROWTHS = (1860, 1400, 1400) if lab.TROUBLE else ()
CHANGES = 220
GAP_SECONDS = 0.33  # config_storm, gap_s
CHANGES_SECONDS = 85.0
READ_SECONDS = 15.0
SERVICES = {"engage": False, "standbook": False}


def make_rules(first: int, count: int) -> list[dict]:
    """Return routes like those of PROTOCOL.md, each split between two services."""
    rules = []
    for number in range(first, first + count):
        rule = lab.make_rule(
            f"r-{number:07x}", f"/lepu{number}/ny95/", "", safe=number % 2 == 0
        )
        rule["action"] = {
            "trafficSplit": [
                {"service": "engage", "weight": 90},
                {"service": "standbook", "weight": 10},
            ],
            "timeoutMs": 1000,
            "maxAttempts": 2,
        }
        rules.append(rule)
    return rules


async def grow(it: lab.Lab, version: int, first: int, count: int) -> None:
    """Add routes by a patch."""
    listener = {"host": lab.HOST, "rules": make_rules(first, count)}
    patch = {"version": f"r{version + 1}", "upsert": {"listeners": [listener]}}
    body = json.dumps(patch, separators=(",", ":")).encode()
    status = await it.put("/-/config/patch", version, body, patience=10.0)
    it.record.add(f"patch to r{version + 1} with {count} more routes: {status}")
    if status != 200:
        raise lab.CannotRun("a patch with more routes was not accepted")


async def read_back(it: lab.Lab) -> tuple[int, int]:
    """Return the version that is read back, 0 if none, and the number of tries."""
    until = it.record.now() + READ_SECONDS
    tries = 0
    while it.record.now() < until:
        node = it.controls[tries % 3]
        tries += 1
        reply = await lab.call(node.control, "GET", "/-/config/get", timeout=1.5)
        it.record.add(f"read at {node.label}: {reply.status if reply else 'no answer'}")
        if reply is not None and reply.status == 200:
            return int(json.loads(reply.body)["version"].removeprefix("r")), tries
        await asyncio.sleep(0.4)
    return 0, tries


async def main(case: Path) -> int:
    it = lab.Lab(case, entries=1)

    async def work(backend: lab.Backend, request: str, path: str, body: bytes) -> None:
        await asyncio.sleep(0.05)

    for number in range(3):
        lab.Backend(it, "engage", work, lab.ZONES[number])
        lab.Backend(it, "standbook", work, lab.ZONES[number])
    try:
        await it.start()
        first = make_rules(0, FIRST_ROUTES)
        await it.put_first(lab.make_config(1, first, SERVICES))
        await it.wait_served("/lepu0/ny95/")
        for node in it.controls:
            node.memory_mb = MEMORY_MB
        version, count = 1, FIRST_ROUTES
        for more in GROWTHS:
            await grow(it, version, count, more)
            version, count = version + 1, count + more
        whole = lab.make_config(version, make_rules(0, count), SERVICES)
        config = json.loads(whole)
        action = config["listeners"][0]["rules"][0]["action"]
        acknowledged = size = 0
        began = it.record.now()
        while acknowledged < CHANGES and it.record.now() - began < CHANGES_SECONDS:
            config["version"] = f"r{version + 1}"
            action["timeoutMs"] += 1
            body = json.dumps(config, separators=(",", ":")).encode()
            size = len(body)
            next_at = it.record.now() + GAP_SECONDS
            status = await it.put("/-/config/put", version, body, patience=6.0)
            if status != 200:
                it.record.add(f"change to r{version + 1} ends: {status}")
                break
            version += 1
            acknowledged += 1
            await asyncio.sleep(next_at - it.record.now())
            if acknowledged % 20 == 0:
                memory = [n.read_memory_mb() for n in it.controls]
                disk = [n.read_disk_mb() for n in it.controls]
                it.record.add(
                    f"r{version} acknowledged; memory {memory}, disk {disk} MB"
                )
        it.record.add(f"newest acknowledged: r{version}; {size} bytes")
        found, tries = await read_back(it)
        ends = [n.memory_ends for n in it.controls]
        peaks = [n.peak_mb for n in it.controls]
        text = (
            f"{count} routes, {acknowledged} changes of {size} bytes acknowledged, the"
            f" newest r{version}; read back for {READ_SECONDS:.0f} s: "
            + (f"r{found}" if found else f"nothing in {tries} tries")
            + f"; control processes ended for their memory {ends} times, peaks {peaks} MB"
        )
        it.record.add(text)
        print(text)
        # The change that got no clear answer may be in force.
        return 0 if found >= version else 1
    finally:
        await it.close()


lab.run(main, Path(__file__).resolve().parent)
