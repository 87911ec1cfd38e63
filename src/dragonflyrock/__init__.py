"""A router for backend servers that each own their keys exclusively."""

from __future__ import annotations

from typing import Final

__all__ = ["VERSION"]

VERSION: Final = "0.1.0"
