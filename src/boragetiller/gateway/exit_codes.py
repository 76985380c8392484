"""Exit codes of the gateway process."""

from __future__ import annotations

EXIT_OK = 0
EXIT_SETTINGS = 2  # the settings file cannot be read or is invalid
EXIT_START = 3  # a listening socket cannot be opened
# 4 is boragetillerd's EXIT_FORCED, 5 is EXIT_LOAD of installation/load_errors.py

__all__ = ["EXIT_OK", "EXIT_SETTINGS", "EXIT_START"]
