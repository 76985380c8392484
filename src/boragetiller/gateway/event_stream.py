"""Split an event stream into whole events."""

from __future__ import annotations

import attrs

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


@attrs.frozen
class StreamEvents:
    """Whole events, as bytes for the caller, and the id of the last one."""

    data: bytes
    count: int
    last_id: str | None


class EventSplitter:
    """Holds back the beginning of an event until its end has come."""

    def __init__(self, after_id: str | None = None) -> None:
        """:param after_id: last event that the caller has; it and older ones are dropped"""
        self._rest = b""
        self._after = _number(after_id)
        self.last_id = after_id

    @property
    def has_rest(self) -> bool:
        """:return: whether an event has begun and not ended"""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> StreamEvents:
        """
        Take bytes of the stream.

        :param data: the next bytes
        :return: the events that are whole now
        """
        text = self._rest + data.replace(b"\r\n", b"\n") if b"\r" in data else self._rest + data
        end = text.rfind(EVENT_END)
        if end < 0:
            self._rest = text
            return StreamEvents(b"", 0, self.last_id)
        whole, self._rest = text[: end + len(EVENT_END)], text[end + len(EVENT_END) :]
        return self._select(whole)

    def _select(self, whole: bytes) -> StreamEvents:
        kept = []
        for event in whole.split(EVENT_END)[:-1]:
            event_id = _event_id(event)
            number = _number(event_id)
            if self._after is not None and number is not None and number <= self._after:
                continue
            kept.append(event + EVENT_END)
            if event_id is not None:
                self.last_id, self._after = event_id, number
        return StreamEvents(b"".join(kept), len(kept), self.last_id)


def _event_id(event: bytes) -> str | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("utf-8", "replace")
    return None


def _number(event_id: str | None) -> int | None:
    return int(event_id) if event_id is not None and event_id.isdecimal() else None


__all__ = ["EventSplitter", "StreamEvents"]
