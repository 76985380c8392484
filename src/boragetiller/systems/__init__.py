"""Decisions as pure functions over tables; no socket, clock or global random."""

from __future__ import annotations
