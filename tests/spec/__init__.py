"""Tests of the specifications."""

from __future__ import annotations
