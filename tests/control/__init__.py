"""Tests of boragetiller.control."""

from __future__ import annotations
