"""Metrics of one daemon, in a registry of its own."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

__all__ = ["Metrics"]


class Metrics:
    """The counters, gauges and histograms that ``/metrics`` shows."""

    def __init__(self) -> None:
        """Register every metric."""
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "dragonflyrock_requests",
            "Answers to callers",
            ["service", "outcome", "reason"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "dragonflyrock_request_seconds",
            "Time from a caller's request to its answer",
            ["service"],
            registry=self.registry,
        )
        self.retries = Counter(
            "dragonflyrock_retries",
            "Dispatches after the first of a request",
            ["service"],
            registry=self.registry,
        )
        self.dropped_frames = Counter(
            "dragonflyrock_dropped_frames",
            "Frames between daemons that did not decode",
            registry=self.registry,
        )
        self.link_bytes = Counter(
            "dragonflyrock_link_bytes",
            "Bytes of messages between daemons",
            ["direction", "message"],
            registry=self.registry,
        )
        self.leading = Gauge(
            "dragonflyrock_leading",
            "1 where this daemon leads the group",
            ["group"],
            registry=self.registry,
        )
        self.revision = Gauge(
            "dragonflyrock_revision",
            "Control revision applied by this daemon",
            registry=self.registry,
        )
        self.lease_seconds = Gauge(
            "dragonflyrock_entry_lease_seconds",
            "Time left of this entry host's lease",
            registry=self.registry,
        )
        self.moves = Counter(
            "dragonflyrock_moves",
            "Changes of a range's owner, by this leader",
            ["service", "cause"],
            registry=self.registry,
        )
        self.log_syncs = Gauge(
            "dragonflyrock_log_syncs",
            "Syncs of a group's log since the start",
            ["group"],
            registry=self.registry,
        )
        self.disk_lost = Gauge(
            "dragonflyrock_disk_lost",
            "1 while the disk of a group's log refuses writes",
            ["group"],
            registry=self.registry,
        )
        self.disk_refusals = Gauge(
            "dragonflyrock_disk_refusals",
            "Writes of a group's log that the disk refused since the start",
            ["group"],
            registry=self.registry,
        )
        self.apply_stopped = Gauge(
            "dragonflyrock_apply_stopped",
            "1 since a group's log holds what only a newer version can apply",
            ["group"],
            registry=self.registry,
        )
        self.loop_seconds = Histogram(
            "dragonflyrock_loop_seconds",
            "Time of one pass of the runtime's loop",
            registry=self.registry,
        )
