"""The command ``dragonflyrock-standin``."""

from __future__ import annotations

import logging
import signal
import sys
import threading
import time
from pathlib import Path
from types import FrameType
from typing import Final, Literal

import defopt

from ..entry.web import WebServer
from .announcer import Announcer, Identity
from .grants import Grants
from .models import Behaviour, LoadReport
from .server import StandIn

__all__ = ["main"]

DRAIN_SECONDS: Final = 20.0
DRAIN_POLL_SECONDS: Final = 0.05


def run_standin(
    name: str,
    service: str,
    listen: str,
    platforms: str,
    *,
    zone: str = "local",
    unchecked: bool = False,
    slots: int = 2,
    connections: int = 130,
    service_ms: float = 5.0,
    cold_start_ms: float = 0.0,
    queue: int = 64,
    load_report: Literal["true", "late", "idle"] = "true",
    journal: Path | None = None,
    threads: int = 32,
) -> int:
    """Run a stand-in backend server until it is told to stop.

    :param name: its name, which stays the same over restarts
    :param service: the service that it belongs to
    :param listen: the address to listen at, ``ip:port``
    :param platforms: platform ports of entry hosts, ``ip:port`` by commas
    :param zone: its availability zone
    :param unchecked: do not check grants
    :param slots: requests that run at once
    :param connections: connections that it offers
    :param service_ms: the time that a request takes
    :param cold_start_ms: how long requests take longer after the start
    :param queue: requests that wait for a slot before it sheds load
    :param load_report: what it says of its load
    :param journal: a file to append what it ran to
    :param threads: threads that serve requests
    """
    logging.basicConfig(level="INFO", format=f"%(asctime)s {name}: %(message)s")
    behaviour = Behaviour(
        not unchecked,
        slots,
        connections,
        service_ms,
        cold_start_ms,
        queue=queue,
        load_report=LoadReport(load_report),
    )
    identity = Identity(name, service, listen, zone, time.time_ns())
    grants = Grants(f"{name}@{identity.incarnation}", time.monotonic)
    standin = StandIn(identity, behaviour, grants, journal)
    server = WebServer(name, listen, standin, threads)
    announcer = Announcer(
        identity, behaviour, platforms.split(","), grants, standin.find_load
    )
    ended = threading.Event()

    def on_signal(number: int, frame: FrameType | None) -> None:
        ended.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    server.start()
    announcer.start()
    ended.wait()
    _drain(announcer, grants, standin)
    announcer.stop()
    server.stop()
    return 0


def _drain(announcer: Announcer, grants: Grants, standin: StandIn) -> None:
    """Say that no more is wanted, and wait until all ranges are given away."""
    announcer.ready = False
    limit = time.monotonic() + DRAIN_SECONDS
    while time.monotonic() < limit and (len(grants) or standin.busy):
        time.sleep(DRAIN_POLL_SECONDS)


def main() -> None:
    """Run the stand-in by its command line."""
    sys.exit(defopt.run(run_standin))


if __name__ == "__main__":
    main()
