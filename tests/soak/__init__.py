"""Tests of the soak of real processes."""

from __future__ import annotations
