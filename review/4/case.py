"""A client offers another protocol in one request: whose answer does the next one get?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import lab

PAIRS = 30
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAMAAABkAAQAoAAAAAIAAAAA",
}


async def main(case: Path) -> int:
    it = lab.Lab(case)
    ran: set[str] = set()
    foreign: list[str] = []
    ended: dict[str, int] = {}

    async def work(backend: lab.Backend, request: str, path: str, body: bytes) -> None:
        ran.add(request)
        await asyncio.sleep(0.03)

    async def send(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        path: str,
        offer: dict[str, str],
    ) -> tuple[str, lab.Reply | None]:
        """Send one request; return its id and the answer that follows."""
        request = it.new_id()
        headers = {
            "X-Dragonflyrock-Request-Id": request,
            "X-Dragonflyrock-Deadline-Ms": "1000",
            **offer,
        }
        it.record.add(
            f"request {request} POST {path} is sent {'with the offer' if offer else ''}"
        )
        writer.write(lab.encode_request("POST", path, lab.HOST, headers, b"{}"))
        try:
            async with asyncio.timeout(1.2):
                reply = await lab.read_reply(reader)
        except (EOFError, OSError, TimeoutError):
            it.record.add(f"request {request} gets no answer")
            return request, None
        echoed = reply.headers.get("x-dragonflyrock-request-id")
        it.record.add(f"request {request} gets {reply.status}, id {echoed}")
        return request, reply

    for number in range(3):
        lab.Backend(it, "engage", work, lab.ZONES[number % 3])
    try:
        await it.start()
        rules = [lab.make_rule("book", "/book/", "engage", safe=False)]
        await it.put_first(lab.make_config(1, rules, {"engage": False}))
        await it.wait_served("/book/")
        await asyncio.sleep(3.5)
        for number in range(PAIRS):
            host, _, port = it.entries[number % 3].callers.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            offer = OFFER if lab.TROUBLE else {}
            _, first = await send(reader, writer, f"/book/{number}/a", offer)
            if first is None or first.headers.get("connection", "") == "close":
                writer.close()
                continue
            await asyncio.sleep(0.1)
            # No request is waiting: what has arrived now answers none of this client.
            unasked = bytes(reader._buffer)  # noqa: SLF001 (only looks at what came)
            if unasked:
                it.record.add(f"with no request waiting there came {unasked[:60]!r}")
            request, second = await send(reader, writer, f"/book/{number}/b", {})
            status = second.status if second is not None else 0
            ended[str(status)] = ended.get(str(status), 0) + 1
            if unasked and second is not None and request not in ran:
                foreign.append(request)
            writer.close()
        text = (
            f"{PAIRS} connections with two bookings each: the second ones ended {ended};"
            f" {len(foreign)} of them got an answer that had come before they were sent"
            " and were not run"
        )
        it.record.add(text)
        print(text)
        return 1 if foreign else 0
    finally:
        await it.close()


lab.run(main, Path(__file__).resolve().parent)
