"""The router role: callers' HTTP, placement, relay and retries."""

from __future__ import annotations
