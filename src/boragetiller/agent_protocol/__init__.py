"""The wire between router and agent: attempts and answer frames."""

from __future__ import annotations
