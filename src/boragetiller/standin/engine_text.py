"""Deterministic text of the stand-in engine: a token depends only on the prompt and its index."""

from __future__ import annotations

import hashlib
import json
from typing import Any

MAX_RANDOM_OUTPUT_TOKENS = 512
MIN_RANDOM_OUTPUT_TOKENS = 4
PARETO_SHAPE = 1.3  # of the Pareto distribution of output lengths
CHARS_PER_TOKEN = 4
ROUTER_FIELDS = ("priority", "resume_from")  # added by the router, not by the caller


def extract_prompt(body: dict[str, Any]) -> str:
    """
    Extract the prompt of a request as one text.

    :param body: body of a chat or text completion
    :return: the prompt
    :raises ValueError: the body has no valid prompt
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
    Choose the output length: the requested one, or a heavy-tailed one by a hash of the prompt.

    :param body: body of the request
    :return: number of tokens
    """
    requested_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
    if requested_tokens is not None:
        return max(1, int(requested_tokens))
    digest = hashlib.sha256(b"length" + extract_prompt(body).encode()).digest()
    uniform = (int.from_bytes(digest[:6], "big") + 1) / 2**48
    return min(
        MAX_RANDOM_OUTPUT_TOKENS, int(MIN_RANDOM_OUTPUT_TOKENS * uniform ** (-1 / PARETO_SHAPE))
    )


def generate_token(prompt: str, index: int) -> str:
    """
    Generate one token.

    :param prompt: the complete prompt
    :param index: position in the output, from 0
    :return: text of the token
    """
    digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=3).hexdigest()
    return f"{' ' if index else ''}{index}-{digest}"


def build_expected_text(body: dict[str, Any]) -> str:
    """
    Build the complete text that the response to a request must have.

    :param body: body of the request
    :return: text of all tokens
    """
    prompt = extract_prompt(body)
    return "".join(generate_token(prompt, index) for index in range(choose_output_tokens(body)))


def compute_body_digest(body: dict[str, Any]) -> str:
    """
    Compute the digest of a request's body without the fields that the router adds.

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
