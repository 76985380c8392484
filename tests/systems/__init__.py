"""Tests of boragetiller.systems."""

from __future__ import annotations
