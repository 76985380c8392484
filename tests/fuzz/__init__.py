"""Fuzz tests with a bounded number of examples for all external input."""

from __future__ import annotations
