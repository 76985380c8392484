"""Transfer of the configuration between routers."""

from __future__ import annotations
