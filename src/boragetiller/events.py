"""Log events with stable numbers; docs/EVENTS.md lists them with their fields."""

from __future__ import annotations

import sys
from enum import Enum
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from boragetiller.log_sink import LogSink


class Event(Enum):
    """All log events and their numbers."""

    PROCESS_STARTED = 100
    PROCESS_STOPPING = 101
    PROCESS_STOPPED = 102
    REQUEST_REFUSED = 200
    REQUEST_RETRIED = 202
    REQUEST_RESUMED = 203
    REQUEST_FINISHED = 204
    REQUEST_FAILED = 205
    REQUEST_CANCELLED = 206
    AGENT_EJECTED = 207
    REQUEST_CRASHED = 208
    ORDER_SENT = 300
    ORDER_DONE = 301
    ORDER_FAILED = 302
    ORDER_WITHHELD = 303
    ORDER_LEASE_TAKEN = 304
    ORDER_LEASE_REFUSED = 305
    CONFIG_READY = 600
    CONFIG_PAGE_TAKEN = 601
    CONFIG_STORE_UNREACHABLE = 602
    CONFIG_STORE_REACHED = 603
    CONFIG_UNREADABLE = 604
    CONFIG_REFERENCE_MISSING = 605
    STORE_RESTORED = 606
    STORE_ERA_INVALID = 607
    CONFIG_IGNORED = 608
    STORE_ENTRIES_RETAINED = 609
    STORE_ITEM_UNREADABLE = 610
    SHARD_COUNT_UNREADABLE = 611
    CONTROL_CONNECTED = 700
    CONTROL_CLOSED = 701
    MEMBER_CHANGED = 710
    HOST_LIST_DOUBTED = 711
    HOST_LIST_BELIEVED = 712
    HOST_UNREADABLE = 713
    CALL_ANSWERED = 800
    CALL_REPEATED = 801
    CALL_FAILED = 802
    CALL_REFUSED = 803
    CALLER_LEFT = 804
    CALL_HEDGED = 805
    CALL_PLACED = 806
    REQUESTS_STRUCK = 807
    ATTEMPT_LOST = 808
    PARTS_QUARANTINED = 809
    ROUTES_TAKEN = 810
    SERVER_GONE = 811
    SERVER_UNREADABLE = 812
    SERVER_EJECTED = 813
    SERVER_JOINED = 814
    CACHE_READ = 815
    CACHE_UNREAD = 816
    PARTS_CLEARED = 817
    SERVER_LIMIT_CHANGED = 818
    RESPONSE_HEADERS_DROPPED = 819
    PEER_HEARD = 820
    PEER_LOST = 821
    PEER_ITEM_WITHHELD = 822
    PEERS_BOUNDED = 823
    PEER_ADDRESS_INVALID = 824
    SETTINGS_RELOADED = 830
    SETTINGS_REFUSED = 831
    TASK_FAILED = 840


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
