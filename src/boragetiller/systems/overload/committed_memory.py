"""
Decide whether an engine has memory for one more request.

An engine crashes if the requests that it holds exceed its memory for tokens, waiting ones included.
Requests with the same shared prompt parts hold these once. If each router counted a part that it
has in flight, the sum would be twice the tokens that an engine holds. Since routers report their
prompts to each other, only the one that sent a part last counts it; the others count it again
RECENT_MS later, when the request of that router may have ended.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.committed_memory import Commitment, SharedPart

if TYPE_CHECKING:
    from boragetiller.tables.call_metadata import Prompt
    from boragetiller.tables.committed_memory import CommittedMemory
    from boragetiller.tables.server_placement import PlacementCostModel, ServerPlacementRequest
    from boragetiller.tables.servers import BackendServer

MEMORY_SHARE = 0.9  # of an engine's memory; the rest covers outputs longer than typical
RECENT_MS = 4_000  # a stream of a few hundred tokens takes longer under load
CROSSING_MS = 200  # reports about prompts sent at the same time cross; then both routers count
MAX_PEER_PARTS = 1_024  # of an engine; callers choose the sizes of the parts


def commit_request(
    memory: CommittedMemory, prompt: Prompt, output_tokens: float, now_ms: int
) -> Commitment:
    """
    Commit the tokens of a request that is sent to an engine.

    :param memory: tokens committed at the engine
    :param prompt: prompt of the request
    :param output_tokens: typical output tokens of its route
    :param now_ms: monotonic time in milliseconds
    :return: what to release at its end
    """
    shared = _limit_shared_parts(prompt)
    own_tokens = prompt.input_tokens - sum(shared.values()) + int(output_tokens)
    memory.tokens += own_tokens
    for part_id, tokens in shared.items():
        memory.peer_parts.pop(part_id, None)
        if part_id not in memory.shared_parts:
            memory.shared_parts[part_id] = SharedPart(0, now_ms)
        part = memory.shared_parts[part_id]
        # Callers declare the sizes; a request that declares less must not hide those of others.
        memory.shared_tokens += max(0, tokens - part.tokens)
        part.tokens = max(part.tokens, tokens)
        part.requests += 1
        part.sent_ms = now_ms
    return Commitment(own_tokens, tuple(shared))


def release_request(memory: CommittedMemory, commitment: Commitment) -> None:
    """
    Release the tokens of a request that has ended.

    :param memory: tokens committed at the engine
    :param commitment: as returned by :func:`commit_request`
    """
    memory.tokens -= commitment.tokens
    for part_id in commitment.part_ids:
        part = memory.shared_parts[part_id]
        part.requests -= 1
        if not part.requests:
            memory.shared_tokens -= part.tokens
            del memory.shared_parts[part_id]


def record_peer_parts(memory: CommittedMemory, prompt: Prompt, now_ms: int) -> None:
    """
    Record that a peer sent a prompt to an engine.

    :param memory: tokens committed at the engine
    :param prompt: the prompt
    :param now_ms: monotonic time in milliseconds
    """
    for part in prompt.shared_parts:
        own = memory.shared_parts.get(part.part_id)
        if own is None or now_ms - own.sent_ms >= CROSSING_MS:
            memory.peer_parts[part.part_id] = now_ms
            memory.peer_parts.move_to_end(part.part_id)
    _drop_old_parts(memory, now_ms)


def count_own_tokens(memory: CommittedMemory, now_ms: int) -> int:
    """
    Count the tokens of this router's requests in flight, as it reports them to its peers.

    :param memory: tokens committed at the engine
    :param now_ms: monotonic time in milliseconds
    :return: tokens, without the shared parts that a peer counts
    """
    _drop_old_parts(memory, now_ms)
    return memory.tokens + sum(
        part.tokens
        for part_id, part in memory.shared_parts.items()
        if part_id not in memory.peer_parts
    )


def has_memory(
    server: BackendServer, request: ServerPlacementRequest, costs: PlacementCostModel, now_ms: int
) -> bool:
    """
    Decide whether a request fits into the memory of an engine beside those in flight.

    Requests that no router reported count at the average size of the known ones, or at the
    request's own size if none is known. An engine without any request takes one up to its whole
    memory, so that no request is refused for ever that an engine can hold.

    :param server: the engine
    :param request: the request
    :param costs: cost model of the group
    :param now_ms: monotonic time in milliseconds
    :return: whether the request may be sent to the engine
    """
    if request.prompt is None or request.memory_tokens <= 0:
        return True
    memory, extrapolation = server.memory, 1.0 / costs.reporting_share
    request_tokens = request.prompt.input_tokens + request.typical_output_tokens
    committed = memory.tokens + extrapolation * server.peer_load.committed_tokens
    known = server.in_flight + extrapolation * server.peer_load.in_flight
    unreported = server.estimate_unreported_requests(now_ms)
    average = committed / known if committed and known else request_tokens
    committed += unreported * average
    limit = MEMORY_SHARE * request.memory_tokens
    if committed + memory.shared_tokens + request_tokens < limit:
        return True
    if not known and unreported < 1.0:
        return request_tokens <= request.memory_tokens
    own_shared = count_own_tokens(memory, now_ms) - memory.tokens
    held = 0
    for part_id, tokens in _limit_shared_parts(request.prompt).items():
        own = memory.shared_parts.get(part_id)
        if own is not None:
            held += min(tokens, own.tokens)
        elif part_id in memory.peer_parts:
            held += tokens
    return committed + own_shared + request_tokens - held < limit


def _limit_shared_parts(prompt: Prompt) -> dict[str, int]:
    """
    List the shared parts that together are no longer than the prompt.

    Callers declare the sizes; without the limit one request could commit any number of tokens.

    :return: tokens by ID
    """
    parts: dict[str, int] = {}
    left = prompt.input_tokens
    for part in prompt.shared_parts:
        if part.part_id not in parts:
            parts[part.part_id] = min(part.tokens, left)
            left -= parts[part.part_id]
    return parts


def _drop_old_parts(memory: CommittedMemory, now_ms: int) -> None:
    while memory.peer_parts:
        oldest_ms = next(iter(memory.peer_parts.values()))
        if now_ms - oldest_ms < RECENT_MS and len(memory.peer_parts) <= MAX_PEER_PARTS:
            return
        memory.peer_parts.popitem(last=False)


__all__ = [
    "MEMORY_SHARE",
    "commit_request",
    "count_own_tokens",
    "has_memory",
    "record_peer_parts",
    "release_request",
]
