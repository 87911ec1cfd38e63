"""What an entry host knows of each backend server, and what it expects of it."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import Final, NamedTuple

from ..models import ServerRow

__all__ = [
    "LoadReport",
    "ServerStat",
    "ServiceStat",
    "estimate_faults",
    "estimate_unit",
    "estimate_wait",
    "is_silent",
    "measure_work",
    "note_answer",
    "note_end",
    "note_failure",
    "note_sent",
]

NEVER: Final = float("-inf")
# A new measurement's weight in the mean time that a server needs.
UNIT_SMOOTHING: Final = 0.12
QUEUED_SMOOTHING: Final = 0.06
SERVICE_SMOOTHING: Final = 0.05
# A server's own mean is forgotten in this time when no request measures it, so
# that one which is refused requests because it seemed slow gets some again.
UNIT_MEMORY_SECONDS: Final = 1.5
# What a server usually has at hand, beside what it told last; other hosts send to
# it too, so a long queue does not empty as soon as this host sends it nothing.
USUAL_SMOOTHING: Final = 0.2
USUAL_MEMORY_SECONDS: Final = 0.5
# A server that has answered none of its requests for so long gets no more of them.
SILENT_UNITS: Final = 6.0
SILENT_SECONDS: Final = 0.4
# A report tells little once the requests that it counted have ended.
REPORT_AGE_UNITS: Final = 2.0
# How long a server that refused a connection is left alone, doubling each time.
DOWN_SECONDS: Final = 0.4
MAX_DOWN_SECONDS: Final = 3.0
# A request that a server failed counts so much in the share that it fails, and is
# forgotten in this time, so that a server that has recovered is tried again.
FAULT_SMOOTHING: Final = 0.3
FAULT_MEMORY_SECONDS: Final = 4.0
# A server that is full turns requests away; it has this much more than its slots.
FULL_QUEUE_PER_SLOT: Final = 3.0


class LoadReport(NamedTuple):
    """Requests that a server was running and had waiting, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class ServiceStat:
    """Means of a service; ``unit`` is the time of a request without waiting."""

    unit: float
    running_share: float = 0.4


@dataclass(slots=True)
class ServerStat:
    """One server as this host sees it; times in seconds of its own clock."""

    row: ServerRow
    in_flight: int = 0
    unit: float = 0.0
    unit_at: float = NEVER
    reported: float = 0.0
    usual: float = 0.0
    reported_at: float = NEVER
    slots: int = 1
    down_until: float = NEVER
    failures: int = 0
    heard_at: float = NEVER
    ended: bool = False
    stopping_since: float = NEVER
    fault_share: float = 0.0
    fault_at: float = NEVER


def estimate_unit(stat: ServerStat, service: ServiceStat, now: float) -> float:
    """Return the time that a request takes at a server where none waits."""
    if not stat.unit:
        return service.unit
    kept = exp(-(now - stat.unit_at) / UNIT_MEMORY_SECONDS)
    return service.unit + (stat.unit - service.unit) * kept


def estimate_faults(stat: ServerStat, now: float) -> float:
    """Return the share of its requests that a server probably fails."""
    if not stat.fault_share:
        return 0.0
    return stat.fault_share * exp(-(now - stat.fault_at) / FAULT_MEMORY_SECONDS)


def estimate_backlog(stat: ServerStat, service: ServiceStat, now: float) -> float:
    """Return how many requests are probably at a server."""
    usual = service.running_share * stat.slots
    unit = estimate_unit(stat, service, now)
    fading = 0.0
    if stat.reported_at > NEVER:
        age = now - stat.reported_at
        fading = exp(-age / (REPORT_AGE_UNITS * unit))
        usual += (stat.usual - usual) * exp(-age / USUAL_MEMORY_SECONDS)
    expected = usual + (stat.reported - usual) * fading
    return max(expected, float(stat.in_flight))


def estimate_wait(stat: ServerStat, service: ServiceStat, now: float) -> float:
    """Return the expected time until a request sent now is answered."""
    unit = estimate_unit(stat, service, now)
    backlog = estimate_backlog(stat, service, now)
    share = backlog / stat.slots
    queued = max(0.0, backlog + 1 - stat.slots) / stat.slots
    # Below full use a request may still have to wait, the more the fuller it is.
    chance = min(1.0, share) ** 2 * 0.3
    return unit * (1 + max(queued, chance))


def is_silent(stat: ServerStat, service: ServiceStat, now: float) -> bool:
    """Return whether requests are under way to a server that answers nothing.

    A slow server still answers now and then; one that lost power never does, and
    its connections do not tell.
    """
    if not stat.in_flight:
        return False
    patience = max(SILENT_UNITS * estimate_unit(stat, service, now), SILENT_SECONDS)
    return now - stat.heard_at > patience


def note_sent(stat: ServerStat, now: float) -> None:
    """Count a request out to a server."""
    if not stat.in_flight:
        stat.heard_at = now
    stat.in_flight += 1
    stat.reported += 1


def note_answer(
    stat: ServerStat,
    service: ServiceStat,
    elapsed: float,
    backlog_at_send: float,
    report: LoadReport | None,
    now: float,
) -> None:
    """Learn from a request that ran."""
    stat.failures = 0
    stat.down_until = NEVER
    before = estimate_unit(stat, service, now)
    waiting = report.waiting if report is not None else 0
    queued = max(0.0, backlog_at_send + 1 - stat.slots) / stat.slots
    sample = elapsed / (1 + queued)
    if not waiting and backlog_at_send < stat.slots:
        service.unit += SERVICE_SMOOTHING * (sample - service.unit)
        stat.unit = before + UNIT_SMOOTHING * (sample - before)
    else:
        # How long it waited is a guess, so it tells less.
        stat.unit = before + QUEUED_SMOOTHING * (sample - before)
    stat.unit_at = now
    note_report(stat, service, report, now)


def measure_work(
    elapsed: float, backlog_at_send: float, report: LoadReport | None
) -> float | None:
    """Return the time that a request was at work, as far as a server tells its load.

    Where requests wait, the queue that it left tells how long it waited itself: a
    server that is never idle would never be measured, and be taken for a mean one.

    >>> measure_work(0.1, 0.0, LoadReport(1, 0, 2))
    0.1
    >>> round(measure_work(0.3, 4.0, LoadReport(1, 4, 2)), 6)
    0.1
    """
    if report is None:
        return None
    slots = max(1, report.slots)
    if not report.waiting and backlog_at_send < slots:
        return elapsed
    present = report.running + report.waiting + 1
    return elapsed / (1 + max(0, present - slots) / slots)


def note_end(stat: ServerStat, now: float, *, failed: bool) -> None:
    """Note whether a server failed a request that it took."""
    share = estimate_faults(stat, now)
    stat.fault_share = share + FAULT_SMOOTHING * (float(failed) - share)
    stat.fault_at = now


def note_report(
    stat: ServerStat, service: ServiceStat, report: LoadReport | None, now: float
) -> None:
    """Take over what a server told of its load."""
    if report is None:
        stat.reported = max(0.0, stat.reported - 1)
        return
    stat.slots = max(1, report.slots)
    stat.reported = float(report.running + report.waiting)
    stat.usual += USUAL_SMOOTHING * (stat.reported - stat.usual)
    stat.reported_at = now
    share = report.running / stat.slots
    service.running_share += SERVICE_SMOOTHING * (share - service.running_share)


def note_full(stat: ServerStat, now: float) -> None:
    """Note that a server turned a request away because it is full."""
    stat.reported = stat.slots * (1 + FULL_QUEUE_PER_SLOT)
    stat.reported_at = now


def note_failure(stat: ServerStat, now: float) -> None:
    """Leave a server alone for a while after it could not be reached."""
    pause = min(DOWN_SECONDS * 2**stat.failures, MAX_DOWN_SECONDS)
    stat.failures += 1
    stat.down_until = now + pause
