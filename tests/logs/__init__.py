"""Tests of the log readers."""

from __future__ import annotations
