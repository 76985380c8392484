"""Exit codes of the gateway process."""

from __future__ import annotations

EXIT_OK = 0
EXIT_SETTINGS = 2  # the settings file cannot be read or is invalid
EXIT_START = 3  # a listening socket cannot be opened

__all__ = ["EXIT_OK", "EXIT_SETTINGS", "EXIT_START"]
