"""The stand-in engine's answers in the OpenAI format."""

from __future__ import annotations

import json
from typing import Any

import attrs

CREATED_S = 0  # a constant, so that answers are the same in each run


@attrs.frozen(kw_only=True)
class CompletionFormat:
    """Shape of one answer."""

    request_id: str
    model: str
    chat: bool
    finish_reason: str
    prompt_tokens: int

    def build_response(self, text: str, tokens: int) -> dict[str, Any]:
        """
        Build a whole answer.

        :param text: all of the text
        :param tokens: tokens of the answer
        :return: an object for JSON
        """
        choice: dict[str, Any] = {"index": 0, "finish_reason": self.finish_reason}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.chat else "text_completion"
        return {
            **self._build_common_fields(kind),
            "choices": [choice],
            "usage": self._build_usage(tokens),
        }

    def build_chunk(self, text: str, *, first: bool) -> bytes:
        """
        Build the event of one token.

        :param text: the token
        :param first: whether the answer begins with it
        :return: a server-sent event
        """
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        if self.chat:
            choice["delta"] = {"content": text}
            if first:
                choice["delta"]["role"] = "assistant"
        else:
            choice["text"] = text
        return self._build_event([choice])

    def build_final_chunk(self) -> bytes:
        """:return: the event that tells why the answer ends"""
        choice: dict[str, Any] = {"index": 0, "finish_reason": self.finish_reason}
        if self.chat:
            choice["delta"] = {}
        else:
            choice["text"] = ""
        return self._build_event([choice])

    def build_usage_chunk(self, tokens: int) -> bytes:
        """
        Build the event with the token counts.

        :param tokens: tokens of the answer
        :return: a server-sent event
        """
        return self._build_event([], usage=self._build_usage(tokens))

    def _build_event(self, choices: list[dict[str, Any]], **more: Any) -> bytes:
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        data = {**self._build_common_fields(kind), "choices": choices, **more}
        return b"data: " + json.dumps(data).encode() + b"\n\n"

    def _build_common_fields(self, kind: str) -> dict[str, Any]:
        return {
            "id": self.request_id,
            "object": kind,
            "created": CREATED_S,
            "model": self.model,
        }

    def _build_usage(self, tokens: int) -> dict[str, int]:
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens,
        }


DONE_EVENT = b"data: [DONE]\n\n"

__all__ = ["DONE_EVENT", "CompletionFormat"]
