"""Messages between nodes, and the links that carry them."""

from __future__ import annotations
