"""The program that the platform starts: ``deploy/node.py``."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from pathlib import Path
from typing import Protocol

from ..errors import DragonflyrockError
from ..node.settings import NodeSettings, load_node_settings
from .names import SETTINGS_VARIABLE

__all__ = ["main"]


def _check_again(path: Path) -> str:
    """Read the settings file anew; return why it is refused, or an empty text."""
    try:
        load_node_settings(path)
    except DragonflyrockError as error:
        return str(error)
    return ""


class _Stoppable(Protocol):
    """What the signals of the platform act on."""

    def record_stop_request(self) -> None:
        """Note that a stop signal has come."""

    def stop(self) -> None:
        """Begin to end."""

    def log_reload(self, problem: str) -> None:
        """Tell that the settings were read anew."""


def _handle_signals(node: _Stoppable, path: Path) -> None:
    """Have signals stop a node and read its settings anew."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(signal.SIGHUP, lambda: node.log_reload(_check_again(path)))
    # The loop calls its handlers when it gets to them; this one runs at once.
    signal.signal(signal.SIGTERM, lambda *_: node.record_stop_request())


async def _run(settings: NodeSettings, path: Path, began_at: float) -> None:
    """Run the role that the settings name, until a signal ends it."""
    if settings.node.role == "entry":
        from ..node.entry import EntryNode  # noqa: PLC0415 (one role a process)
        from .dialect import DIALECT  # noqa: PLC0415

        entry = EntryNode(settings, DIALECT, began_at)
        _handle_signals(entry, path)
        _end_loading()
        await entry.run()
        return
    from ..node.control import ControlNode  # noqa: PLC0415 (one role a process)
    from .control_calls import ControlCalls  # noqa: PLC0415
    from .orders import OrderCalls  # noqa: PLC0415

    control = ControlNode(settings, OrderCalls().send, began_at)
    _handle_signals(control, path)
    _end_loading()
    await control.run(ControlCalls(control).handle)


def _end_loading() -> None:
    """Collect garbage from now on, but not in what was loaded."""
    gc.freeze()
    gc.enable()


def main(began_at: float) -> int:
    """Run a node by the settings file that the environment names.

    ``began_at`` is when the process began, by its steady clock.
    """
    logging.basicConfig(level="INFO", stream=sys.stderr)
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        asyncio.run(_run(load_node_settings(path), path, began_at))
    except DragonflyrockError as error:
        print(f"dragonflyrock: step={error.step}: {error}", file=sys.stderr)
        return 2
    return 0
