"""Start a node of the platform from this checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from dragonflyrock.platform.main import main

sys.exit(main())
