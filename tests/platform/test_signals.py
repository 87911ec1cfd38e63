"""Signals of the platform, on a process of its own."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

NODE = Path(__file__).parents[2] / "deploy" / "node.py"


# Guards against a change of the settings that is told while a node loads its code: the
# signal ended the process.
def test_a_reload_signal_before_the_handlers_ends_nothing(tmp_path: Path) -> None:
    probe = (
        "import os, runpy, signal, sys\n"
        "sys.modules['dragonflyrock.platform.main'] = type(sys)('main')\n"
        "def main(began_at):\n"
        "    os.kill(os.getpid(), signal.SIGHUP)\n"
        "    return 7\n"
        "sys.modules['dragonflyrock.platform.main'].main = main\n"
        f"runpy.run_path({str(NODE)!r}, run_name='__main__')\n"
    )
    ended = subprocess.run([sys.executable, "-c", probe], check=False, env=os.environ)
    assert ended.returncode == 7, signal.Signals(-ended.returncode)
