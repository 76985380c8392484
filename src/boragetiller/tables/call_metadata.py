"""Calls of callers, and what a backend server's answer says of itself."""

from __future__ import annotations

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """Size of a request to an engine."""

    model: str
    input_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]  # in the order in which the engine reads them


@attrs.frozen(kw_only=True)
class CallMetadata:
    """What the router needs to know of a call; the rest passes through unread."""

    request_id: str
    host: str
    deadline_ms: float | None  # how long the caller waits
    key: str | None
    prompt: Prompt | None
    last_event_id: str | None  # the caller resumes a stream
    length_hint_tokens: float | None = None  # the caller's estimate of the answer's length


@attrs.frozen(kw_only=True)
class ForwardMetadata:
    """What the router tells a backend server with a call."""

    server_name: str  # another server must refuse the call
    deadline_ms: float
    customer: str | None
    urgency: int | None  # None for a plain service
    last_event_id: str | None


@attrs.frozen
class ServerLoad:
    """Load of a backend server as one of its answers tells it."""

    running: int
    waiting: int
    slots: int


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """What the head of an answer says."""

    status: int
    request_id: str | None  # of the request that it answers
    not_run: bool  # the backend server promises that it did not run the request
    sealed: bool  # carries the backend server's receipt
    encoded: bool  # has a content coding, so that it is not the server's own body
    load: ServerLoad | None
    idle_timeout_s: int | None  # after which the server closes the idle connection


__all__ = [
    "ResponseMetadata",
    "CallMetadata",
    "ForwardMetadata",
    "Prompt",
    "PromptPart",
    "ServerLoad",
]
