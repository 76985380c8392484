"""Makes the modules of the `platform` folder importable, as running `platform/router.py` does."""

from __future__ import annotations

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent.parent / "platform"

if str(FOLDER) not in sys.path:
    sys.path.append(str(FOLDER))

__all__ = ["FOLDER"]
