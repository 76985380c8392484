"""Counting of requests that aiohttp refuses or whose handler raises an unexpected error."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aiohttp.http_exceptions import BadHttpMessage, LineTooLong

from boragetiller.error_origin import format_origin
from boragetiller.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable


class RefusalCounter(logging.Handler):
    """Counts the records of aiohttp's error log; it reports malformed requests nowhere else."""

    def __init__(self, count: Callable[[str], None]) -> None:
        """:param count: called with the refusal code for each refused request"""
        super().__init__()
        self._count = count

    def emit(self, record: logging.LogRecord) -> None:
        """Count a refused request, or an exception raised by a handler as `internal`."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, LineTooLong):
            self._count("header_too_large")
        elif isinstance(error, BadHttpMessage):
            self._count("malformed_http")
        elif error is not None and record.levelno >= logging.ERROR:
            self._count("internal")
            log_event(Event.REQUEST_CRASHED, reason=repr(error), raised_at=format_origin(error))


def build_refusal_logger(count: Callable[[str], None]) -> logging.Logger:
    """
    Build the error logger of an HTTP server.

    :param count: called with the refusal code for each refused request
    :return: a logger that counts refusals and logs only unexpected errors
    """
    logger = logging.Logger("boragetiller.http", logging.DEBUG)  # not in the global hierarchy
    logger.addHandler(RefusalCounter(count))
    return logger


__all__ = ["RefusalCounter", "build_refusal_logger"]
