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
from .models import Behaviour, LoadReportMode
from .server import StandIn

__all__ = ["main"]

DRAIN_TIMEOUT_SECONDS: Final = 20.0
DRAIN_POLL_INTERVAL_SECONDS: Final = 0.05


def run_standin(
    name: str,
    service: str,
    listen: str,
    platforms: str,
    *,
    zone: str = "local",
    unchecked: bool = False,
    without_pushes: bool = False,
    lose_answers: bool = False,
    slots: int = 2,
    connections: int = 130,
    service_ms: float = 5.0,
    cold_start_ms: float = 0.0,
    queue: int = 64,
    load_report: Literal["true", "late", "idle"] = "true",
    journal: Path | None = None,
    threads: int = 32,
) -> int:
    """Run a stand-in backend server until SIGTERM or SIGINT.

    :param name: its name, the same after each restart
    :param service: the service that it belongs to
    :param listen: the address to listen on, ``ip:port``
    :param platforms: platform ports of entry hosts, ``ip:port`` separated by commas
    :param zone: its availability zone
    :param unchecked: do not check grants
    :param without_pushes: take grants from the answers to announcements only
    :param lose_answers: lose some of these answers, and take some after the next one
    :param slots: the number of requests that run at once
    :param connections: the number of connections that it offers
    :param service_ms: the processing time of a request in milliseconds
    :param cold_start_ms: the time after the start in which requests are slower
    :param queue: the number of requests that may wait for a slot
    :param load_report: report the present load, one 5 s old, or a load of 0
    :param journal: a file to which a line is appended for each request
    :param threads: the number of threads that serve requests
    """
    logging.basicConfig(level="INFO", format=f"%(asctime)s {name}: %(message)s")
    behaviour = Behaviour(
        not unchecked,
        slots,
        connections,
        service_ms,
        cold_start_ms,
        queue=queue,
        load_report=LoadReportMode(load_report),
        takes_pushes=not without_pushes,
        loses_answers=lose_answers,
    )
    identity = Identity(name, service, listen, zone, time.time_ns())
    grants = Grants(f"{name}@{identity.incarnation}", time.monotonic)
    standin = StandIn(identity, behaviour, grants, journal)
    server = WebServer(name, listen, standin, threads)
    announcer = Announcer(
        identity, behaviour, platforms.split(","), grants, standin.report_load
    )
    stop_requested = threading.Event()

    def handle_signal(number: int, frame: FrameType | None) -> None:
        stop_requested.set()

    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    server.start()
    announcer.start()
    stop_requested.wait()
    _drain(announcer, grants, standin)
    announcer.stop()
    server.stop()
    return 0


def _drain(announcer: Announcer, grants: Grants, standin: StandIn) -> None:
    """Announce as not ready; wait until no range or request is left.

    Give up after ``DRAIN_TIMEOUT_SECONDS``.
    """
    announcer.ready = False
    standin.is_leaving = True
    deadline = time.monotonic() + DRAIN_TIMEOUT_SECONDS
    while time.monotonic() < deadline and (len(grants) or standin.is_busy):
        time.sleep(DRAIN_POLL_INTERVAL_SECONDS)


def main() -> None:
    """Run the stand-in with the arguments of the command line."""
    sys.exit(defopt.run(run_standin))


if __name__ == "__main__":
    main()
