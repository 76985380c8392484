"""Bounded fuzzing of everything that comes from outside."""

from __future__ import annotations
