"""The demo: ``python -m dragonflyrock.trial.demo``, started by ``script/demo``."""

from __future__ import annotations

import os
import shutil
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Final

import defopt

from ..cli.status import show_status
from ..cli.timeline import show_timeline
from .fleet import OPERATOR_TOKEN, Fleet
from .plans import CALLERS_OFFSET, LAHORE, STOCKHOLM, FleetPlan, ServicePlan

__all__ = ["run_demo"]

SERVERS_PER_SERVICE: Final = 2
FROZEN_SECONDS: Final = 2.5
KEYS_PER_SERVICE: Final = 20
STEADY_SECONDS: Final = 1.0
FIRST_PORT: Final = 9400

PLAN: Final = FleetPlan(
    "demo",
    ("local",),
    1,
    1,
    2,
    tuple(
        ServicePlan(service.name, SERVERS_PER_SERVICE, ranges=8)
        for service in LAHORE.services + STOCKHOLM.services
    ),
    first_port=FIRST_PORT,
)


def run_demo(*, keep: bool = False) -> int:
    """Run one daemon with stand-ins for both users' services.

    :param keep: leave everything running until Ctrl-C
    """
    folder = Path(tempfile.mkdtemp(prefix="dragonflyrock-demo-"))
    fleet = Fleet(PLAN, folder)
    os.environ["DRAGONFLYROCK_TOKEN"] = OPERATOR_TOKEN
    try:
        _show(fleet)
        if keep:
            _wait_for_interrupt(fleet)
    finally:
        fleet.close()
        shutil.rmtree(folder)
    return 0


def _show(fleet: Fleet) -> None:
    """Go through the demo."""
    operators = fleet.operators_address(0)
    _say("One daemon with both roles, one voter and a data folder; 12 stand-ins")
    fleet.start_hosts()
    fleet.start_servers()
    fleet.wait_ready()
    _say("A contract for one customer")
    print(fleet.put_contract("demo", "demo-token"))
    caller = fleet.make_caller("demo-token")
    fleet.wait_for("contract", lambda: caller.call("GET", "/finder/k").status == 200)
    _say("Requests to every service")
    _call_all(fleet)
    answer = caller.call("POST", "/standbook/gate-7", b"SK123", _booking("booking-1"))
    print("a booking:", answer.status, answer.outcome, answer.body.decode())
    again = caller.call("POST", "/standbook/gate-7", b"SK123", _booking("booking-1"))
    print("sent again, the same answer:", again.body == answer.body)
    _say(f"finder-1 freezes for {FROZEN_SECONDS} s, then returns")
    fleet.servers["finder-1"].freeze()
    _call_until(fleet, time.monotonic() + FROZEN_SECONDS)
    fleet.servers["finder-1"].thaw()
    _call_until(fleet, time.monotonic() + STEADY_SECONDS)
    _say("dragonflyrock status")
    show_status(at=operators)
    _say("dragonflyrock timeline --server finder-1")
    show_timeline(at=operators, server="finder-1", limit=12)
    _say("Where to look")
    print(f"metrics: http://{fleet.platform_address(0)}/metrics")
    print(f"callers: http://{fleet.callers_address(0)}/finder/KEY")
    print(f"tool:    dragonflyrock status --at {operators}")
    print("`script/demo --keep` leaves it running until Ctrl-C.")


def _booking(key: str) -> dict[str, str]:
    """Return the header that lets a booking be sent again."""
    return {"Idempotency-Key": key}


def _say(text: str) -> None:
    """Print a heading."""
    print(f"\n== {text}", flush=True)


def _call_all(fleet: Fleet) -> None:
    """Call some keys of every service and print how that went."""
    caller = fleet.make_caller("demo-token")
    _report(
        caller.call("GET", f"/{service.name}/key-{number}").status
        for service in fleet.plan.services
        for number in range(KEYS_PER_SERVICE)
    )


def _call_until(fleet: Fleet, until: float) -> None:
    """Call keys of one service until a time and print how that went."""
    caller = fleet.make_caller("demo-token")
    statuses, slowest, number = [], 0.0, 0
    while time.monotonic() < until:
        number += 1
        answer = caller.call("GET", f"/finder/key-{number % KEYS_PER_SERVICE}")
        statuses.append(answer.status)
        slowest = max(slowest, answer.seconds)
    _report(statuses)
    print(f"slowest answer: {slowest:.2f} s")


def _report(statuses: Iterable[int]) -> None:
    """Print how many answers had which status."""
    print("answers by status:", dict(Counter(statuses)), flush=True)


def _wait_for_interrupt(fleet: Fleet) -> None:
    """Wait until the user interrupts."""
    port = fleet.plan.first_port + CALLERS_OFFSET
    print(f"running; callers' port {port}; token demo-token", flush=True)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print("ending")


if __name__ == "__main__":
    sys.exit(defopt.run(run_demo))
