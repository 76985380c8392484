"""Count what the HTTP library refuses before a handler sees it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aiohttp.http_exceptions import BadHttpMessage, LineTooLong

if TYPE_CHECKING:
    from collections.abc import Callable


class RefusalCounter(logging.Handler):
    """Takes the library's error log, which is its only account of malformed requests."""

    def __init__(self, count: Callable[[str], None]) -> None:
        """:param count: called with a code for each refused request"""
        super().__init__()
        self._count = count

    def emit(self, record: logging.LogRecord) -> None:
        """Count a refused request; a fault of a handler is counted as internal."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, LineTooLong):
            self._count("header_too_large")
        elif isinstance(error, BadHttpMessage):
            self._count("malformed_http")
        elif error is not None and record.levelno >= logging.ERROR:
            self._count("internal")


def build_refusal_logger(count: Callable[[str], None]) -> logging.Logger:
    """
    Build the error log of one server.

    :param count: called with a code for each refused request
    :return: a logger that counts and writes nothing
    """
    logger = logging.Logger("boragetiller.http", logging.DEBUG)  # outside of the global tree
    logger.addHandler(RefusalCounter(count))
    return logger


__all__ = ["RefusalCounter", "build_refusal_logger"]
