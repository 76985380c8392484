"""Tests of the log analysis."""

from __future__ import annotations
