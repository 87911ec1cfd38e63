"""A request that crashes each backend at once comes again: is it kept from backends?"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import lab

CRASH_AFTER_SECONDS = float(os.environ.get("CRASH_AFTER_MS", "0")) / 1000
BACK_SECONDS = 2.0
WINDOW_SECONDS = 3.0  # connectivityWindowMs
ALLOWED_RETRIES = 3
POISON = "/book/poison"
BODY = b'{"expert":17,"day":"monday"}'


async def main(case: Path) -> int:
    it = lab.Lab(case)
    crashes: list[float] = []
    arrivals: list[float] = []
    broken_off: list[str] = []

    async def work(backend: lab.Backend, request: str, path: str, body: bytes) -> None:
        if path != POISON:
            await asyncio.sleep(0.5)
            return
        arrivals.append(it.record.now())
        if CRASH_AFTER_SECONDS:
            await asyncio.sleep(CRASH_AFTER_SECONDS)
        if not lab.TROUBLE:
            return
        crashes.append(it.record.now())
        it.record.add(f"request {request} crashes {backend.id}")
        backend.crash()
        asyncio.get_running_loop().call_later(
            BACK_SECONDS, lambda: it.spawn(backend.start())
        )

    async def ask_often(number: int) -> None:
        client = lab.KeptClient(it, it.entries[number % 3].callers)
        while True:
            request, end = await client.send("POST", f"/book/{number}", 1000, b"{}")
            if end != "200":
                it.record.add(f"request {request} of client {number} ends: {end}")
                broken_off.append(end)
            await asyncio.sleep(0.05)

    for number in range(6):
        lab.Backend(it, "engage", work, lab.ZONES[number % 3], slots=2)
    try:
        await it.start()
        rules = [lab.make_rule("book", "/book/", "engage", safe=False)]
        await it.put_first(lab.make_config(1, rules, {"engage": False}))
        await it.wait_served("/book/")
        await asyncio.sleep(WINDOW_SECONDS)
        for number in range(4):
            it.spawn(ask_often(number))
        await asyncio.sleep(2.0)
        for number in range(40):
            client = lab.KeptClient(it, it.entries[number % 3].callers)
            request, end = await client.send("POST", POISON, 1000, BODY)
            it.record.add(f"request {request} (the one that crashes) ends: {end}")
            client.drop()
            await asyncio.sleep(1.0)
        late = []
        if len(crashes) >= 3:
            late = [at for at in arrivals if at > crashes[2] + WINDOW_SECONDS]
        text = (
            f"crashes: {len(crashes)}; the request reached backends {len(arrivals)} times,"
            f" {len(late)} of them over {WINDOW_SECONDS:.0f} s after the third crash"
            f" (allowed: {ALLOWED_RETRIES}); other requests not served: {len(broken_off)}"
        )
        it.record.add(text)
        print(text)
        return 1 if len(late) > ALLOWED_RETRIES else 0
    finally:
        await it.close()


lab.run(main, Path(__file__).resolve().parent)
