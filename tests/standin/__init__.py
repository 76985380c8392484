"""Tests of boragetiller.standin."""

from __future__ import annotations
