"""Time limits that the checks apply, and the size and pace of a run."""

from __future__ import annotations

from typing import Final

# Equals the default of the nodes' settings.
GRACE_SECONDS: Final = 6.0
# A request sent this shortly before its connection closed may not have been read.
UNREAD_REQUEST_SECONDS: Final = 0.2
# A kill, freeze or cut excuses failures within this time after its end.
AFTER_FAULT_SECONDS: Final = 3.0
DRAIN_SECONDS: Final = 2.0
# No request reaches a server of a zone later than this after its evacuation was
# acknowledged. Equals the default of the nodes' settings.
EVACUATION_SECONDS: Final = 5.0
CONFIG_APPLY_SECONDS: Final = 2.0
# A node may still send to a server this long after the server asked for a pause, and
# send this many requests in the rest of the pause.
PAUSE_NOTICE_SECONDS: Final = 0.5
MAX_PAUSED_ARRIVAL_COUNT: Final = 2
# A server that names a limit may get this much of it, and some requests more, within a
# window, from a time after it first named the limit, and from nodes told before.
MIN_LIMIT_PER_SECOND: Final = 1.0
LIMIT_NOTICE_SECONDS: Final = 3.0
LIMIT_TOLD_SECONDS: Final = 0.5
LIMIT_WINDOW_SECONDS: Final = 4.0
LIMIT_FACTOR: Final = 1.5
LIMIT_EXTRA_COUNT: Final = 5
# The memory of the smallest machine that our users have.
MAX_MEMORY_MB: Final = 200
RECOVERY_SECONDS: Final = 15.0
READY_VALID_SECONDS: Final = 1.0
ADDRESS_REUSE_SECONDS: Final = 2.0
# In the last sixth of the grace period, a node may cut requests that were sent early.
LATE_WORK_SECONDS: Final = GRACE_SECONDS * 5 / 6
# A request counts as sent early up to this time after SIGTERM.
EARLY_SEND_SECONDS: Final = 3.0
# A missing response is a failure this long after the request's deadline.
LATE_RESPONSE_SECONDS: Final = 0.5

# From this time after an entry node was cut off from all servers, it must serve first
# tries this many times as often as others, unless few of all first tries fail there.
ISOLATION_NOTICE_SECONDS: Final = 3.0
MIN_ISOLATED_SERVED_RATIO: Final = 2 / 3
MAX_ISOLATED_FAILED_COUNT: Final = 10
MAX_ISOLATED_FAILED_SHARE: Final = 1 / 50

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES: Final = (408, 421, 429, 503)

CONTROL_NODE_COUNT: Final = 3
ENTRY_NODE_COUNT: Final = 4
SHARDED_SERVER_COUNT: Final = 3
SERVER_COUNT: Final = 6
SLOT_COUNT: Final = 4
MAX_QUEUED_COUNT: Final = 6
ZONES: Final = ("zone-a", "zone-b", "zone-c")
KEY_COUNT: Final = 65536
CALLER_COUNT: Final = 12
# Connections to each entry node that stay open and are mostly idle.
IDLE_CONNECTIONS_PER_NODE: Final = 16
CALLER_PAUSE_SECONDS: Final = 0.12
IDLE_PAUSE_SECONDS: Final = 5.0
REQUEST_TIMEOUT_SECONDS: Final = 1.5
ROUTE_TIMEOUT_MS: Final = 2_000
# On narrow links, the responses of one route and the requests of another are large: so
# many times the usual size, and so many bytes.
LARGE_RESPONSE_PREFIX: Final = "/load/"
LARGE_RESPONSE_FACTOR: Final = 15
LARGE_REQUEST_PREFIX: Final = "/mark/"
LARGE_REQUEST_BYTES: Final = 20_000
MAX_ATTEMPT_COUNT: Final = 2
MAX_RETRY_COUNT: Final = 2
EARLY_DISCONNECT_SHARE: Final = 0.02

DEFAULT_SCRIPT_SECONDS: Final = 12.0
START_TIMEOUT_SECONDS: Final = 15.0
CALL_TIMEOUT_SECONDS: Final = 1.0
RESTART_DELAY_SECONDS: Final = 0.5
HEARTBEAT_INTERVAL_SECONDS: Final = 1.0
READY_CHECK_INTERVAL_SECONDS: Final = 1.0
OPERATOR_PAUSE_SECONDS: Final = 1.5
OPERATOR_TIMEOUT_SECONDS: Final = 8.0
CHECK_INTERVAL_SECONDS: Final = 2.0
# Response times of a process that waited this long for a processor are not checked.
STARVATION_SECONDS: Final = 0.1

# Kinds of the faults that cut an entry node off from all servers.
ISOLATIONS: Final = ("hang", "drop", "refuse")
# Kinds of the faults that part a control node from others: bytes wait, open connections
# are lost, or new ones too.
PARTINGS: Final = ("part", "lose", "trap")

LINK_PORT: Final = 7540
CALLERS_PORT: Final = 8548
# Through which entry nodes send each other requests.
RELAY_PORT: Final = 8549
READY_PORT: Final = 8542
CONTROL_PORT: Final = 8544
SERVER_PORT: Final = 8080
