"""The control exchange between routers and agents."""

from __future__ import annotations
