"""Traces of the decisions on recent requests, for `boragetiller explain`."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from boragetiller.clock import Clock

MAX_TRACES = 5_000
MAX_STEPS_PER_TRACE = 64


@attrs.frozen(kw_only=True)
class TraceStep:
    """One decision; `at_ms` is the time since the arrival of the request."""

    at_ms: int
    step: str
    detail: str


@attrs.define
class Trace:
    """The decisions on one request."""

    arrived_ms: int
    steps: list[TraceStep] = attrs.Factory(list)


class TraceTable:
    """Traces by request id; the oldest are evicted first."""

    def __init__(self, clock: Clock, max_traces: int = MAX_TRACES) -> None:
        """
        Prepare the table.

        :param clock: monotonic time
        :param max_traces: number of requests whose traces are kept
        """
        self._clock = clock
        self._max_traces = max_traces
        self._traces: OrderedDict[str, Trace] = OrderedDict()

    def record(self, request_id: str, step: str, **details: object) -> None:
        """
        Record a decision.

        :param request_id: id of the request
        :param step: the decision
        :param details: its reasons; names of durations end in their unit
        """
        now_ms = self._clock.now_ms()
        trace = self._traces.setdefault(request_id, Trace(now_ms))
        if len(trace.steps) < MAX_STEPS_PER_TRACE:
            detail = " ".join(f"{name}={value}" for name, value in details.items())
            trace.steps.append(TraceStep(at_ms=now_ms - trace.arrived_ms, step=step, detail=detail))
        while len(self._traces) > self._max_traces:
            self._traces.popitem(last=False)

    def list_traces(self) -> list[Trace]:
        """:return: all traces, oldest first"""
        return list(self._traces.values())

    def get(self, request_id: str) -> Trace | None:
        """:return: the decisions on a request, None if it is unknown or evicted"""
        return self._traces.get(request_id)


__all__ = ["Trace", "TraceStep", "TraceTable"]
