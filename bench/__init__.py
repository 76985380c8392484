"""Measurements and fault runs of the project; most modules are commands."""

from __future__ import annotations
