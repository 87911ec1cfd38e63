"""Start a node of the platform from this checkout."""

import gc
import signal
import sys
import time
from pathlib import Path

BEGAN_AT = time.monotonic()
# Until there is a handler, this signal would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# What is loaded stays; searching it for garbage delays the start.
gc.disable()
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from dragonflyrock.platform.main import main

sys.exit(main(BEGAN_AT))
