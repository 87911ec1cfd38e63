"""Start a node of the platform from this checkout."""

import gc
import sys
import time
from pathlib import Path

BEGAN_AT = time.monotonic()
# What is loaded stays; to search it for garbage meanwhile takes a tenth of the time.
gc.disable()
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from dragonflyrock.platform.main import main

sys.exit(main(BEGAN_AT))
