"""Tests, laid out like the source tree."""

from __future__ import annotations

import logging

from loguru import logger

logging.getLogger("asyncio").setLevel(logging.ERROR)  # hides warnings about slow callbacks
logger.remove()  # keeps log lines out of the test report
