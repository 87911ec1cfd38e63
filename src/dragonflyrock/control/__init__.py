"""The control group: its replicated state and the tasks of its leader."""

from __future__ import annotations
