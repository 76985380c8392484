"""Read the text out of a streamed chat completion."""

from __future__ import annotations

import json

END_MARKER = b"data: [DONE]\n\n"


def streamed_text(content: bytes) -> str:
    """
    Join the text of a stream.

    :param content: server-sent events as received
    :return: the text; a cut stream has a note at its end that no engine would write
    """
    events = [json.loads(e[6:]) for e in content.split(b"\n\n") if e.startswith(b"data: {")]
    choices = [event["choices"] for event in events if event.get("choices")]
    text = "".join(choice[0]["delta"].get("content", "") for choice in choices)
    return text if content.endswith(END_MARKER) else f"{text}<cut>"


__all__ = ["END_MARKER", "streamed_text"]
