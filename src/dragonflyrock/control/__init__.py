"""The control group: replicated state, and the duties of its leader."""

from __future__ import annotations
