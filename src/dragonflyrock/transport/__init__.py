"""Messages between daemons, and the links that carry them."""

from __future__ import annotations
