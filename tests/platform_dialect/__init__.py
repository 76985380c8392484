"""Tests of the platform_dialect."""

from __future__ import annotations
