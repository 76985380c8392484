"""Incremental splitter of event streams (server-sent events)."""

from __future__ import annotations

import attrs

EVENT_DELIMITER = b"\n\n"
ID_FIELD = b"id:"
MAX_ID_DIGITS = 19  # of a signed 64-bit integer
MAX_EVENT_BYTES = 1_048_576  # an event holds a few tokens, or a store value of up to 1 MB


@attrs.frozen
class StreamEvents:
    """Complete events as bytes, their number, and the id of the last one."""

    data: bytes
    count: int
    last_id: str | None


class EventTooLarge(ValueError):
    """An event exceeds MAX_EVENT_BYTES."""


class EventSplitter:
    """Buffers an event until it is complete and drops events that the caller already has."""

    def __init__(self, after_id: str | None = None) -> None:
        """:param after_id: last event that the caller has; it and older events are dropped"""
        self._buffer = bytearray()
        self._after_number = _parse_number(after_id)
        self.last_id = after_id

    @property
    def has_partial_event(self) -> bool:
        """:return: whether the buffer holds an incomplete event"""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> StreamEvents:
        """
        Process the next bytes of the stream.

        :param data: the next bytes
        :return: events that are complete now
        :raises EventTooLarge: an incomplete event exceeds MAX_EVENT_BYTES
        """
        searched = max(0, len(self._buffer) - len(EVENT_DELIMITER))
        self._append(data)
        end = self._buffer.rfind(EVENT_DELIMITER, searched)
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise EventTooLarge(f"event exceeds {MAX_EVENT_BYTES} bytes")
            return StreamEvents(b"", 0, self.last_id)
        end += len(EVENT_DELIMITER)
        complete_events = bytes(self._buffer[:end])
        del self._buffer[:end]
        return self._filter_events(complete_events)

    def _append(self, data: bytes) -> None:
        """Buffer data with CR LF replaced by LF, also if a read ends between the two."""
        if data.startswith(b"\n") and self._buffer.endswith(b"\r"):
            del self._buffer[-1:]
        self._buffer += data.replace(b"\r\n", b"\n") if b"\r" in data else data

    def _filter_events(self, complete_events: bytes) -> StreamEvents:
        kept = []
        for event in complete_events.split(EVENT_DELIMITER)[:-1]:
            event_id = _parse_event_id(event)
            number = _parse_number(event_id)
            if (
                self._after_number is not None
                and number is not None
                and number <= self._after_number
            ):
                continue
            kept.append(event + EVENT_DELIMITER)
            if event_id is not None:
                self.last_id, self._after_number = event_id, number
        return StreamEvents(b"".join(kept), len(kept), self.last_id)


def _parse_event_id(event: bytes) -> str | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("utf-8", "replace")
    return None


def _parse_number(event_id: str | None) -> int | None:
    """:return: the number; longer ids are not numbered, since int() refuses very long ones"""
    if event_id is None or len(event_id) > MAX_ID_DIGITS or not event_id.isdecimal():
        return None
    return int(event_id)


__all__ = ["MAX_EVENT_BYTES", "EventSplitter", "EventTooLarge", "StreamEvents"]
