"""A stand-in for a backend server, for trials, tests and the demo."""

from __future__ import annotations
