"""Bounds that are checked and sizes of a run; the unit is in each name."""

from __future__ import annotations

from typing import Final

# What is promised

# The default of a node, which its settings leave alone.
GRACE_SECONDS: Final = 6.0
LOSS_SLACK_SECONDS: Final = 0.2
# A kill, freeze or cut excuses what happens within this time after its end.
CONNECTIVITY_SECONDS: Final = 3.0
DRAIN_SECONDS: Final = 2.0
CONFIG_APPLY_SECONDS: Final = 2.0
RECOVERY_SECONDS: Final = 15.0
READY_SECONDS: Final = 1.0
ADDRESS_REUSE_SECONDS: Final = 2.0
# Work of a request that was sent early may be cut in the last sixth of the grace time.
LATE_WORK_SECONDS: Final = GRACE_SECONDS * 5 / 6
EARLY_SEND_SECONDS: Final = 3.0
# An answer is due this long after the deadline at the latest.
PATIENCE_SECONDS: Final = 0.5

# What is started

CONTROL_NODES: Final = 3
ENTRY_NODES: Final = 4
SHARDED_SERVERS: Final = 3
SERVERS: Final = 6
SLOTS: Final = 4
QUEUE_REQUESTS: Final = 6
ZONES: Final = ("zone-a", "zone-b", "zone-c")
KEYS: Final = 65536
CALLERS: Final = 12
# Connections to each entry node that are kept open and mostly idle.
KEPT_PER_NODE: Final = 16
CALLER_PAUSE_SECONDS: Final = 0.12
KEPT_PAUSE_SECONDS: Final = 5.0
DEADLINE_SECONDS: Final = 1.5
ROUTE_TIMEOUT_MS: Final = 2_000
MAX_ATTEMPTS: Final = 2
RESENDS: Final = 2
LEAVE_EARLY_SHARE: Final = 0.02

# Times of a run

DEFAULT_SECONDS: Final = 12.0
START_SECONDS: Final = 15.0
CALL_SECONDS: Final = 1.0
RESTART_SECONDS: Final = 0.5
HEARTBEAT_SECONDS: Final = 1.0
READY_CHECK_SECONDS: Final = 1.0
OPERATOR_PAUSE_SECONDS: Final = 1.5
OPERATOR_GIVES_UP_SECONDS: Final = 8.0
CHECK_SECONDS: Final = 2.0
# Who waited so long for the machine's processor proves nothing about times.
BLIND_SECONDS: Final = 0.1

# Ports at each node's address

LINK_PORT: Final = 7540
CALLERS_PORT: Final = 8548
READY_PORT: Final = 8542
CONTROL_PORT: Final = 8544
SERVER_PORT: Final = 8080
