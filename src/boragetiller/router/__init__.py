"""The router role: HTTP interface for callers, placement on agents, responses and retries."""

from __future__ import annotations
