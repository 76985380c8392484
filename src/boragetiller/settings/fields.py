"""Validators shared by the settings classes."""

from __future__ import annotations

from attrs import validators

MAX_PORT = 65_535
PORT = validators.and_(validators.ge(0), validators.le(MAX_PORT))
POSITIVE = validators.gt(0)
FRAME_BYTES = validators.and_(validators.gt(0), validators.lt(2**24))
SHARE = validators.and_(validators.ge(0.0), validators.le(1.0))

__all__ = ["FRAME_BYTES", "MAX_PORT", "PORT", "POSITIVE", "SHARE"]
