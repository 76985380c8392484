"""Whole sessions as text that a person can review."""

from __future__ import annotations
