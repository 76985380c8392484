"""Request bodies for engines, and parsing and rewriting of their server-sent events."""

from __future__ import annotations

import json
from typing import Any

import attrs

from boragetiller.errors import ProtocolError
from boragetiller.tables.call_metadata import MAX_TOKENS

DATA_PREFIX = b"data: "
DONE_EVENT = b"data: [DONE]"
EVENT_END = b"\n\n"


@attrs.define
class EngineTranscript:
    """Events that engines sent for one request, over all its attempts."""

    events: list[bytes] = attrs.Factory(list)  # raw chunks, each of complete events

    def append(self, chunk: bytes) -> None:
        """
        Append a chunk.

        :param chunk: one or more complete events
        """
        self.events.append(chunk)

    def parse_events(self) -> list[dict[str, Any]]:
        """
        Parse the events, without the closing `[DONE]`.

        :return: the JSON objects in order
        :raises ProtocolError: an event is not a JSON object
        """
        parsed_events: list[dict[str, Any]] = []
        for event in b"".join(self.events).split(EVENT_END):
            if event.startswith(DATA_PREFIX) and not event.startswith(DONE_EVENT):
                parsed_events.append(_parse_event(event))
        return parsed_events

    def find_resume_point(self) -> ResumePoint:
        """:return: number of tokens and text that engines have generated so far"""
        texts = [text for text in map(_get_event_text, self.parse_events()) if text]
        return ResumePoint(tokens=len(texts), text="".join(texts))


@attrs.frozen
class ResumePoint:
    """Tokens and text generated so far, from which another engine continues a response."""

    tokens: int
    text: str


def build_engine_body(fields: dict[str, Any], tier: int, resume: ResumePoint | None) -> bytes:
    """
    Build the request body for an engine, which always asks for a stream.

    :param fields: parsed body of the caller
    :param tier: priority, the lowest is served first
    :param resume: part of the response that another engine generated, if any
    :return: JSON body
    """
    body = {**fields, "stream": True, "priority": tier}
    options = fields.get("stream_options")
    if fields.get("stream") is not True:
        body["stream_options"] = {"include_usage": True}
    elif options is not None:
        body["stream_options"] = options
    if resume is not None and resume.tokens:
        body["resume_from"] = attrs.asdict(resume)
    return json.dumps(body, separators=(",", ":")).encode()


def rewrite_resumed_chunk(chunk: bytes, tokens_before: int) -> bytes:
    """
    Rewrite a chunk of a resumed stream, so that the caller receives a single response.

    :param chunk: complete events of the resumed attempt
    :param tokens_before: number of tokens from earlier attempts
    :return: the events without a second opening event, with usage over all attempts
    :raises ProtocolError: an event is not a JSON object
    """
    rewritten_events: list[bytes] = []
    for event in chunk.split(EVENT_END):
        rewritten = _rewrite_resumed_event(event, tokens_before) if event else None
        if rewritten is not None:
            rewritten_events.append(rewritten + EVENT_END)
    return b"".join(rewritten_events)


def assemble_response(transcript: EngineTranscript) -> bytes:
    """
    Assemble the response to a request that is not streamed.

    :param transcript: all events
    :return: JSON body as an engine sends it when it does not stream
    :raises ProtocolError: there is no event, or an event is not a JSON object
    """
    events = transcript.parse_events()
    if not events:
        raise ProtocolError("response of the engine has no event")
    first = events[0]
    is_chat = str(first.get("object", "")).startswith("chat.")
    text = "".join(_get_event_text(event) for event in events)
    reason = next((r for r in map(_get_finish_reason, reversed(events)) if r), None)
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    response = {
        "id": first.get("id"),
        "object": "chat.completion" if is_chat else "text_completion",
        "created": first.get("created"),
        "model": first.get("model"),
        "choices": [choice],
    }
    usage = next((event["usage"] for event in reversed(events) if event.get("usage")), None)
    if usage is not None:
        response["usage"] = usage
    return json.dumps(response).encode()


def _parse_event(event: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(event[len(DATA_PREFIX) :])
    except (ValueError, RecursionError) as error:
        raise ProtocolError("event of the engine: must be JSON") from error
    if not isinstance(fields, dict):
        raise ProtocolError("event of the engine: must be a JSON object")
    return fields


def _get_choice(event: dict[str, Any]) -> dict[str, Any]:
    choices = event.get("choices")
    if isinstance(choices, list) and choices and isinstance(choices[0], dict):
        return choices[0]
    return {}


def _get_event_text(event: dict[str, Any]) -> str:
    choice = _get_choice(event)
    delta = choice.get("delta")
    text = delta.get("content") if isinstance(delta, dict) else choice.get("text")
    return text if isinstance(text, str) else ""


def _get_finish_reason(event: dict[str, Any]) -> str | None:
    reason = _get_choice(event).get("finish_reason")
    return reason if isinstance(reason, str) else None


def _rewrite_resumed_event(event: bytes, tokens_before: int) -> bytes | None:
    if not event.startswith(DATA_PREFIX) or event.startswith(DONE_EVENT):
        return event
    fields = _parse_event(event)
    usage = fields.get("usage")
    is_opening = not (_get_event_text(fields) or _get_finish_reason(fields) or usage)
    if is_opening:
        return None
    if isinstance(usage, dict) and _is_count(usage.get("completion_tokens")):
        fields["usage"] = _sum_usage(usage, tokens_before)
        return DATA_PREFIX + json.dumps(fields, separators=(",", ":")).encode()
    return event


def _is_count(value: Any) -> bool:
    """:return: whether a value is a number of tokens that can be added up and encoded"""
    return type(value) is int and 0 <= value <= MAX_TOKENS


def _sum_usage(usage: dict[str, Any], tokens_before: int) -> dict[str, Any]:
    completion = usage["completion_tokens"] + tokens_before
    prompt = usage["prompt_tokens"] if _is_count(usage.get("prompt_tokens")) else 0
    return {**usage, "completion_tokens": completion, "total_tokens": prompt + completion}


__all__ = [
    "EngineTranscript",
    "ResumePoint",
    "rewrite_resumed_chunk",
    "build_engine_body",
    "assemble_response",
]
