"""Metrics of one process, held as plain numbers and rendered on request."""

from __future__ import annotations

import threading
from bisect import bisect_left
from typing import Final, Generic, TypeVar

__all__ = ["CONTENT_TYPE", "Family", "Histogram", "Metrics", "Value"]

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
BUCKET_SECONDS: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.075,
    0.1,
    0.25,
    0.5,
    0.75,
    1.0,
    2.5,
    5.0,
    7.5,
    10.0,
)


class Value:
    """The value of a counter or a gauge; any thread may change it."""

    __slots__ = ("_lock", "value")

    def __init__(self) -> None:
        """Create a value of zero."""
        self.value = 0.0
        self._lock = threading.Lock()

    def inc(self, amount: float = 1.0) -> None:
        """Add an amount to the value."""
        with self._lock:
            self.value += amount

    def set(self, value: float) -> None:
        """Replace the value."""
        self.value = value


class Histogram:
    """Counts of observed values by bucket, and their sum; any thread may add."""

    __slots__ = ("_lock", "counts", "total")

    def __init__(self) -> None:
        """Create an empty histogram; its last bucket has no upper bound."""
        self.counts = [0] * (len(BUCKET_SECONDS) + 1)
        self.total = 0.0
        self._lock = threading.Lock()

    def observe(self, value: float) -> None:
        """Add a value to its bucket and to the sum."""
        bucket = bisect_left(BUCKET_SECONDS, value)
        with self._lock:
            self.counts[bucket] += 1
            self.total += value


Cell = TypeVar("Cell", bound=Value | Histogram)


class Family(Generic[Cell]):
    """One metric: a cell (value or histogram) for each combination of label values."""

    def __init__(
        self,
        cell_type: type[Cell],
        name: str,
        documentation: str,
        *labels: str,
        is_counter: bool = False,
    ) -> None:
        """Create a metric with its help text and label names.

        A family of ``Value`` is a gauge unless ``is_counter``.
        """
        self.name = name
        self.documentation = documentation
        self.label_names = labels
        self.is_counter = is_counter
        self.cells: dict[tuple[str, ...], Cell] = {}
        self._cell_type = cell_type
        if not labels:
            self.labels()

    def labels(self, *values: str) -> Cell:
        """Return the cell for these label values; create it if there is none."""
        cell = self.cells.get(values)
        if cell is None:
            cell = self.cells.setdefault(values, self._cell_type())
        return cell


class Metrics:
    """The counters, gauges and histograms served at ``/metrics``."""

    def __init__(self) -> None:
        """Create every metric."""
        self.requests = Family(
            Value,
            "dragonflyrock_requests",
            "Responses to callers",
            "service",
            "outcome",
            "reason",
            is_counter=True,
        )
        self.request_seconds = Family(
            Histogram,
            "dragonflyrock_request_seconds",
            "Time from a caller's request to its response in seconds",
            "service",
        )
        self.retries = Family(
            Value,
            "dragonflyrock_retries",
            "Dispatches of a request after its first",
            "service",
            is_counter=True,
        )
        self.turned_away = Family(
            Value,
            "dragonflyrock_turned_away",
            "Requests refused because of what a server said, or of this host's link",
            "service",
            "reason",
            is_counter=True,
        )
        self.relayed = Family(
            Value,
            "dragonflyrock_relayed_requests",
            "Requests sent to other hosts because this one reaches no server",
            "service",
            is_counter=True,
        )
        self.servers_leaving = Family(
            Value,
            "dragonflyrock_servers_leaving",
            "Servers that leave, by how this host learned it",
            "source",
        )
        self._servers_paused = Family(
            Value,
            "dragonflyrock_servers_paused",
            "Servers that asked this host for a pause which is not over",
        )
        self._link_waiting_bytes = Family(
            Value,
            "dragonflyrock_link_waiting_bytes",
            "Bytes of large messages that wait for this host's narrow link",
        )
        self._link_waiting_requests = Family(
            Value,
            "dragonflyrock_link_waiting_requests",
            "Requests that wait until this host's narrow link has room for responses",
        )
        self._link_busy = Family(
            Value,
            "dragonflyrock_link_busy",
            "1 while this host's narrow link brings so much that answers may be late",
        )
        self._client_bytes = Family(
            Value,
            "dragonflyrock_client_bytes",
            "Bytes held for clients: requests not yet handled, responses not yet taken",
        )
        self.clients_refused = Family(
            Value,
            "dragonflyrock_clients_refused",
            "Clients whose request or connection was given up, by what was short",
            "reason",
            is_counter=True,
        )
        self.response_pauses = Family(
            Value,
            "dragonflyrock_response_pauses",
            "Pauses in reading responses that servers send in very small parts",
            is_counter=True,
        )
        self._servers_cold = Family(
            Value,
            "dragonflyrock_servers_cold",
            "Servers that this host takes for cold",
        )
        self.zone_evacuated = Family(
            Value,
            "dragonflyrock_zone_evacuated",
            "1 while the servers of a zone get no requests, by an operator's order",
            "zone",
        )
        self._servers_limited = Family(
            Value,
            "dragonflyrock_servers_limited",
            "Servers that named a limit of requests a second to this host",
        )
        self.limited_sends = Family(
            Value,
            "dragonflyrock_limited_sends",
            "Requests sent to servers that had named a limit to this host",
            "service",
            is_counter=True,
        )
        self.link_bytes = Family(
            Value,
            "dragonflyrock_link_bytes",
            "Bytes of messages between nodes",
            "direction",
            "message",
            is_counter=True,
        )
        self.server_bytes = Family(
            Value,
            "dragonflyrock_server_bytes",
            "Bytes exchanged with backend servers in the own and in other zones",
            "service",
            "zone",
            is_counter=True,
        )
        self.leading = Family(
            Value,
            "dragonflyrock_leading",
            "1 if this node leads the group",
            "group",
        )
        self.voters = Family(
            Value,
            "dragonflyrock_voters",
            "Voters of the group, by this node's log",
            "group",
        )
        self.learners = Family(
            Value,
            "dragonflyrock_learners",
            "Members of the group that do not vote, by this node's log",
            "group",
        )
        self.moves = Family(
            Value,
            "dragonflyrock_moves",
            "Moves of a range to another owner, begun by this leader",
            "service",
            "cause",
            is_counter=True,
        )
        self.log_syncs = Family(
            Value,
            "dragonflyrock_log_syncs",
            "Syncs of a group's log to disk since the start",
            "group",
        )
        self.log_bytes = Family(
            Value,
            "dragonflyrock_log_bytes",
            "Bytes of the commands after the snapshot in a group's log",
            "group",
        )
        self.snapshot_bytes = Family(
            Value,
            "dragonflyrock_snapshot_bytes",
            "Bytes of the latest snapshot of a group's state",
            "group",
        )
        self.server_restarts = Family(
            Value,
            "dragonflyrock_server_restarts",
            "Backend servers that started again under their names, seen by the leader",
            is_counter=True,
        )
        self.disk_lost = Family(
            Value,
            "dragonflyrock_disk_lost",
            "1 while writes of a group's log to disk fail",
            "group",
        )
        self.disk_refusals = Family(
            Value,
            "dragonflyrock_disk_refusals",
            "Failed writes of a group's log to disk since the start",
            "group",
        )
        self.apply_stopped = Family(
            Value,
            "dragonflyrock_apply_stopped",
            "1 after a group stopped at a log entry that needs a newer version",
            "group",
        )
        self._link_reopenings = Family(
            Value,
            "dragonflyrock_link_reopenings",
            "Links to nodes opened anew, as they were closed for some seconds",
            is_counter=True,
        )
        self._dropped_frames = Family(
            Value,
            "dragonflyrock_dropped_frames",
            "Frames between nodes that could not be decoded",
            is_counter=True,
        )
        self._revision = Family(
            Value, "dragonflyrock_revision", "Control revision applied by this node"
        )
        self._lease_seconds = Family(
            Value,
            "dragonflyrock_entry_lease_seconds",
            "Time left of the lease of this entry host in seconds",
        )
        self._loop_seconds = Family(
            Histogram,
            "dragonflyrock_loop_seconds",
            "Time of one pass of the event loop in seconds, without its waits",
        )
        self.dropped_frames = self._dropped_frames.labels()
        self.link_reopenings = self._link_reopenings.labels()
        self.servers_paused = self._servers_paused.labels()
        self.link_waiting_bytes = self._link_waiting_bytes.labels()
        self.link_waiting_requests = self._link_waiting_requests.labels()
        self.link_busy = self._link_busy.labels()
        self.client_bytes = self._client_bytes.labels()
        self.servers_cold = self._servers_cold.labels()
        self.servers_limited = self._servers_limited.labels()
        self.revision = self._revision.labels()
        self.lease_seconds = self._lease_seconds.labels()
        self.loop_seconds = self._loop_seconds.labels()

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        # Imported on first use: the library is large, and few calls need it.
        from .exposition import render_histograms, render_values  # noqa: PLC0415

        values = (
            self.requests,
            self.retries,
            self.turned_away,
            self.relayed,
            self.servers_leaving,
            self._servers_paused,
            self._servers_limited,
            self._link_waiting_bytes,
            self._link_waiting_requests,
            self._link_busy,
            self._client_bytes,
            self.clients_refused,
            self.response_pauses,
            self._servers_cold,
            self.zone_evacuated,
            self.limited_sends,
            self.link_bytes,
            self.server_bytes,
            self.leading,
            self.voters,
            self.learners,
            self.moves,
            self.log_syncs,
            self.log_bytes,
            self.snapshot_bytes,
            self.server_restarts,
            self.disk_lost,
            self.disk_refusals,
            self.apply_stopped,
            self._dropped_frames,
            self._link_reopenings,
            self._revision,
            self._lease_seconds,
        )
        histograms = (self.request_seconds, self._loop_seconds)
        return render_values(values) + render_histograms(histograms)
