"""Demo of a single host: ``python -m dragonflyrock.trial.demo`` or ``script/demo``."""

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
from .plans import CALLERS_PORT_OFFSET, LAHORE, STOCKHOLM, FleetPlan, ServicePlan

__all__ = ["run_demo"]

SERVERS_PER_SERVICE: Final = 2
FREEZE_SECONDS: Final = 2.5
KEYS_PER_SERVICE: Final = 20
AFTER_FREEZE_SECONDS: Final = 1.0
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
    """Run one daemon with stand-ins for the services of both example systems.

    :param keep: leave all processes running until Ctrl-C
    """
    folder = Path(tempfile.mkdtemp(prefix="dragonflyrock-demo-"))
    fleet = Fleet(PLAN, folder)
    os.environ["DRAGONFLYROCK_TOKEN"] = OPERATOR_TOKEN
    try:
        _run_steps(fleet)
        if keep:
            _wait_for_interrupt(fleet)
    finally:
        fleet.close()
        shutil.rmtree(folder)
    return 0


def _run_steps(fleet: Fleet) -> None:
    """Run and print the steps of the demo."""
    operators = fleet.operators_address(0)
    _print_heading(
        "One daemon with both roles, one voter and a data folder; 12 stand-ins"
    )
    fleet.start_hosts()
    fleet.start_servers()
    fleet.wait_ready()
    _print_heading("A contract for one customer")
    print(fleet.put_contract("demo", "demo-token"))
    caller = fleet.make_caller("demo-token")
    fleet.wait_for("contract", lambda: caller.call("GET", "/finder/k").status == 200)
    _print_heading("Requests to every service")
    _call_all(fleet)
    response = caller.call(
        "POST", "/standbook/gate-7", b"SK123", _make_booking_headers("booking-1")
    )
    print("a booking:", response.status, response.outcome, response.body.decode())
    retried = caller.call(
        "POST", "/standbook/gate-7", b"SK123", _make_booking_headers("booking-1")
    )
    print("retried, the same response:", retried.body == response.body)
    _print_heading(f"finder-1 freezes for {FREEZE_SECONDS} s, then returns")
    fleet.servers["finder-1"].freeze()
    _call_until(fleet, time.monotonic() + FREEZE_SECONDS)
    fleet.servers["finder-1"].thaw()
    _call_until(fleet, time.monotonic() + AFTER_FREEZE_SECONDS)
    _print_heading("dragonflyrock status")
    show_status(at=operators)
    _print_heading("dragonflyrock timeline --server finder-1")
    show_timeline(at=operators, server="finder-1", limit=12)
    _print_heading("Where to look")
    print(f"metrics: http://{fleet.platform_address(0)}/metrics")
    print(f"callers: http://{fleet.callers_address(0)}/finder/KEY")
    print(f"tool:    dragonflyrock status --at {operators}")
    print("`script/demo --keep` leaves it running until Ctrl-C.")


def _make_booking_headers(key: str) -> dict[str, str]:
    """Return headers with an idempotency key, which makes a retry safe."""
    return {"Idempotency-Key": key}


def _print_heading(text: str) -> None:
    """Print a heading."""
    print(f"\n== {text}", flush=True)


def _call_all(fleet: Fleet) -> None:
    """Call some keys of every service and print the statuses."""
    caller = fleet.make_caller("demo-token")
    _print_statuses(
        caller.call("GET", f"/{service.name}/key-{number}").status
        for service in fleet.plan.services
        for number in range(KEYS_PER_SERVICE)
    )


def _call_until(fleet: Fleet, deadline: float) -> None:
    """Call keys of one service until a time; print statuses and the slowest call."""
    caller = fleet.make_caller("demo-token")
    statuses, slowest, number = [], 0.0, 0
    while time.monotonic() < deadline:
        number += 1
        response = caller.call("GET", f"/finder/key-{number % KEYS_PER_SERVICE}")
        statuses.append(response.status)
        slowest = max(slowest, response.seconds)
    _print_statuses(statuses)
    print(f"slowest response: {slowest:.2f} s")


def _print_statuses(statuses: Iterable[int]) -> None:
    """Print the number of responses by status."""
    print("responses by status:", dict(Counter(statuses)), flush=True)


def _wait_for_interrupt(fleet: Fleet) -> None:
    """Wait for Ctrl-C."""
    port = fleet.plan.first_port + CALLERS_PORT_OFFSET
    print(f"running; callers' port {port}; token demo-token", flush=True)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print("ending")


if __name__ == "__main__":
    sys.exit(defopt.run(run_demo))
