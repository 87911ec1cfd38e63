"""Tests of signals, in a process of their own."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

NODE = Path(__file__).parents[2] / "deploy" / "node.py"


# Guards against a reload signal that arrives while a node loads its code: it ended the
# process.
def test_a_reload_signal_before_the_handlers_is_ignored(tmp_path: Path) -> None:
    script = (
        "import os, runpy, signal, sys\n"
        "sys.modules['dragonflyrock.platform.main'] = type(sys)('main')\n"
        "def main(began_at):\n"
        "    os.kill(os.getpid(), signal.SIGHUP)\n"
        "    return 7\n"
        "sys.modules['dragonflyrock.platform.main'].main = main\n"
        f"runpy.run_path({str(NODE)!r}, run_name='__main__')\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", script], check=False, env=os.environ
    )
    assert completed.returncode == 7, signal.Signals(-completed.returncode)
