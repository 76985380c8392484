"""Tests of :mod:`boragetiller.tables`."""

from __future__ import annotations
