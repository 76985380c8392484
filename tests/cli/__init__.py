"""Tests of boragetiller.cli."""

from __future__ import annotations
