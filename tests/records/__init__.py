"""Tests of boragetiller.records."""

from __future__ import annotations
