"""Operator records: kinds, schema versions, merge and validation."""

from __future__ import annotations
