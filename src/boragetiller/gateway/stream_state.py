"""Progress of a stream from backend servers to a caller."""

from __future__ import annotations

import attrs

from boragetiller.gateway.responses import EventWriter


@attrs.define(kw_only=True)
class StreamState:
    """Progress of a stream towards the caller."""

    event_writer: EventWriter
    last_event_id: str | None
    first_event_ms: int | None = None  # monotonic time of the first event
    last_event_ms: int = 0  # monotonic time of the last event
    longest_gap_ms: int = 0  # between two events
    complete: bool = False

    def record_event(self, now_ms: int) -> None:
        """
        Record the arrival of an event.

        :param now_ms: monotonic time in milliseconds
        """
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        else:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self.last_event_ms)
        self.last_event_ms = now_ms


__all__ = ["StreamState"]
