"""Entities that the systems run over."""

from __future__ import annotations
