"""What an engine is believed to have read, and how busy reading keeps it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragetiller.tables.call_metadata import Prompt, PromptPart
    from boragetiller.tables.routes import EngineProfile
    from boragetiller.tables.server_placement import PlacementCosts
    from boragetiller.tables.servers import BackendServer

CACHE_SHARE = 0.8  # of an engine's memory; the rest holds what its running requests generate
READ_MEMORY_MS = 2_000.0  # over which the reading of prompts is averaged


def uncached_tokens(
    server: BackendServer, prompt: Prompt, costs: PlacementCosts, *, is_owner: bool = False
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
        saved = costs.owner_share * sum(part.tokens for part in prompt.parts[:-1])
    return max(0.0, prompt.input_tokens - saved)


def read_share(server: BackendServer, costs: PlacementCosts, now_ms: int) -> float:
    """
    Estimate the share of its time that an engine spent on reading prompts lately.

    :param server: the engine
    :param costs: how fast engines read
    :param now_ms: monotonic time in milliseconds
    :return: 0 to 1
    """
    decay = math.exp(-max(0, now_ms - server.read_noted_ms) / READ_MEMORY_MS)
    return min(1.0, server.read_tokens * decay / (READ_MEMORY_MS * costs.read_tokens_per_ms))


def note_read(
    server: BackendServer, prompt: Prompt, costs: PlacementCosts, cache_tokens: int, now_ms: int
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
    decay = math.exp(-max(0, now_ms - server.read_noted_ms) / READ_MEMORY_MS)
    server.read_tokens = server.read_tokens * decay + uncached_tokens(server, prompt, costs)
    server.read_noted_ms = now_ms
    _note_cached(server, prompt.parts, cache_tokens)


def note_held(server: BackendServer, parts: Sequence[PromptPart], cache_tokens: int) -> None:
    """
    Take an engine's own list of the parts that it holds.

    :param server: the engine
    :param parts: what it holds
    :param cache_tokens: tokens of parts that the engine keeps
    """
    unknown = tuple(part for part in parts if part.part_id not in server.cached_parts)
    _note_cached(server, unknown, cache_tokens)


def engine_cache_tokens(engine: EngineProfile) -> int:
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


__all__ = ["engine_cache_tokens", "note_held", "note_read", "read_share", "uncached_tokens"]
