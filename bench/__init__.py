"""Measurements; each module is a command."""

from __future__ import annotations
