"""Parsing of streamed chat completions."""

from __future__ import annotations

import json

END_MARKER = b"data: [DONE]\n\n"


def extract_streamed_text(content: bytes) -> str:
    """
    Join the text of a stream.

    :param content: received server-sent events
    :return: the text, followed by `<cut>` if the end marker is missing
    """
    events = [json.loads(e[6:]) for e in content.split(b"\n\n") if e.startswith(b"data: {")]
    choices = [event["choices"] for event in events if event.get("choices")]
    text = "".join(choice[0]["delta"].get("content", "") for choice in choices)
    return text if content.endswith(END_MARKER) else f"{text}<cut>"


__all__ = ["END_MARKER", "extract_streamed_text"]
