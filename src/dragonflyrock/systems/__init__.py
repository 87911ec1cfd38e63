"""Decisions as functions over tables: no I/O, and time is an argument."""

from __future__ import annotations
