"""Exchange of control messages between routers and agents."""

from __future__ import annotations
