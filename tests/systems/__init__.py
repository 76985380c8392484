"""Tests of :mod:`boragetiller.systems`."""

from __future__ import annotations
