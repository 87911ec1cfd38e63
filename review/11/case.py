"""A request that crashes its key's owner again and again, each time under the same id."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab3 import *

FOLDER = Path(__file__).resolve().parent
BAD_KEY, BAD_PATH, BAD_BODY = "777", "/f/bad", b"the request that crashes"
TOUCH_SECONDS = 3.0
DOWN_SECONDS = 3.0
ALLOWED_RETRIES = 3
LENGTH_SECONDS = 45


class Fragile(KeyedBackend):
    """A backend that the bad request crashes; it is back after some seconds."""

    trouble = True
    is_dying = False

    async def start(self):
        self.is_dying = False
        await super().start()

    async def work_on(self, request, target, headers, body, writer):
        if body != BAD_BODY or not self.trouble:
            await super().work_on(request, target, headers, body, writer)
            return
        self.lab.note("run", request=request, backend=self.id, life=self.life, bad=True)
        if not self.is_dying:
            self.is_dying = True
            self.lab.tasks.append(asyncio.create_task(self.restart(DOWN_SECONDS)))
        await asyncio.sleep(60)


async def main(trouble):
    Fragile.trouble = trouble
    lab = Lab(FOLDER / "record.txt", entries=3)
    lab.tasks = []
    lab.backends = [Fragile(lab, "find", n + 1, ZONES[n]) for n in range(3)]
    service = {"find": {"sharded": True, "warmS": 3.0, "grants": "call"}}
    try:
        await lab.start()
        await lab.put(make_config(5, service, [("r1", "safe", "/f/", "find", {})]), 0)
        await lab.wait_ready()
        await asyncio.sleep(5)
        end = lab.now() + LENGTH_SECONDS

        async def send_others():
            while lab.now() < end:
                key = {PREFIX + "Shard-Key": str(random.randrange(65536))}
                await lab.request(random.choice(lab.entries), "/f/good", **key)
                await asyncio.sleep(0.2)

        async def send_bad():
            while lab.now() < end:
                key = {PREFIX + "Shard-Key": BAD_KEY}
                await lab.request(random.choice(lab.entries), BAD_PATH, body=BAD_BODY, **key)
                await asyncio.sleep(1.0)

        await asyncio.gather(send_bad(), *(send_others() for _ in range(4)))
        served = [f for _, f in lab.select("answered", status=200)]
        if len(served) < 100:
            raise Cannot(f"only {len(served)} requests were served")
        crashes = lab.select("crash")
        if len(crashes) < 3:
            return ""
        since = crashes[2][0] + TOUCH_SECONDS
        late = [at for at, _ in lab.select("run", bad=True) if at > since]
        lab.note("judged", crashes=len(crashes), third=round(crashes[2][0], 3), late=len(late))
        if len(late) <= ALLOWED_RETRIES:
            return ""
        return (
            f"{len(crashes)} crashes; the request reached backends {len(late)} times later"
            f" than {TOUCH_SECONDS} s after the third one"
        )
    finally:
        for task in lab.tasks:
            task.cancel()
        lab.close()


run(main)
