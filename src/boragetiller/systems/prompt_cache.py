"""What an engine is believed to have read, and how busy reading keeps it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragetiller.tables.call_metadata import Prompt, PromptPart
    from boragetiller.tables.routes import EngineProfile
    from boragetiller.tables.server_placement import PlacementCostModel
    from boragetiller.tables.servers import BackendServer

CACHE_SHARE = 0.8  # of an engine's memory; the rest holds what its running requests generate
READ_MEMORY_MS = 2_000.0  # over which the reading of prompts is averaged


def uncached_tokens(
    server: BackendServer, prompt: Prompt, costs: PlacementCostModel, *, is_owner: bool = False
) -> float:
    """
    Estimate how many tokens of a prompt a server would have to read.

    :param server: the server
    :param prompt: parts of the prompt; a cached part helps only behind cached parts
    :param costs: what a part is worth at its owner
    :param is_owner: whether routers without knowledge would choose this server for the prompt
    :return: tokens
    """
    saved = 0.0
    for part in prompt.parts:
        if part.part_id not in server.cached_parts:
            break
        saved += part.tokens
    if saved == 0 and is_owner:
        saved = costs.owner_cache_share * sum(part.tokens for part in prompt.parts[:-1])
    return max(0.0, prompt.input_tokens - saved)


def estimate_prefill_share(server: BackendServer, costs: PlacementCostModel, now_ms: int) -> float:
    """
    Estimate the share of its time that an engine spent on reading prompts lately.

    :param server: the engine
    :param costs: how fast engines read
    :param now_ms: monotonic time in milliseconds
    :return: 0 to 1
    """
    decay = math.exp(-max(0, now_ms - server.prefill_updated_ms) / READ_MEMORY_MS)
    return min(
        1.0, server.recent_prefill_tokens * decay / (READ_MEMORY_MS * costs.prefill_tokens_per_ms)
    )


def record_prefill(
    server: BackendServer, prompt: Prompt, costs: PlacementCostModel, cache_tokens: int, now_ms: int
) -> None:
    """
    Note that an engine reads a prompt.

    It counts as read from the moment it is sent: the engine reads in order of arrival, so the next
    request with the same parts finds them there.

    :param server: the engine
    :param prompt: what it reads
    :param costs: see :func:`uncached_tokens`
    :param cache_tokens: tokens of parts that the engine keeps
    :param now_ms: monotonic time in milliseconds
    """
    decay = math.exp(-max(0, now_ms - server.prefill_updated_ms) / READ_MEMORY_MS)
    server.recent_prefill_tokens = server.recent_prefill_tokens * decay + uncached_tokens(
        server, prompt, costs
    )
    server.prefill_updated_ms = now_ms
    _note_cached(server, prompt.parts, cache_tokens)


def record_cached_parts(
    server: BackendServer, parts: Sequence[PromptPart], cache_tokens: int
) -> None:
    """
    Take an engine's own list of the parts that it holds.

    :param server: the engine
    :param parts: what it holds
    :param cache_tokens: tokens of parts that the engine keeps
    """
    unknown = tuple(part for part in parts if part.part_id not in server.cached_parts)
    _note_cached(server, unknown, cache_tokens)


def cache_capacity_tokens(engine: EngineProfile) -> int:
    """
    Tell how many tokens of parts an engine is expected to keep.

    :param engine: profile of its group
    :return: tokens
    """
    return int(CACHE_SHARE * engine.memory_tokens)


def _note_cached(server: BackendServer, parts: tuple[PromptPart, ...], cache_tokens: int) -> None:
    """
    Remember that an engine has read the parts of a prompt; the oldest parts yield.

    :param server: the server
    :param parts: what it has read
    :param cache_tokens: tokens that its cache holds
    """
    for part in parts:
        known = server.cached_parts.pop(part.part_id, 0)
        server.cached_parts[part.part_id] = part.tokens
        server.cached_tokens += part.tokens - known
    while server.cached_tokens > cache_tokens and server.cached_parts:
        _, tokens = server.cached_parts.popitem(last=False)
        server.cached_tokens -= tokens


__all__ = [
    "cache_capacity_tokens",
    "record_cached_parts",
    "record_prefill",
    "estimate_prefill_share",
    "uncached_tokens",
]
