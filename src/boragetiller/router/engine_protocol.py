"""Work on the server-sent events of engines: parse, assemble, continue."""

from __future__ import annotations

import json
from typing import Any

import attrs

from boragetiller.errors import ProtocolError

DATA_PREFIX = b"data: "
DONE_EVENT = b"data: [DONE]"
EVENT_END = b"\n\n"


@attrs.define
class EngineTranscript:
    """The events that engines sent for one request, over all attempts."""

    events: list[bytes] = attrs.Factory(list)  # raw chunks, each whole events

    def append(self, chunk: bytes) -> None:
        """
        Keep a chunk of whole events.

        :param chunk: one or more events
        """
        self.events.append(chunk)

    def parse_events(self) -> list[dict[str, Any]]:
        """
        Parse the events so far, without the end marker.

        :return: the JSON objects in order
        :raises ProtocolError: when an event is no JSON object
        """
        found: list[dict[str, Any]] = []
        for event in b"".join(self.events).split(EVENT_END):
            if event.startswith(DATA_PREFIX) and not event.startswith(DONE_EVENT):
                found.append(_parse_event(event))
        return found

    def find_resume_point(self) -> ResumePoint:
        """:return: tokens and text that were relayed so far"""
        texts = [text for text in map(_get_event_text, self.parse_events()) if text]
        return ResumePoint(tokens=len(texts), text="".join(texts))


@attrs.frozen
class ResumePoint:
    """Where another engine goes on."""

    tokens: int
    text: str


def build_engine_body(fields: dict[str, Any], tier: int, resume: ResumePoint | None) -> bytes:
    """
    Build the body that is sent to an engine, which always streams.

    :param fields: the caller's body
    :param tier: priority, lower first
    :param resume: what another engine generated already, if any
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
    Adapt a chunk of a resumed stream, so that the caller sees one answer.

    :param chunk: whole events of the resumed attempt
    :param tokens_before: tokens that the caller has from earlier attempts
    :return: the events without a second opening, with usage over all attempts
    :raises ProtocolError: when an event is no JSON object
    """
    kept: list[bytes] = []
    for event in chunk.split(EVENT_END):
        adapted = _rewrite_resumed_event(event, tokens_before) if event else None
        if adapted is not None:
            kept.append(adapted + EVENT_END)
    return b"".join(kept)


def assemble_response(transcript: EngineTranscript) -> bytes:
    """
    Assemble the answer of a request that is not streamed.

    :param transcript: every event
    :return: JSON body as an engine would have sent it unstreamed
    :raises ProtocolError: when the events make no answer
    """
    events = transcript.parse_events()
    if not events:
        raise ProtocolError("the engine sent no event")
    first = events[0]
    chat = str(first.get("object", "")).startswith("chat.")
    text = "".join(_get_event_text(event) for event in events)
    reason = next((r for r in map(_get_finish_reason, reversed(events)) if r), None)
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    answer = {
        "id": first.get("id"),
        "object": "chat.completion" if chat else "text_completion",
        "created": first.get("created"),
        "model": first.get("model"),
        "choices": [choice],
    }
    usage = next((event["usage"] for event in reversed(events) if event.get("usage")), None)
    if usage is not None:
        answer["usage"] = usage
    return json.dumps(answer).encode()


def _parse_event(event: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(event[len(DATA_PREFIX) :])
    except ValueError as error:
        raise ProtocolError("event is not JSON") from error
    if not isinstance(fields, dict):
        raise ProtocolError("event is no JSON object")
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
    if isinstance(usage, dict) and isinstance(usage.get("completion_tokens"), int):
        fields["usage"] = _sum_usage(usage, tokens_before)
        return DATA_PREFIX + json.dumps(fields, separators=(",", ":")).encode()
    return event


def _sum_usage(usage: dict[str, Any], tokens_before: int) -> dict[str, Any]:
    completion = usage["completion_tokens"] + tokens_before
    prompt = usage.get("prompt_tokens", 0)
    return {**usage, "completion_tokens": completion, "total_tokens": prompt + completion}


__all__ = [
    "EngineTranscript",
    "ResumePoint",
    "rewrite_resumed_chunk",
    "build_engine_body",
    "assemble_response",
]
