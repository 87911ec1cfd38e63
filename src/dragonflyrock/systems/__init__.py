"""Decisions as pure functions over tables: no I/O; time is an argument."""

from __future__ import annotations
