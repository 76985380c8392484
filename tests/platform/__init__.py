"""Tests of boragetiller.platform."""

from __future__ import annotations
