"""
Choose a backend server by the expected time to the first event of the answer.

Answers the load of long prompts in bursts: an engine reads prompts one chunk after the other
between the tokens of its streams, so what counts is how many tokens wait to be read there, not
how many requests run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.hashing import mix, stable_hash

if TYPE_CHECKING:
    from boragetiller.tables.calls import Prompt
    from boragetiller.tables.servers import BackendServer

PEER_LOAD_FADE_MS = 1_000  # reports come ten times a second; ten missed ones say nothing
MAX_RATIO = 8.0  # bounds how much one measured delay may push work away
SLOT_WAIT_MS = 50.0  # expected wait for a place per request beyond the slots
KNOWN_PART_SHARE = 1.0  # part of a prompt that a known cached part saves
OWNER_PART_SHARE = 0.3  # what a part is worth at the server that all routers would choose for it


@attrs.frozen(kw_only=True)
class PlacementCosts:
    """Figures that turn load into milliseconds."""

    read_tokens_per_ms: float = 60.0  # engines of today read 64 to 93 tokens in a ms
    other_domain_ms: float = 3.0  # twice the way between failure domains
    cold_ms: float = 200.0  # extra time at an engine that has just started
    batch_ms_per_request: float = 0.5  # a larger batch makes each step longer


def choose_server(
    servers: list[BackendServer],
    prompt: Prompt | None,
    tier: int,
    failure_domain: str,
    costs: PlacementCosts,
    now_ms: int,
) -> BackendServer | None:
    """
    Pick the server with the earliest expected first event.

    :param servers: servers that accept work
    :param prompt: size of the request, None for a plain service
    :param tier: tier of the request, 0 is the most urgent
    :param failure_domain: that of this router
    :param costs: figures of the group
    :param now_ms: monotonic time in milliseconds
    :return: the server, None when none takes work now
    """
    usable = [s for s in servers if s.full_until_ms <= now_ms]
    usable = [s for s in usable if not s.health.is_ejected(now_ms)] or usable
    if not usable:
        return None
    owner = _part_owner(usable, prompt)

    def expected_ms(server: BackendServer) -> float:
        return expected_first_event_ms(
            server, prompt, tier, failure_domain, costs, now_ms, is_owner=server is owner
        )

    return min(usable, key=expected_ms)


def expected_first_event_ms(
    server: BackendServer,
    prompt: Prompt | None,
    tier: int,
    failure_domain: str,
    costs: PlacementCosts,
    now_ms: int,
    *,
    is_owner: bool = False,
) -> float:
    """
    Estimate the time to the first event at a server.

    :param server: the server
    :param prompt: size of the request, None for a plain service
    :param tier: tier of the request
    :param failure_domain: that of this router
    :param costs: figures of the group
    :param now_ms: monotonic time in milliseconds
    :param is_owner: whether routers without knowledge would choose this server for the prompt
    :return: expected time in milliseconds
    """
    peers = [load for load in server.peers.values() if _is_fresh(load.received_ms, now_ms)]
    in_flight = server.in_flight + sum(load.in_flight for load in peers)
    link_ms = 0.0 if server.record.failure_domain == failure_domain else costs.other_domain_ms
    beyond = max(0, in_flight + 1 - server.record.slots)
    wait_ms = beyond * SLOT_WAIT_MS + in_flight * costs.batch_ms_per_request
    if now_ms - server.joined_ms < server.record.cold_ms:
        wait_ms += costs.cold_ms
    if prompt is None:
        return (link_ms + wait_ms) * server.health.first_event_ratio
    ahead = sum(p.tokens for p in server.pending.values() if p.tier <= tier)
    ahead += sum(load.pending_tokens for load in peers)
    unread = uncached_tokens(server, prompt, is_owner=is_owner)
    read_ms = (ahead + unread) / costs.read_tokens_per_ms
    return link_ms + (wait_ms + read_ms) * server.health.first_event_ratio


def uncached_tokens(server: BackendServer, prompt: Prompt, *, is_owner: bool = False) -> float:
    """
    Estimate how many tokens of a prompt a server would have to read.

    :param server: the server
    :param prompt: parts of the prompt; a cached part helps only behind cached parts
    :param is_owner: whether routers without knowledge would choose this server for the prompt
    :return: tokens
    """
    saved = 0.0
    for part in prompt.parts:
        if part.part_id not in server.cached_parts:
            break
        saved += part.tokens * KNOWN_PART_SHARE
    if saved == 0 and is_owner:
        saved = OWNER_PART_SHARE * sum(part.tokens for part in prompt.parts[:-1])
    return max(0.0, prompt.input_tokens - saved)


def note_cached(server: BackendServer, prompt: Prompt, capacity_tokens: int) -> None:
    """
    Remember that an engine has read the parts of a prompt; the oldest parts yield.

    :param server: the server
    :param prompt: what it has read
    :param capacity_tokens: tokens that its cache holds
    """
    for part in prompt.parts:
        known = server.cached_parts.pop(part.part_id, 0)
        server.cached_parts[part.part_id] = part.tokens
        server.cached_tokens += part.tokens - known
    while server.cached_tokens > capacity_tokens and server.cached_parts:
        _, tokens = server.cached_parts.popitem(last=False)
        server.cached_tokens -= tokens


def _part_owner(servers: list[BackendServer], prompt: Prompt | None) -> BackendServer | None:
    """Rank by the shared parts, so that an engine that leaves moves only its own parts."""
    if prompt is None or len(prompt.parts) < 2:
        return None
    key = stable_hash("part", *(part.part_id for part in prompt.parts[:-1]))
    return max(servers, key=lambda server: mix(stable_hash(server.name) ^ key))


def _is_fresh(received_ms: int, now_ms: int) -> bool:
    return now_ms - received_ms < PEER_LOAD_FADE_MS


__all__ = [
    "PlacementCosts",
    "choose_server",
    "expected_first_event_ms",
    "note_cached",
    "uncached_tokens",
]
