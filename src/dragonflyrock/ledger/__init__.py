"""The request ledger: a resend of a request finds what became of the first."""

from __future__ import annotations

from .state import Ledger

__all__ = ["Ledger"]
