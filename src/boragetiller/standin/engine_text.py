"""The stand-in engine's answers: token i of a prompt is a pure function of both."""

from __future__ import annotations

import hashlib
import json
from typing import Any

MAX_SAMPLED_TOKENS = 512
MIN_SAMPLED_TOKENS = 4
TAIL_EXPONENT = 1.3  # of the Pareto distribution of answer lengths
CHARACTERS_PER_TOKEN = 4
ROUTER_FIELDS = ("priority", "resume_from")  # added on the way, no part of the caller's request


def prompt_of(body: dict[str, Any]) -> str:
    """
    Join what the caller asked into one text.

    :param body: body of a chat or text completion
    :return: the prompt
    :raises ValueError: the body holds no prompt
    """
    if "messages" in body:
        messages = body["messages"]
        if not isinstance(messages, list) or not all(isinstance(m, dict) for m in messages):
            raise ValueError("messages must be a list of objects")
        return "\n".join(f"{m.get('role', '')}: {m.get('content', '')}" for m in messages)
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        raise ValueError("prompt must be a string")
    return prompt


def prompt_tokens(prompt: str) -> int:
    """:return: length of the prompt in tokens"""
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)


def answer_tokens(body: dict[str, Any]) -> int:
    """
    Tell the length of the answer: as asked, else heavy-tailed by a hash of the prompt.

    :param body: body of the request
    :return: number of tokens
    """
    asked = body.get("max_completion_tokens") or body.get("max_tokens")
    if asked is not None:
        return max(1, int(asked))
    digest = hashlib.sha256(b"length" + prompt_of(body).encode()).digest()
    uniform = (int.from_bytes(digest[:6], "big") + 1) / 2**48
    return min(MAX_SAMPLED_TOKENS, int(MIN_SAMPLED_TOKENS * uniform ** (-1 / TAIL_EXPONENT)))


def token_text(prompt: str, index: int) -> str:
    """
    Generate one token.

    :param prompt: the whole prompt
    :param index: position in the answer, from 0
    :return: its text
    """
    digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=3).hexdigest()
    return f"{' ' if index else ''}{index}-{digest}"


def expected_text(body: dict[str, Any]) -> str:
    """
    Tell the whole answer that a request must get.

    :param body: body of the request
    :return: the text of all tokens
    """
    prompt = prompt_of(body)
    return "".join(token_text(prompt, index) for index in range(answer_tokens(body)))


def body_digest(body: dict[str, Any]) -> str:
    """
    Name a request by its body as the caller sent it.

    :param body: body of the request
    :return: SHA-256 in hex
    """
    kept = {name: value for name, value in body.items() if name not in ROUTER_FIELDS}
    return hashlib.sha256(json.dumps(kept, sort_keys=True).encode()).hexdigest()


__all__ = [
    "answer_tokens",
    "body_digest",
    "expected_text",
    "prompt_of",
    "prompt_tokens",
    "token_text",
]
