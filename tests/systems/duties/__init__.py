"""Tests of the duties in :mod:`boragetiller.systems`."""

from __future__ import annotations
