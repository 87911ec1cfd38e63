"""The request ledger, which stores the outcomes of requests by idempotency key."""

from __future__ import annotations

from .state import Ledger

__all__ = ["Ledger"]
