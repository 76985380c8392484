"""Tests of boragetiller.tables."""

from __future__ import annotations
