"""The agent role: the only gate to one backend server."""

from __future__ import annotations
