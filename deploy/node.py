"""Start a node of the platform from this checkout."""

import sys
import time
from pathlib import Path

BEGAN_AT = time.monotonic()
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from dragonflyrock.platform.main import main

sys.exit(main(BEGAN_AT))
