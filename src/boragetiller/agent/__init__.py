"""The agent role: admission, claims and orders for one backend server."""

from __future__ import annotations
