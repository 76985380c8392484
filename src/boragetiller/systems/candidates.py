"""
Select the backend servers that are compared for a request.

The number of candidates is bounded, so that a choice costs the same in a group of 60 and in one of
1,300 servers. In a small group all servers are candidates. In a large group the candidates are
servers whose prefix cache holds the shared prefix, the prefix's owner by rendezvous hashing, and a
random sample, half of it from the router's own failure domain. Since each router draws its own
sample, routers do not all send to the server that the latest load report shows as idle.

When an engine crashes, all routers retry its prompts at the same time, before their load reports
can show each other's choices. A retried prompt therefore gets only a few random candidates;
otherwise all retries would go to the same engine. A refusal by a full engine concerns one request,
so its retry also gets a few engines that have the shared prefix cached and need not prefill it
again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.hashing import mix64, stable_hash
from boragetiller.tables.server_groups import BUCKETS

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence, Set
    from random import Random

    from boragetiller.tables.call_metadata import Prompt
    from boragetiller.tables.server_groups import GroupServers
    from boragetiller.tables.server_placement import ServerPlacementRequest
    from boragetiller.tables.servers import BackendServer

MAX_CANDIDATES = 24
MAX_CACHED_CANDIDATES = 6  # sampled when more engines have the prefix cached
RETRY_CANDIDATES = 3
RETRY_CACHED_CANDIDATES = 2  # in addition, after a refusal
OWN_DOMAIN_SHARE = 0.5  # of the random sample

_BUCKET_SEEDS = tuple(stable_hash("bucket", str(number)) for number in range(BUCKETS))


def select_candidates(
    group: GroupServers,
    request: ServerPlacementRequest,
    excluded: Set[str],
    rng: Random,
    now_ms: int,
) -> list[BackendServer]:
    """
    Select the candidates for a request.

    :param group: servers that accept new requests
    :param request: the request
    :param excluded: names of servers that the request was already sent to or must not reach now
    :param rng: seeded generator
    :param now_ms: monotonic time in milliseconds
    :return: about MAX_CANDIDATES servers, or the whole group if it has at most that many
    """
    if request.is_retry and request.prompt is not None:
        left = filter_usable([s for s in group.servers if s.name not in excluded], now_ms)
        retried = rng.sample(left, min(RETRY_CANDIDATES, len(left)))
        if request.was_refused:
            cached = _sample_cached(left, request.prompt, rng, RETRY_CACHED_CANDIDATES)
            retried += [server for server in cached if server not in retried]
        return retried
    if len(group.servers) <= MAX_CANDIDATES:
        return [server for server in group.servers if server.name not in excluded]
    cached = _sample_cached(group.servers, request.prompt, rng, MAX_CACHED_CANDIDATES)
    picked = {server.name: server for server in cached}
    owner = find_prefix_owner(group, request.prompt, lambda _: True)
    if owner is not None:
        picked[owner.name] = owner
    own_domain = group.by_domain.get(request.failure_domain, ())
    for servers, share in ((own_domain, OWN_DOMAIN_SHARE), (group.servers, 1.0)):
        count = max(0, round(share * MAX_CANDIDATES) - len(picked))
        for server in rng.sample(servers, min(count, len(servers))):
            picked[server.name] = server
    found = [server for server in picked.values() if server.name not in excluded]
    if not found and excluded:  # many servers may be excluded at once, for their limits or pauses
        left = [server for server in group.servers if server.name not in excluded]
        found = rng.sample(left, min(MAX_CANDIDATES, len(left)))
    return found


def filter_usable(servers: list[BackendServer], now_ms: int) -> list[BackendServer]:
    """
    Filter out servers that are full, and ejected ones unless all others are full or ejected.

    :param servers: servers that accept new requests
    :param now_ms: monotonic time in milliseconds
    :return: the usable servers
    """
    usable = [server for server in servers if server.full_until_ms <= now_ms]
    return [server for server in usable if not server.health.is_ejected(now_ms)] or usable


def find_prefix_owner(
    group: GroupServers, prompt: Prompt | None, is_eligible: Callable[[BackendServer], bool]
) -> BackendServer | None:
    """
    Find the server to which all routers send a shared prompt prefix that no engine has cached.

    Rendezvous hashing of the prefix ranks the buckets of servers, then the servers in a bucket, so
    that removing a server moves only the prefixes that it owned.

    :param group: servers that accept new requests
    :param prompt: the prompt, None for a plain service
    :param is_eligible: whether a server may be the owner
    :return: the owner, None if no server is eligible or the prompt has no shared part
    """
    if prompt is None or len(prompt.parts) < 2:
        return None
    key = stable_hash("part", *(part.part_id for part in prompt.parts[:-1]))
    ranked = sorted(range(BUCKETS), key=lambda number: mix64(_BUCKET_SEEDS[number] ^ key))
    for number in ranked:
        eligible = [server for server in group.buckets[number] if is_eligible(server)]
        if eligible:
            return max(eligible, key=lambda server: mix64(server.name_hash ^ key))
    return None


def _sample_cached(
    servers: Sequence[BackendServer], prompt: Prompt | None, rng: Random, count: int
) -> list[BackendServer]:
    """:return: servers whose cache holds the longest shared prefix that any cache holds"""
    if prompt is None:
        return []
    for part in reversed(prompt.parts[:-1]):
        part_id = part.part_id
        cached = [server for server in servers if part_id in server.cached_parts]
        if cached:
            return rng.sample(cached, min(count, len(cached)))
    return []


__all__ = ["MAX_CANDIDATES", "filter_usable", "find_prefix_owner", "select_candidates"]
