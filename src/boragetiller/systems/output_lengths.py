"""Estimate the output length of a request to an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetiller.tables.call_metadata import CallMetadata
    from boragetiller.tables.routes import EngineProfile


def estimate_output_tokens(metadata: CallMetadata, engine: EngineProfile | None) -> float | None:
    """
    Estimate the output length of a request for the average of its route.

    Engines reject a request that exceeds their memory, so its length says nothing about others.

    :param metadata: metadata of the call
    :param engine: engine profile of the group, None for a plain service
    :return: tokens, None if the request does not count
    """
    prompt = metadata.prompt
    if prompt is None or engine is None:
        return None
    if prompt.input_tokens + prompt.output_tokens > engine.memory_tokens:
        return None
    longest = prompt.output_tokens
    return min(longest, metadata.length_hint_tokens or longest)


__all__ = ["estimate_output_tokens"]
