"""Tests; the layout mirrors the source tree."""

from __future__ import annotations

import logging

from loguru import logger

logging.getLogger("asyncio").setLevel(logging.ERROR)  # slow callbacks are no failures
logger.remove()  # log lines would bury the report of a failed test
