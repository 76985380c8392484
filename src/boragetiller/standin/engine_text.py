"""The stand-in engine's answers: token i of a prompt is a pure function of both."""

from __future__ import annotations

import hashlib
import json
from typing import Any

MAX_RANDOM_OUTPUT_TOKENS = 512
MIN_RANDOM_OUTPUT_TOKENS = 4
PARETO_SHAPE = 1.3  # of the Pareto distribution of answer lengths
CHARS_PER_TOKEN = 4
ROUTER_FIELDS = ("priority", "resume_from")  # added on the way, no part of the caller's request


def extract_prompt(body: dict[str, Any]) -> str:
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


def count_prompt_tokens(prompt: str) -> int:
    """:return: length of the prompt in tokens"""
    return max(1, len(prompt) // CHARS_PER_TOKEN)


def choose_output_tokens(body: dict[str, Any]) -> int:
    """
    Tell the length of the answer: as asked, else heavy-tailed by a hash of the prompt.

    :param body: body of the request
    :return: number of tokens
    """
    asked = body.get("max_completion_tokens") or body.get("max_tokens")
    if asked is not None:
        return max(1, int(asked))
    digest = hashlib.sha256(b"length" + extract_prompt(body).encode()).digest()
    uniform = (int.from_bytes(digest[:6], "big") + 1) / 2**48
    return min(
        MAX_RANDOM_OUTPUT_TOKENS, int(MIN_RANDOM_OUTPUT_TOKENS * uniform ** (-1 / PARETO_SHAPE))
    )


def generate_token(prompt: str, index: int) -> str:
    """
    Generate one token.

    :param prompt: the whole prompt
    :param index: position in the answer, from 0
    :return: its text
    """
    digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=3).hexdigest()
    return f"{' ' if index else ''}{index}-{digest}"


def build_expected_text(body: dict[str, Any]) -> str:
    """
    Tell the whole answer that a request must get.

    :param body: body of the request
    :return: the text of all tokens
    """
    prompt = extract_prompt(body)
    return "".join(generate_token(prompt, index) for index in range(choose_output_tokens(body)))


def compute_body_digest(body: dict[str, Any]) -> str:
    """
    Name a request by its body as the caller sent it.

    :param body: body of the request
    :return: SHA-256 in hex
    """
    kept = {name: value for name, value in body.items() if name not in ROUTER_FIELDS}
    return hashlib.sha256(json.dumps(kept, sort_keys=True).encode()).hexdigest()


__all__ = [
    "choose_output_tokens",
    "compute_body_digest",
    "build_expected_text",
    "extract_prompt",
    "count_prompt_tokens",
    "generate_token",
]
