"""The entry role: callers' requests, announcements and operators' calls."""

from __future__ import annotations
