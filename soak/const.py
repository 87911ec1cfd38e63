"""Bounds that are checked and sizes of a run; the unit is in each name."""

from __future__ import annotations

from typing import Final

# What is promised

GRACE_SECONDS: Final = 6.0
LOSS_SLACK_SECONDS: Final = 0.2
# A kill, freeze or cut excuses what happens within this time after its end.
CONNECTIVITY_SECONDS: Final = 3.0
DRAIN_SECONDS: Final = 2.0
CONFIG_APPLY_SECONDS: Final = 2.0
RECOVERY_SECONDS: Final = 15.0
READY_SECONDS: Final = 0.5
ADDRESS_REUSE_SECONDS: Final = 2.0
# A server that works on a request in the last sixth of the grace time may be cut,
# if the request was sent early enough.
LATE_WORK_SECONDS: Final = GRACE_SECONDS * 5 / 6
EARLY_SEND_SECONDS: Final = 3.0

# An answer is due this long after the deadline at the latest.
PATIENCE_SECONDS: Final = 0.5
# A stop of a server is in force this much later at the latest, with its queue.
ARRIVAL_SLACK_SECONDS: Final = 0.1

# What is started

CONTROL_NODES: Final = 3
ENTRY_NODES: Final = 4
SHARDED_SERVERS: Final = 3
PLAIN_SERVERS: Final = 3
SLOTS: Final = 4
QUEUE_REQUESTS: Final = 6
ZONES: Final = ("zone-a", "zone-b", "zone-c")
KEYS: Final = 65536

CALLERS: Final = 12
# Connections to each entry node that are kept open and mostly idle.
KEPT_PER_NODE: Final = 10
CALLER_PAUSE_SECONDS: Final = 0.12
KEPT_PAUSE_SECONDS: Final = 5.0
DEADLINE_SECONDS: Final = 1.5
ROUTE_TIMEOUT_MS: Final = 2_000
MAX_ATTEMPTS: Final = 2
RESENDS: Final = 2
CONNECT_SECONDS: Final = 1.0
LEAVE_EARLY_SHARE: Final = 0.02

# Times of a run

START_SECONDS: Final = 12.0
RESTART_SECONDS: Final = 0.5
HEARTBEAT_SECONDS: Final = 1.0
READY_CHECK_SECONDS: Final = 1.0
OPERATOR_PAUSE_SECONDS: Final = 1.5
OPERATOR_GIVES_UP_SECONDS: Final = 8.0
CHECK_SECONDS: Final = 2.0
DEFAULT_SECONDS: Final = 12.0

# Ports at each node's address

LINK_PORT: Final = 7540
CALLERS_PORT: Final = 8548
READY_PORT: Final = 8542
CONTROL_PORT: Final = 8544
SERVER_PORT: Final = 8080
