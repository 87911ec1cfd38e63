"""Start of a node of the platform, called by ``deploy/node.py``."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from pathlib import Path
from typing import Protocol

from ..allocator import return_large_blocks
from ..errors import DragonflyrockError
from ..node.settings import NodeSettings, load_node_settings, read_node_settings
from .names import SETTINGS_VARIABLE

__all__ = ["main"]


def _check_settings(path: Path) -> str:
    """Validate the settings file again; return the error, or an empty string."""
    try:
        load_node_settings(path)
    except DragonflyrockError as error:
        return str(error)
    return ""


class _Node(Protocol):
    """The methods of a node that are called on signals."""

    def record_stop_request(self) -> None:
        """Record the time of the first stop request."""

    def stop(self) -> None:
        """Begin a graceful stop."""

    def log_reload(self, problem: str) -> None:
        """Log a check of the settings file; ``problem`` is empty if it is valid."""


def _install_signal_handlers(node: _Node, path: Path) -> None:
    """Let SIGTERM stop a node and SIGHUP check its settings file."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: node.log_reload(_check_settings(path))
    )
    # The event loop may be busy and call its own handlers late. This handler runs at
    # once, so the grace period is counted from the signal.
    signal.signal(signal.SIGTERM, lambda *_: node.record_stop_request())


async def _run(settings: NodeSettings, path: Path, began_at: float) -> None:
    """Run a node of the configured role until a signal stops it."""
    if settings.node.role == "entry":
        from ..node.entry import EntryNode  # noqa: PLC0415 (one role per process)
        from .header_names import HEADER_NAMES  # noqa: PLC0415

        entry = EntryNode(settings, HEADER_NAMES, began_at)
        _install_signal_handlers(entry, path)
        _enable_garbage_collection()
        await entry.run()
        return
    from ..node.control import ControlNode  # noqa: PLC0415 (one role per process)
    from .control_calls import ControlCalls  # noqa: PLC0415
    from .documents import read_warmup  # noqa: PLC0415
    from .orders import OrderClient  # noqa: PLC0415

    control = ControlNode(
        settings, OrderClient().send, began_at, read_warmup=read_warmup
    )
    _install_signal_handlers(control, path)
    _enable_garbage_collection()
    await control.run(ControlCalls(control).handle)


def _enable_garbage_collection() -> None:
    """Enable garbage collection, which skips the objects that exist already."""
    gc.freeze()
    gc.enable()


def main(began_at: float) -> int:
    """Run a node and return its exit status.

    The environment names the settings file. ``began_at`` is the start of the process
    on the clock that ``read_clock`` reads.
    """
    return_large_blocks()
    logging.basicConfig(level="INFO", stream=sys.stderr)
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        asyncio.run(_run(read_node_settings(path), path, began_at))
    except DragonflyrockError as error:
        print(f"dragonflyrock: step={error.step}: {error}", file=sys.stderr)
        return 2
    return 0
