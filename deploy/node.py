"""Start a node of the platform from this checkout."""

import gc
import signal
import sys
import time
from pathlib import Path

BEGAN_AT = time.clock_gettime(time.CLOCK_BOOTTIME)
# Without a handler, SIGHUP would end the process while it loads its code.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Loaded modules are never freed; garbage collection would only delay the start.
gc.disable()
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from dragonflyrock.platform.main import main

sys.exit(main(BEGAN_AT))
