"""Hedged attempts within the limits that the operators set; see docs/design/hedging.md."""

from __future__ import annotations
