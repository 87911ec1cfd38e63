"""Each check reports a violation on a history that breaks it, and none on others."""

from __future__ import annotations

import pytest
from soak.checks import check_history
from soak.history import merge_time_line
from soak.history_index import SOAK, HistoryIndex
from soak.models import (
    Acted,
    Beaten,
    Began,
    Ended,
    Evacuated,
    Event,
    Finished,
    Grown,
    Limited,
    Outcome,
    Put,
    Read,
    Readied,
    Record,
    Returned,
    Sent,
    Started,
    Starved,
    Told,
    Unreached,
)

NODE = "entry-1"
NOW = 40.0

RecordList = list[tuple[float, Record]]


def make_request(
    at: float = 10.0,
    name: str = "c-1",
    safe: bool = False,
    server: str = "server-1.1",
    key: int = -1,
    fence: int = 0,
) -> RecordList:
    """Return a request and its completed run on a server."""
    return [
        (at, Sent(name, NODE, "book", safe, at + 1.5)),
        (at + 0.05, Began(name, server, key, fence, at + 0.05)),
        (at + 0.30, Finished(name, server, "done")),
    ]


def make_response(
    at: float = 10.35, name: str = "c-1", status: int = 200, detail: str = ""
) -> RecordList:
    """Return the outcome of a request that got a response."""
    return [(at, Outcome(name, NODE, "answered", status, status == 200, detail))]


def make_unanswered(at: float, name: str = "c-1", how: str = "broken") -> RecordList:
    """Return the outcome of a request that got no response."""
    return [(at, Outcome(name, NODE, how))]


def make_sigterm(at: float, node: str = NODE) -> RecordList:
    """Return a SIGTERM sent to a node."""
    return [(at, Acted(node, "stop", at + 6.5))]


def make_put(
    at: float, version: int, base: int, content: str, status: int = 200
) -> RecordList:
    """Return a change of the configuration and its response."""
    return [(at, Put(at - 0.1, "control-1", version, base, content, status))]


def list_broken_checks(records: RecordList) -> list[str]:
    """Return the names of the checks that fail on a history."""
    events = sorted((Event(at, record) for at, record in records), key=lambda e: e.at)
    violations = check_history(HistoryIndex(events, NOW, is_over=True))
    return sorted({violation.check for violation in violations})


RULE = '{"name": "book"}'
SENT = make_request()[:1]
CANCELLED_RUN: RecordList = [
    *make_request()[:2],
    (10.4, Finished("c-1", "server-1.1", "cut")),
]
OTHER_RUN = make_request(10.1, "c-2", key=7, fence=4, server="server-2.1")
DRAINING_SERVER: RecordList = [(7.0, Beaten("server-1.1", "draining", "control-1"))]
PUT = make_put(1.0, 1, 0, "one")
DAMAGED_START: RecordList = [
    (3.0, Acted(NODE, "flip", 4.0)),
    (4.0, Acted(NODE, "flip", 4.0)),
    (4.1, Started(NODE)),
]
RESTARTED: RecordList = [
    (14.2, Started(NODE)),
    *make_request(20.0),
    *make_response(20.35),
]

BROKEN: dict[str, tuple[RecordList, str]] = {
    "a key run by two servers at once": (
        make_request(key=7, fence=3) + make_response() + OTHER_RUN,
        "OWNER",
    ),
    "an older fence after a newer one": (
        make_request(key=7, fence=5)
        + make_response()
        + make_request(12.0, "c-2", key=7, fence=4, server="server-2.1"),
        "OWNER",
    ),
    "a second run": (
        make_request()
        + make_response()
        + [(11.0, Began("c-1", "server-2.1", arrived=11.0))],
        "TWICE",
    ),
    "a run without a request": (make_request()[1:], "UNASKED"),
    "a refusal of what has run": (
        make_request() + make_response(status=503),
        "REFUSED",
    ),
    "a run after the refusal": (
        make_request()[:1]
        + make_response(10.02, status=429)
        + [(13.0, Began("c-1", "server-1.1"))],
        "REFUSED",
    ),
    "an answer of another request": (
        make_request() + make_response(detail="the answer of c-2"),
        "MIXED",
    ),
    "a request accepted late after SIGTERM and cancelled (issue 14)": (
        make_sigterm(5.2) + CANCELLED_RUN + make_unanswered(10.6),
        "LOST",
    ),
    "a request read and cut without a run": (SENT + make_unanswered(10.5), "LOST"),
    "a request cut without any fault": (CANCELLED_RUN + make_unanswered(10.4), "LOST"),
    "no answer by the deadline": (SENT + make_unanswered(12.0, how="left"), "LOST"),
    "a node's failure answer after SIGTERM while the server still runs": (
        make_sigterm(8.0) + CANCELLED_RUN + make_response(10.45, status=502),
        "LOST",
    ),
    "a process that ends without a signal": (
        [(9.0, Ended(NODE, 1, -1.0, False))],
        "ENDED",
    ),
    "a second exit since its log was damaged": (
        [
            *DAMAGED_START,
            (8.9, Ended(NODE, 2, -1.0, False)),
            (9.0, Started(NODE)),
            (14.0, Ended(NODE, 2, -1.0, False)),
            *RESTARTED,
        ],
        "ENDED",
    ),
    "another exit than the one for damaged data": (
        [*DAMAGED_START, (14.0, Ended(NODE, 1, -1.0, False)), *RESTARTED],
        "ENDED",
    ),
    "an exit for damaged data that nobody damaged": (
        [
            (3.0, Acted(NODE, "flip", 4.0)),
            (4.1, Started(NODE)),
            (14.0, Ended(NODE, 2, -1.0, False)),
            *RESTARTED,
        ],
        "ENDED",
    ),
    "a process that outlasts its grace period": (
        make_sigterm(5.0) + [(11.0, Ended(NODE, -9, 5.0, True))],
        "GRACE",
    ),
    "a SIGTERM that ends a process without its handler": (
        [
            (3.0, Readied(NODE, 200)),
            *make_sigterm(5.0),
            (5.1, Ended(NODE, -15, 5.0, False)),
        ],
        "GRACE",
    ),
    "a stop with an error": (
        make_sigterm(5.0) + [(6.0, Ended(NODE, 1, 5.0, False))],
        "GRACE",
    ),
    "a new request at a draining server": (
        DRAINING_SERVER + make_request() + make_response(),
        "DRAIN",
    ),
    "a ready node that refuses connections": (
        [(9.0, Readied(NODE, 200)), (9.5, Unreached(NODE))],
        "READY",
    ),
    "a ready node that closes new connections unread": (
        [
            (9.8, Readied(NODE, 200)),
            (10.0, Sent("c-1", NODE, "book", False, 11.5, fresh=True)),
            *make_unanswered(10.01),
        ],
        "READY",
    ),
    "a process that serves nothing after its start": (
        [(9.0, Started(NODE))],
        "RECOVER",
    ),
    "an older version read": (
        PUT + make_put(2.0, 2, 1, "two") + [(5.0, Read(4.9, "control-2", 1, "one"))],
        "CONFIG",
    ),
    "an older version read at the end": (
        PUT
        + make_put(4.0, 2, 1, "two")
        + [(5.0, Read(4.9, "control-2", 1, "one", last=True))],
        "CONFIG",
    ),
    "another content under an accepted version": (
        PUT + [(2.0, Read(1.9, "control-2", 1, "other"))],
        "CONFIG",
    ),
    "a refused change that took effect": (
        PUT
        + make_put(2.0, 2, 1, "two", status=412)
        + [(3.0, Read(2.9, "control-2", 2, "two"))],
        "CONFIG",
    ),
    "two changes accepted on one version": (
        PUT + make_put(2.0, 2, 1, "two") + make_put(2.1, 3, 1, "three"),
        "CONFIG",
    ),
    "an accepted change refused when sent again": (
        PUT + [(2.0, Put(1.9, "control-1", 1, 0, "one", 412, again=True))],
        "CONFIG",
    ),
    "an accepted route that a node answers with 404": (
        make_put(1.0, 1, 0, RULE) + SENT + make_response(10.1, status=404),
        "CONFIG",
    ),
}

LEAVING = [*make_request(), (10.3, Told("c-1", "server-1.1", "leaving"))]
LEAVING += make_response()
PAUSE: RecordList = [
    (10.0, Sent("c-1", NODE, "book", False, 11.5)),
    (10.1, Told("c-1", "server-1.1", "pause", 3.0)),
    *make_response(10.2, status=503),
]
PAUSED_REQUESTS = [
    record
    for number in range(3)
    for record in make_request(11.0 + number / 10, f"c-{number + 2}")
    + make_response(11.4 + number / 10, f"c-{number + 2}")
]
LIMITED: RecordList = []
for number in range(25):
    at, name = 10 + number / 4, f"c-{number}"
    LIMITED += [
        (at, Sent(name, NODE, "book", False, at + 1.5)),
        (at + 0.01, Limited(name, "server-1.1", 1.0)),
        *make_response(at + 0.1, name, status=503),
    ]
BROKEN["more requests to a server than its limit allows"] = (LIMITED, "LIMIT")
BROKEN["a node that holds more memory than a machine has"] = (
    [(10.0, Grown(NODE, 201))],
    "MEMORY",
)
BROKEN["a request to a server that told the node that it leaves"] = (
    LEAVING + make_request(12.5, "c-2") + make_response(12.9, "c-2"),
    "DRAIN",
)
BROKEN["three requests to a server in the pause that it asked for"] = (
    PAUSE + PAUSED_REQUESTS,
    "BUDGET",
)

# The zone of server-1.
EVACUATED: RecordList = [(10.0, Evacuated("zone-b"))]
LATE_IN_ZONE: RecordList = [*make_request(15.5), *make_response(15.9)]
BROKEN["a request to a server of a zone that was evacuated long before"] = (
    EVACUATED + LATE_IN_ZONE,
    "EVAC",
)

ISOLATED: RecordList = [(6.9, Acted(NODE, "hang", 15.0))]


def make_tries(how: str, failed_count: int, since: float = 10.0) -> RecordList:
    """Return 100 first tries, half of them at another node, while one is isolated.

    The first ones at the isolated node fail: "answered" (503), "broken" or "refused".
    """
    records = list(ISOLATED)
    for number in range(50):
        at, other = since + number / 50, f"o-{number}"
        records += [
            (at, Sent(other, "entry-2", "book", True, at + 1.5)),
            (at + 0.3, Outcome(other, "entry-2", "answered", 200, True)),
        ]
        request = make_request(at, f"c-{number}", safe=True)
        if number >= failed_count:
            records += [*request, *make_response(at + 0.35, f"c-{number}")]
        elif how == "refused":
            records.append((at, Unreached(NODE)))
        else:
            outcome = Outcome(f"c-{number}", NODE, how, 503 if how == "answered" else 0)
            records += [request[0], (at + 0.1, outcome)]
    return records


BROKEN["tries turned away by a node that is cut off from all servers"] = (
    make_tries("answered", 20),
    "RECOVER",
)
BROKEN["connections closed unread by a node that is cut off from all servers"] = (
    make_tries("broken", 20),
    "RECOVER",
)
BROKEN["connections refused by a node that is cut off from all servers"] = (
    make_tries("refused", 20),
    "RECOVER",
)
PARTED: RecordList = [(9.0, Acted("control-1", "part", 12.0)), *PUT]
BROKEN["a control group that accepts no change after a node was parted"] = (
    PARTED,
    "RECOVER",
)

ALLOWED: dict[str, RecordList] = {
    "a control group that accepts a change late after a node was parted": (
        PARTED + make_put(26.0, 2, 1, "two")
    ),
    "a third of the tries failed by a node that is cut off from all servers": (
        make_tries("answered", 16)
    ),
    "tries turned away by a node that has just been cut off from all servers": (
        make_tries("answered", 50, since=8.8)
    ),
    "tries turned away by a node that was cut off until then": (
        make_tries("answered", 50, since=15.1)
    ),
    "tries turned away by a node that was killed, and cut off from all servers": [
        (9.5, Acted(NODE, "kill", 11.0)),
        *make_tries("answered", 50),
    ],
    "repeats turned away by a node that is cut off from all servers": [
        (at, record._replace(again=True) if isinstance(record, Sent) else record)
        for at, record in make_tries("answered", 50)
    ],
    "a request to a server of a zone that was evacuated just before": [
        *EVACUATED,
        *make_request(14.0),
        *make_response(14.4),
    ],
    "a request to a server of a zone that was taken back": [
        *EVACUATED,
        (15.0, Returned("zone-b")),
        *LATE_IN_ZONE,
    ],
    "a request to a server of another zone than the evacuated one": [
        (10.0, Evacuated("zone-a")),
        *LATE_IN_ZONE,
    ],
    "a request of a node that started after a zone was evacuated": [
        *EVACUATED,
        (15.0, Started(NODE)),
        *LATE_IN_ZONE,
    ],
    "as many requests to a server as its limit allows": LIMITED[:-3],
    "requests to a server beyond its limit, of a node that was cut from others": [
        (9.5, Acted(f"{NODE}/link", "cut", 17.0)),
        *LIMITED,
    ],
    "a request to a server that has just told the node that it leaves": LEAVING
    + make_request(12.0, "c-2")
    + make_response(12.4, "c-2"),
    "a request of a node that restarted after a server told it that it leaves": [
        *LEAVING,
        (12.0, Started(NODE)),
        *make_request(13.0, "c-2"),
        *make_response(13.4, "c-2"),
    ],
    "two requests to a server in the pause that it asked for": PAUSE
    + PAUSED_REQUESTS[:-4],
    "requests to a server after its pause": PAUSE
    + [(at + 3, record) for at, record in PAUSED_REQUESTS],
    "an answered request": make_request() + make_response(),
    "a safe request that ran twice": make_request(safe=True)
    + make_response()
    + [(10.4, Began("c-1", "server-2.1"))],
    "a request sent just before the connection closed": SENT + make_unanswered(10.1),
    "a request at a node that was killed": [
        (10.3, Acted(NODE, "kill", 11.0)),
        *CANCELLED_RUN,
        *make_unanswered(10.4),
    ],
    "a new connection to a node that stops": [
        (9.8, Readied(NODE, 200)),
        *make_sigterm(9.9),
        (10.0, Sent("c-1", NODE, "book", False, 11.5, fresh=True)),
        *make_unanswered(10.01),
    ],
    "a caller that disconnects early": SENT + make_unanswered(10.1, how="left"),
    "early work in the last sixth of the grace period": make_sigterm(8.0)
    + [
        (10.0, Sent("c-1", NODE, "book", False, 20.0)),
        (10.1, Began("c-1", "server-1.1")),
        (13.2, Finished("c-1", "server-1.1", "cut")),
    ]
    + make_unanswered(13.2),
    "no answer while the node waited for the processor": [
        *SENT,
        (10.1, Starved(NODE, 11.9)),
        *make_unanswered(12.0, how="left"),
    ],
    "no answer while the test program waited for the processor": [
        *SENT,
        (10.1, Starved(SOAK, 11.9)),
        *make_unanswered(12.0, how="left"),
    ],
    "a SIGTERM before its handler is installed": [
        (9.0, Started(NODE)),
        *make_sigterm(9.1),
        (9.2, Ended(NODE, -15, 9.1, False)),
        (9.9, Started(NODE)),
        *make_request(),
        *make_response(),
    ],
    "a late exit of a node whose log was damaged": [
        *DAMAGED_START,
        (14.0, Ended(NODE, 2, -1.0, False)),
        *RESTARTED,
    ],
    "a stopped process": [*make_sigterm(5.0), (8.0, Ended(NODE, 0, 5.0, False))],
    "a new request at a draining server during a control node's fault": [
        *DRAINING_SERVER,
        (7.5, Acted("control-2", "kill", 8.0)),
        *make_request(),
        *make_response(),
    ],
    "an equal change sent again": PUT
    + [(2.0, Put(1.9, "control-1", 1, 0, "one", 200, again=True))],
    "an older version read before the newer one had to be applied": PUT
    + make_put(2.0, 2, 1, "two")
    + [(3.0, Read(2.9, "control-2", 1, "one"))],
    "a change without a clear answer that took effect": PUT
    + make_put(2.0, 2, 1, "two", status=0)
    + [(3.0, Read(2.9, "control-2", 2, "two"))],
}


# Guards against a check that misses a violation, or reports it under another name.
@pytest.mark.parametrize("name", BROKEN)
def test_broken_history_fails_its_check(name: str) -> None:
    records, check = BROKEN[name]
    assert list_broken_checks(records) == [check]


# Guards against a check that reports a violation where the rules allow the outcome.
@pytest.mark.parametrize("name", ALLOWED)
def test_allowed_history_passes_all_checks(name: str) -> None:
    assert list_broken_checks(ALLOWED[name]) == []


# Guards against a time line that lacks a related event or shows unrelated ones.
def test_time_line_shows_request_and_nearby_faults() -> None:
    records = make_sigterm(5.2) + CANCELLED_RUN + make_unanswered(10.6)
    records += [(10.1, Acted("server-6", "slow", 11.0)), *make_request(30.0, "c-9")]
    events = sorted((Event(at, record) for at, record in records), key=lambda e: e.at)
    violation = check_history(HistoryIndex(events, NOW))[0]
    lines = merge_time_line(events, violation)
    kinds = [line.split()[1] for line in lines]
    assert kinds == ["acted", "sent", "began", "acted", "finished", "outcome"]
    assert "server-6" in lines[3]
