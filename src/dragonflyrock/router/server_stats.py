"""Statistics of each backend server on an entry host, and estimates from them."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import Final, NamedTuple

from ..const import NEVER
from ..models import ServerRow

__all__ = [
    "MAX_WORK_PERCENT",
    "MIN_WORK_PERCENT",
    "LoadReport",
    "ServerStat",
    "ServiceStat",
    "estimate_backlog",
    "estimate_error_rate",
    "estimate_processing_time",
    "estimate_wait",
    "is_unresponsive",
    "estimate_mean_time",
    "measure_processing_time",
    "record_full",
    "record_load_report",
    "record_outcome",
    "record_rejection",
    "record_response",
    "record_sent",
    "record_shared_backlog",
    "record_unreachable",
    "record_work_factor",
]

# Weights of a new sample in moving averages (0 to 1).
PROCESSING_TIME_SMOOTHING: Final = 0.12
QUEUED_PROCESSING_TIME_SMOOTHING: Final = 0.06
SERVICE_SMOOTHING: Final = 0.05
# Without new samples, a server's mean decays towards the service's mean with this
# time constant. Otherwise a server that seemed slow would get no requests, and so
# no samples that show it has recovered.
PROCESSING_TIME_DECAY_SECONDS: Final = 1.5
# The mean backlog complements the latest report: other hosts send to the server
# too, so a long queue does not drain as soon as this host stops sending.
BACKLOG_SMOOTHING: Final = 0.2
BACKLOG_DECAY_SECONDS: Final = 0.5
# The reported slowness of a machine changes within some tenths of a second, so it
# counts for little when it is older than this.
WORK_FACTOR_DECAY_SECONDS: Final = 0.1
# Reports beyond these count as these.
MIN_WORK_PERCENT: Final = 10
MAX_WORK_PERCENT: Final = 10_000
# A server with requests in flight that sends no response for the longer of these
# two times counts as unresponsive.
UNRESPONSIVE_PROCESSING_TIMES: Final = 6.0
UNRESPONSIVE_SECONDS: Final = 0.4
# A load report loses its weight as the requests that it counted finish.
REPORT_DECAY_PROCESSING_TIMES: Final = 2.0
# Pause after a failed connection or a timeout; doubles with each further failure.
BACKOFF_SECONDS: Final = 0.4
MAX_BACKOFF_SECONDS: Final = 3.0
# Enough to reach the longest pause; far more would overflow.
MAX_BACKOFF_DOUBLINGS: Final = 8
# Weight of a new request in a server's error rate, and the time constant with which
# the rate decays, so that a server that has recovered gets requests again.
ERROR_RATE_SMOOTHING: Final = 0.3
ERROR_RATE_DECAY_SECONDS: Final = 4.0
# Requests per slot that a server is assumed to have queued when it rejects one
# because it is full.
FULL_BACKLOG_PER_SLOT: Final = 3.0


class LoadReport(NamedTuple):
    """Requests that a server was running and had queued, and its slots.

    ``work_percent`` is how long work takes on its machine now; 100 is as usual.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = 100


@dataclass(slots=True)
class ServiceStat:
    """Moving averages of a service.

    ``processing_time`` is in seconds and excludes waiting; ``utilization`` is the
    share of slots that are running a request, and ``work_factor`` how long work takes
    compared to usual: the processing times contain it.
    """

    processing_time: float
    utilization: float = 0.4
    work_factor: float = 1.0


@dataclass(slots=True)
class ServerStat:
    """Statistics of one server; times are in seconds of this host's clock.

    ``in_flight`` counts requests of this host only, and ``connecting`` those that are
    to be sent and wait for a connection or a token; the backlogs count those of all
    hosts. ``unanswered_since`` is the time of the last response, or of the first
    request sent after the server was idle. Until ``down_until`` the server is paused
    after a failure. ``ended`` is set when another server answers at its address.
    ``work_factor`` is the latest report of how long work takes compared to usual.
    ``known_since`` is when this host heard of the life, if it knew an earlier one.
    """

    row: ServerRow
    in_flight: int = 0
    connecting: int = 0
    processing_time: float = 0.0
    processing_time_at: float = NEVER
    reported_backlog: float = 0.0
    mean_backlog: float = 0.0
    reported_at: float = NEVER
    slots: int = 1
    down_until: float = NEVER
    consecutive_failures: int = 0
    unanswered_since: float = NEVER
    ended: bool = False
    error_rate: float = 0.0
    error_rate_at: float = NEVER
    work_factor: float = 1.0
    work_factor_at: float = NEVER
    known_since: float = NEVER


def estimate_processing_time(
    stat: ServerStat, service: ServiceStat, now: float
) -> float:
    """Return the expected seconds that a server works on a request sent now."""
    mean = estimate_mean_time(stat, service, now)
    if stat.work_factor_at == NEVER:
        return mean
    weight = exp(-(now - stat.work_factor_at) / WORK_FACTOR_DECAY_SECONDS)
    return mean * (1 + (stat.work_factor / service.work_factor - 1) * weight)


def estimate_mean_time(stat: ServerStat, service: ServiceStat, now: float) -> float:
    """Return the mean seconds that a server works on a request."""
    if not stat.processing_time:
        return service.processing_time
    weight = exp(-(now - stat.processing_time_at) / PROCESSING_TIME_DECAY_SECONDS)
    return (
        service.processing_time
        + (stat.processing_time - service.processing_time) * weight
    )


def record_work_factor(stat: ServerStat, factor: float, at: float) -> None:
    """Record how long work took on a server's machine at a time, if it is the latest.

    Servers that never report anything else than the usual cost no estimate.
    """
    if at <= stat.work_factor_at or (factor == 1 and stat.work_factor_at == NEVER):
        return
    stat.work_factor, stat.work_factor_at = factor, at


def estimate_error_rate(stat: ServerStat, now: float) -> float:
    """Return the share of requests that a server is expected to fail."""
    if not stat.error_rate:
        return 0.0
    return stat.error_rate * exp(-(now - stat.error_rate_at) / ERROR_RATE_DECAY_SECONDS)


def estimate_backlog(stat: ServerStat, service: ServiceStat, now: float) -> float:
    """Return the expected number of requests at a server, running and queued."""
    mean_backlog = service.utilization * stat.slots
    processing_time = estimate_processing_time(stat, service, now)
    report_weight = 0.0
    if stat.reported_at > NEVER:
        age = now - stat.reported_at
        report_weight = exp(-age / (REPORT_DECAY_PROCESSING_TIMES * processing_time))
        mean_backlog += (stat.mean_backlog - mean_backlog) * exp(
            -age / BACKLOG_DECAY_SECONDS
        )
    expected = mean_backlog + (stat.reported_backlog - mean_backlog) * report_weight
    return max(expected, float(stat.in_flight + stat.connecting))


def estimate_wait(stat: ServerStat, service: ServiceStat, now: float) -> float:
    """Return the expected seconds until a request sent now is answered."""
    processing_time = estimate_processing_time(stat, service, now)
    backlog = estimate_backlog(stat, service, now)
    utilization = backlog / stat.slots
    queued = max(0.0, backlog + 1 - stat.slots) / stat.slots
    # A request may have to wait even if slots are free on average, and longer the
    # higher the utilization is.
    random_wait = min(1.0, utilization) ** 2 * 0.3
    return processing_time * (1 + max(queued, random_wait))


def is_unresponsive(stat: ServerStat, service: ServiceStat, now: float) -> bool:
    """Return whether a server with requests in flight has stopped responding.

    A slow server still responds from time to time. One that lost power never does,
    and its connections stay open without an error.
    """
    if not stat.in_flight:
        return False
    timeout = max(
        UNRESPONSIVE_PROCESSING_TIMES * estimate_processing_time(stat, service, now),
        UNRESPONSIVE_SECONDS,
    )
    return now - stat.unanswered_since > timeout


def record_sent(stat: ServerStat, now: float) -> None:
    """Record that a request was sent to a server."""
    if not stat.in_flight:
        stat.unanswered_since = now
    stat.in_flight += 1
    stat.reported_backlog += 1


def record_response(
    stat: ServerStat,
    service: ServiceStat,
    elapsed: float,
    backlog_at_send: float,
    report: LoadReport | None,
    now: float,
) -> None:
    """Update the statistics with a request that the server ran.

    ``elapsed`` is in seconds; ``backlog_at_send`` is the estimated backlog when the
    request was sent.
    """
    stat.consecutive_failures = 0
    stat.down_until = NEVER
    before = estimate_mean_time(stat, service, now)
    waiting = report.waiting if report is not None else 0
    queued = max(0.0, backlog_at_send + 1 - stat.slots) / stat.slots
    sample = elapsed / (1 + queued)
    if not waiting and backlog_at_send < stat.slots:
        service.processing_time += SERVICE_SMOOTHING * (
            sample - service.processing_time
        )
        stat.processing_time = before + PROCESSING_TIME_SMOOTHING * (sample - before)
    else:
        # The waiting time is only estimated, so the sample has less weight.
        stat.processing_time = before + QUEUED_PROCESSING_TIME_SMOOTHING * (
            sample - before
        )
    stat.processing_time_at = now
    record_load_report(stat, service, report, now)


def measure_processing_time(
    elapsed: float, backlog_at_send: float, report: LoadReport | None
) -> float | None:
    """Return the seconds that a server worked on a request; None without a report.

    With a queue, the waiting time is estimated from the queue length after the
    request. Without this estimate a server that is never idle would have no samples
    and would be assumed to have the average speed.

    >>> measure_processing_time(0.1, 0.0, LoadReport(1, 0, 2))
    0.1
    >>> round(measure_processing_time(0.3, 4.0, LoadReport(1, 4, 2)), 6)
    0.1
    """
    if report is None:
        return None
    slots = max(1, report.slots)
    if not report.waiting and backlog_at_send < slots:
        return elapsed
    present = report.running + report.waiting + 1
    return elapsed / (1 + max(0, present - slots) / slots)


def record_outcome(stat: ServerStat, now: float, *, failed: bool) -> None:
    """Update the error rate with a request that the server answered or failed."""
    rate = estimate_error_rate(stat, now)
    stat.error_rate = rate + ERROR_RATE_SMOOTHING * (float(failed) - rate)
    stat.error_rate_at = now


def record_load_report(
    stat: ServerStat, service: ServiceStat, report: LoadReport | None, now: float
) -> None:
    """Update the backlog and the utilization from a load report.

    Without a report, only the request that has ended is subtracted.
    """
    if report is None:
        stat.reported_backlog = max(0.0, stat.reported_backlog - 1)
        return
    stat.slots = max(1, report.slots)
    stat.reported_backlog = float(report.running + report.waiting)
    stat.mean_backlog += BACKLOG_SMOOTHING * (stat.reported_backlog - stat.mean_backlog)
    stat.reported_at = now
    factor = report.work_percent / 100
    record_work_factor(stat, factor, now)
    service.work_factor += SERVICE_SMOOTHING * (factor - service.work_factor)
    utilization = report.running / stat.slots
    service.utilization += SERVICE_SMOOTHING * (utilization - service.utilization)


def record_shared_backlog(stat: ServerStat, backlog: int, at: float) -> None:
    """Record the requests at a server that another host has heard of at a time."""
    if at <= stat.reported_at:
        return
    stat.reported_backlog = float(max(backlog, stat.in_flight))
    stat.mean_backlog += BACKLOG_SMOOTHING * (backlog - stat.mean_backlog)
    stat.reported_at = at


def record_full(stat: ServerStat, now: float) -> None:
    """Record that a server rejected a request because it is full."""
    stat.reported_backlog = stat.slots * (1 + FULL_BACKLOG_PER_SLOT)
    stat.reported_at = now


def record_rejection(
    stat: ServerStat, service: ServiceStat, report: LoadReport | None, now: float
) -> bool:
    """Record that a server rejected a request; return whether it is full.

    One that reports hardly a queue rejects some of its requests for another reason. It
    takes others meanwhile.

    >>> stat = ServerStat(ServerRow("s", "s", "s:1", "a", 0, 2, 0, True), slots=2)
    >>> record_rejection(stat, ServiceStat(0.1), LoadReport(1, 0, 2), 1.0)
    False
    >>> record_rejection(stat, ServiceStat(0.1), LoadReport(2, 8, 2), 1.0)
    True
    """
    record_load_report(stat, service, report, now)
    if report is not None and report.waiting < max(1, report.slots):
        return False
    record_full(stat, now)
    return True


def record_unreachable(stat: ServerStat, now: float) -> None:
    """Start or extend the pause of a server that could not be reached in time."""
    doublings = min(stat.consecutive_failures, MAX_BACKOFF_DOUBLINGS)
    pause = min(BACKOFF_SECONDS * 2**doublings, MAX_BACKOFF_SECONDS)
    stat.consecutive_failures += 1
    stat.down_until = now + pause
