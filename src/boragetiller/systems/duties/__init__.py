"""Decisions about duties, which one router holds at a time."""

from __future__ import annotations
