"""Exit codes of a router without agents."""

from __future__ import annotations

EXIT_OK = 0
EXIT_SETTINGS = 2  # the settings file cannot be used
EXIT_START = 3  # an address cannot be listened on

__all__ = ["EXIT_OK", "EXIT_SETTINGS", "EXIT_START"]
