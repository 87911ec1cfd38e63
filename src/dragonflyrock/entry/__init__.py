"""The entry role: handles requests of callers, backend servers and operators."""

from __future__ import annotations
