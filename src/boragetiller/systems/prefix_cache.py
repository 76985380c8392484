"""Estimate the content of an engine's prefix cache and the time that it spends on prefill."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragetiller.tables.call_metadata import Prompt, PromptPart
    from boragetiller.tables.routes import EngineProfile
    from boragetiller.tables.server_placement import PlacementCostModel
    from boragetiller.tables.servers import BackendServer

MAX_CACHED_PARTS = 40_000  # of an engine; callers choose the sizes of the parts
CACHE_SHARE = 0.8  # of an engine's memory; the rest holds the output of its running requests
PREFILL_AVERAGE_MS = 2_000.0  # time constant of the moving average of the prefill share


def estimate_uncached_tokens(
    server: BackendServer, prompt: Prompt, costs: PlacementCostModel, *, is_owner: bool = False
) -> float:
    """
    Estimate how many tokens of a prompt a server would have to prefill.

    :param server: the server
    :param prompt: the prompt; a cached part saves its prefill only if all parts before it are
        cached
    :param costs: cost model, with the share of the prefix that is likely cached at its owner
    :param is_owner: whether the server owns the prompt's prefix by rendezvous hashing
    :return: number of tokens
    """
    saved = 0.0
    for part in prompt.parts:
        if part.tokens and part.part_id not in server.cached_parts:
            break
        saved += part.tokens
    if saved == 0 and is_owner:
        saved = costs.owner_cache_share * sum(part.tokens for part in prompt.parts[:-1])
    return max(0.0, prompt.input_tokens - saved)


def estimate_prefill_share(
    server: BackendServer, costs: PlacementCostModel, now_ms: int, work_time: float = 1.0
) -> float:
    """
    Estimate the share of its time that an engine has recently spent on prefill.

    :param server: the engine
    :param costs: cost model, with the prefill speed
    :param now_ms: monotonic time in milliseconds
    :param work_time: of the engine, relative to the usual
    :return: 0 to 1
    """
    decay = math.exp(-max(0, now_ms - server.prefill_updated_ms) / PREFILL_AVERAGE_MS)
    capacity_tokens = PREFILL_AVERAGE_MS * costs.prefill_tokens_per_ms
    return min(1.0, server.recent_prefill_tokens * decay * work_time / capacity_tokens)


def record_prefill(
    server: BackendServer, prompt: Prompt, costs: PlacementCostModel, cache_tokens: int, now_ms: int
) -> None:
    """
    Record that a prompt was sent to an engine.

    Its parts count as cached as soon as the prompt is sent: the engine prefills in order of
    arrival, so the next request with the same parts finds them in the cache.

    :param server: the engine
    :param prompt: the prompt
    :param costs: see :func:`estimate_uncached_tokens`
    :param cache_tokens: capacity of the engine's cache in tokens
    :param now_ms: monotonic time in milliseconds
    """
    decay = math.exp(-max(0, now_ms - server.prefill_updated_ms) / PREFILL_AVERAGE_MS)
    server.recent_prefill_tokens = server.recent_prefill_tokens * decay + estimate_uncached_tokens(
        server, prompt, costs
    )
    server.prefill_updated_ms = now_ms
    _add_cached_parts(server, prompt.parts, cache_tokens)


def record_cached_parts(
    server: BackendServer, parts: Sequence[PromptPart], cache_tokens: int
) -> None:
    """
    Add the parts that an engine itself lists as cached.

    :param server: the engine
    :param parts: the listed parts
    :param cache_tokens: capacity of the engine's cache in tokens
    """
    unknown = tuple(part for part in parts if part.part_id not in server.cached_parts)
    _add_cached_parts(server, unknown, cache_tokens)


def estimate_cache_tokens(engine: EngineProfile) -> int:
    """
    Compute the expected capacity of an engine's prefix cache.

    :param engine: profile of the engines of the group
    :return: number of tokens
    """
    return int(CACHE_SHARE * engine.memory_tokens)


def _add_cached_parts(
    server: BackendServer, parts: tuple[PromptPart, ...], cache_tokens: int
) -> None:
    """
    Add parts to the cache estimate of an engine and evict the least recently used ones.

    A part that exceeds the cache cannot be in it; to add it would evict all others. Parts without
    tokens are not added, since no number of them would fill the cache.

    :param server: the engine
    :param parts: parts that are in its cache now
    :param cache_tokens: capacity of the cache in tokens
    """
    for part in parts:
        if not 0 < part.tokens <= cache_tokens:
            continue
        known = server.cached_parts.pop(part.part_id, 0)
        server.cached_parts[part.part_id] = part.tokens
        server.cached_tokens += part.tokens - known
    while server.cached_parts and (
        server.cached_tokens > cache_tokens or len(server.cached_parts) > MAX_CACHED_PARTS
    ):
        _, tokens = server.cached_parts.popitem(last=False)
        server.cached_tokens -= tokens


__all__ = [
    "estimate_cache_tokens",
    "estimate_prefill_share",
    "estimate_uncached_tokens",
    "record_cached_parts",
    "record_prefill",
]
