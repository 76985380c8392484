"""Responses of the stand-in engine in the OpenAI format."""

from __future__ import annotations

import json
from typing import Any

import attrs

CREATED_S = 0  # constant, so that responses are the same in each run


@attrs.frozen(kw_only=True)
class CompletionFormat:
    """Builds the response to one request, buffered or streamed."""

    request_id: str
    model: str
    is_chat: bool
    finish_reason: str
    prompt_tokens: int

    def build_response(self, text: str, tokens: int) -> dict[str, Any]:
        """
        Build a buffered response.

        :param text: the complete text
        :param tokens: number of generated tokens
        :return: fields of the JSON object
        """
        choice: dict[str, Any] = {"index": 0, "finish_reason": self.finish_reason}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.is_chat else "text_completion"
        return {
            **self._build_common_fields(kind),
            "choices": [choice],
            "usage": self._build_usage(tokens),
        }

    def build_chunk(self, text: str, *, is_first: bool) -> bytes:
        """
        Build the event of one token.

        :param text: text of the token
        :param is_first: whether it is the first token of the response
        :return: a server-sent event
        """
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        if self.is_chat:
            choice["delta"] = {"content": text}
            if is_first:
                choice["delta"]["role"] = "assistant"
        else:
            choice["text"] = text
        return self._build_event([choice])

    def build_final_chunk(self) -> bytes:
        """:return: the event with the finish reason"""
        choice: dict[str, Any] = {"index": 0, "finish_reason": self.finish_reason}
        if self.is_chat:
            choice["delta"] = {}
        else:
            choice["text"] = ""
        return self._build_event([choice])

    def build_usage_chunk(self, tokens: int) -> bytes:
        """
        Build the event with the token counts.

        :param tokens: number of generated tokens
        :return: a server-sent event
        """
        return self._build_event([], usage=self._build_usage(tokens))

    def _build_event(self, choices: list[dict[str, Any]], **extra_fields: Any) -> bytes:
        kind = "chat.completion.chunk" if self.is_chat else "text_completion"
        data = {**self._build_common_fields(kind), "choices": choices, **extra_fields}
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
