"""An order to take a zone back that a frozen control node reads when it wakes."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab3 import *

FOLDER = Path(__file__).resolve().parent
ZONE = "b"
FREEZE_SECONDS = 4.0
EVACUATION_SECONDS = 5.0
STORM_GAP_SECONDS = 0.33
WATCH_SECONDS = 11.0


async def send_order(lab, order, node):
    """Send one order as the operator does, and note its answer."""
    answer = await call(node.control, "POST", f"/-/evacuate/{ZONE}/{order}")
    lab.note("order", order=order, node=node.name, status=answer.status, why=answer.why)
    return 200 <= answer.status < 300


async def send_until_accepted(lab, order, nodes):
    """Send an order, and the same again to the next node without a clear answer."""
    for attempt in range(20):
        if await send_order(lab, order, nodes[attempt % len(nodes)]):
            return lab.now()
        await asyncio.sleep(min(0.05 * 2**attempt, 0.4))
    raise Cannot(f"{order} was not accepted")


async def main(trouble):
    lab = Lab(FOLDER / "record.txt", entries=3)
    # As many backends as a small deployment has; the frozen node's calls wait unread.
    lab.backends = [Backend(lab, "book", n + 1, ZONES[n % 3]) for n in range(36)]
    try:
        await lab.start()
        rules = [("r1", "safe", "/b/", "book", {})]
        await lab.put(make_config(5, {"book": {}}, rules), 0)
        await lab.wait_ready()
        await asyncio.sleep(4)
        leader = await lab.find_leader()
        frozen, other = [node for node in lab.controls if node is not leader]
        awake = [leader, other]
        await send_until_accepted(lab, "start", awake)
        await asyncio.sleep(1)
        since = lab.now()
        if trouble:
            frozen.signal(signal.SIGSTOP)
            lab.note("frozen", node=frozen.name)
        # The operator picks the frozen node, hears nothing for a second, and sends the
        # same order to another one, which accepts it.
        await send_until_accepted(lab, "end", [frozen, *awake])
        # The zone is still not well, so it is evacuated again.
        accepted = await send_until_accepted(lab, "start", awake)
        # Two configurations, as far apart as in a config_storm of the site.
        for version in (7, 9):
            config = json.dumps(make_config(version, {"book": {}}, rules)).encode()
            base = {PREFIX + "Base-Version": f"r{version - 2}"}
            await call(leader.control, "POST", "/-/config/put", config, base)
            await asyncio.sleep(STORM_GAP_SECONDS)
        await asyncio.sleep(max(0.0, since + FREEZE_SECONDS - lab.now()))
        frozen.signal(signal.SIGCONT)
        woken = lab.now()
        lab.note("woken", node=frozen.name)
        end = woken + WATCH_SECONDS

        async def send_requests():
            while lab.now() < end:
                await lab.request(random.choice(lab.entries), "/b/x")
                await asyncio.sleep(0.05)

        await asyncio.gather(*(send_requests() for _ in range(4)))
        # Machines are in touch again 3 s after the thaw.
        judged_from = max(accepted + EVACUATION_SECONDS, woken + 3.0)
        late = [at for at, _ in lab.select("run", zone=ZONE) if at > judged_from]
        runs = [at for at, _ in lab.select("run") if at > judged_from]
        lab.note("judged", accepted=round(accepted, 3), late=len(late), runs=len(runs))
        if len(runs) < 50:
            raise Cannot(f"only {len(runs)} requests were run")
        if not late:
            return ""
        return (
            f"{len(late)} of {len(runs)} requests reached zone {ZONE} later than"
            f" {EVACUATION_SECONDS} s after its evacuation was acknowledged"
        )
    finally:
        lab.close()


run(main)
