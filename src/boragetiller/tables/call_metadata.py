"""Metadata of calls, of the requests forwarded to backend servers and of their responses."""

from __future__ import annotations

from hashlib import blake2b

import attrs

MAX_PART_ID_CHARS = 64  # bounds the tables and reports that hold the IDs, which callers choose
DIGEST_BYTES = 16
MAX_TOKENS = 10_000_000  # exceeds the KV cache of any engine


def _shorten_part_id(part_id: str) -> str:
    """:return: the ID, or a digest of one that is too long"""
    if len(part_id) <= MAX_PART_ID_CHARS:
        return part_id
    return blake2b(part_id.encode(), digest_size=DIGEST_BYTES).hexdigest()


@attrs.frozen
class PromptPart:
    """A part of a prompt; prompts that start with the same parts share their prefill."""

    part_id: str = attrs.field(converter=_shorten_part_id)
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """Model, size and parts of the prompt of a request to an engine."""

    model: str
    input_tokens: int
    output_tokens: int  # maximum length of the output
    parts: tuple[PromptPart, ...]  # in the order in which the engine prefills them

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """:return: the parts that other requests may have too; the last is the request's own"""
        return self.parts[:-1]


@attrs.frozen(kw_only=True)
class CallMetadata:
    """Metadata of a call that the router uses; the rest is forwarded without parsing."""

    request_id: str
    host: str
    deadline_ms: float | None  # time that the caller waits for the response
    key: str | None
    prompt: Prompt | None
    last_event_id: str | None  # set if the caller resumes a stream
    # Request of the caller that brought the first event of the resumed stream, None if not named.
    resumed_request_id: str | None = None
    length_hint_tokens: float | None = None  # the caller's estimate of the output length


@attrs.frozen(kw_only=True)
class ForwardMetadata:
    """Metadata that the router sends to a backend server with a call."""

    server_name: str  # a server with another name must refuse the call
    deadline_ms: float
    customer: str | None
    urgency: int | None  # None for a plain service
    last_event_id: str | None


@attrs.frozen
class ServerLoad:
    """Load that a backend server reports in a response."""

    running: int
    waiting: int
    slots: int
    work_time: float | None = None  # relative to the usual 1.0, None if absent


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """Metadata from the status line and the headers of a response."""

    status: int
    request_id: str | None  # of the request that the response belongs to
    not_run: bool  # the backend server states in a header that it did not run the request
    instance: str | None  # name of the backend server that responded, if it gives one
    sealed: bool  # has the backend server's response seal
    encoded: bool  # has a content coding, so the body is not as the server wrote it
    load: ServerLoad | None
    leaving: bool  # the backend server states that it is leaving
    limit_per_s: float | None  # requests that the server takes from all routers together
    pause_ms: float  # for which the server wants no requests from this router, 0 if none
    invalid_pause: str | None  # start of a text that names no pause, for the log
    idle_timeout_s: int | None  # after which the server closes an idle connection


__all__ = [
    "MAX_TOKENS",
    "CallMetadata",
    "ForwardMetadata",
    "Prompt",
    "PromptPart",
    "ResponseMetadata",
    "ServerLoad",
]
