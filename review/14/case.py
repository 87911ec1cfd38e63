"""A booking that a backend has begun and fails with 503, without saying "not run"."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab3 import *

FOLDER = Path(__file__).resolve().parent
PROMISES = (408, 421, 429, 503)


class Failing(Backend):
    """A backend that, if it is grey, fails two requests in five after it has run them."""

    trouble = True

    async def answer(self, method, target, headers, body, writer):
        if not self.trouble or self is not self.lab.backends[0] or random.random() > 0.4:
            await super().answer(method, target, headers, body, writer)
            return
        request = headers.get("x-dragonflyrock-request-id", "")
        self.lab.note("run", request=request, backend=self.id, fails=True)
        await asyncio.sleep(self.work)
        writer.write(self.make_answer(request, 503, b"the database did not answer\n"))


async def main(trouble):
    Failing.trouble = trouble
    lab = Lab(FOLDER / "record.txt", entries=2)
    lab.backends = [Failing(lab, "book", n + 1, ZONES[n % 3]) for n in range(7)]
    try:
        await lab.start()
        rules = [("r1", "unsafe", "/b/", "book", {})]
        await lab.put(make_config(5, {"book": {}}, rules), 0)
        await lab.wait_ready()
        await asyncio.sleep(3)
        for _ in range(60):
            await asyncio.gather(*(
                lab.request(random.choice(lab.entries), "/b/x") for _ in range(20)
            ))
        ran = {fields["request"] for _, fields in lab.select("run")}
        answered = [fields for _, fields in lab.select("answered")]
        if sum(fields["status"] == 200 for fields in answered) < 50:
            raise Cannot("hardly any request was served")
        false = [f for f in answered if f["status"] in PROMISES and f["request"] in ran]
        lab.note("judged", false=len(false), ran=len(ran))
        return f"{len(false)} of {len(ran)} bookings ran and were answered 503" if false else ""
    finally:
        lab.close()


run(main)
