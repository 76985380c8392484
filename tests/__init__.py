"""Tests; the layout mirrors the source tree."""

from __future__ import annotations
