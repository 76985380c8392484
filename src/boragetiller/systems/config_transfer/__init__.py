"""How routers get configurations that are large for their links."""

from __future__ import annotations
