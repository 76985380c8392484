"""Tests of boragetiller.relay."""

from __future__ import annotations
