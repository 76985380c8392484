"""State of one call over all its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.gateway.admitted_call import AdmittedCall
from boragetiller.gateway.outgoing_attempts import StreamState
from boragetiller.gateway.responses import EventWriter
from boragetiller.tables.direct_attempts import CallProgress

if TYPE_CHECKING:
    from aiohttp import web


@attrs.define(kw_only=True)
class CallState:
    """A call with its attempts so far."""

    call: AdmittedCall
    progress: CallProgress
    stream: StreamState | None  # None for a buffered response
    tried_servers: set[str] = attrs.field(factory=set)  # names of servers that it was sent to

    @property
    def software_version(self) -> str | None:
        """:return: version that the stream is bound to, None before its first event"""
        return self.stream.software_version if self.stream is not None else None

    @property
    def resumes_stream(self) -> bool:
        """:return: whether the caller takes up a stream of which it has events already"""
        return self.call.route.resumable and self.call.metadata.last_event_id is not None


def create_call_state(call: AdmittedCall, request: web.BaseRequest) -> CallState:
    """
    Create the state of a call without any attempt.

    :param call: the admitted call
    :param request: HTTP request of the caller
    :return: the state
    """
    route = call.route
    stream = None
    if route.streamed:
        stream = StreamState(
            event_writer=EventWriter(request), last_event_id=call.metadata.last_event_id
        )
    progress = CallProgress(repeatable=route.repeatable, max_servers=route.max_attempts)
    return CallState(call=call, progress=progress, stream=stream)


__all__ = ["CallState", "create_call_state"]
