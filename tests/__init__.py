"""Tests; the layout mirrors the source tree."""

from __future__ import annotations

from loguru import logger

logger.remove()  # log lines would bury the report of a failed test
