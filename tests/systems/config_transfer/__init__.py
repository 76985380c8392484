"""Tests of :mod:`boragetiller.systems.config_transfer`."""

from __future__ import annotations
