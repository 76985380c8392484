"""Log events; event_numbers.py has their numbers, docs/EVENTS.md their fields."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

from boragetiller.event_numbers import Event

if TYPE_CHECKING:
    from boragetiller.log_sink import LogSink


def log_event(event: Event, **fields: object) -> None:
    """
    Log an event with its fields.

    :param event: the event
    :param fields: details; names of durations end with the unit
    """
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    logger.bind(event=event.value, **fields).info("{} {} {}", event.value, event.name.lower(), text)


def configure_logging(level: str = "INFO", *, json_lines: bool = False) -> None:
    """
    Write log lines to standard error.

    :param level: minimum level of the records that are written
    :param json_lines: write each record as a JSON object on a line of its own
    """
    logger.remove()
    logger.add(sys.stderr, level=level, serialize=json_lines, format="{time} {level} {message}")


def configure_json_logging(sink: LogSink) -> None:
    """
    Pass log records to a sink that writes JSON lines.

    :param sink: receives the records of level INFO and above
    """
    logger.remove()
    logger.add(sink.write, level="INFO", format="{message}")


__all__ = ["Event", "configure_json_logging", "configure_logging", "log_event"]
