"""
Pick the servers between which a request is placed.

Answers many servers: a choice costs the same before 60 and before 1,300 of them. In a small group
all are candidates; in a large one those that hold the prompt's shared part, the owner of the part,
and a random sample, half of it from the router's own failure domain. Routers that draw their
samples by themselves do not all follow the same report to the same server.

What a crashed engine ran is repeated by all routers in the same moment, before any of them can
report it; so a repeated prompt has only a few random candidates, else all would go to one engine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.hashing import mix64, stable_hash
from boragetiller.tables.server_groups import BUCKETS

if TYPE_CHECKING:
    from collections.abc import Callable, Set
    from random import Random

    from boragetiller.tables.calls import Prompt
    from boragetiller.tables.placement import PlacementRequest
    from boragetiller.tables.server_groups import GroupServers
    from boragetiller.tables.servers import BackendServer

MAX_CANDIDATES = 24
MAX_HOLDERS = 6  # of a part that many engines have read
REPEAT_CANDIDATES = 3
OWN_DOMAIN_SHARE = 0.5  # of the random sample

_BUCKET_SEEDS = tuple(stable_hash("bucket", str(number)) for number in range(BUCKETS))


def pick_candidates(
    group: GroupServers,
    request: PlacementRequest,
    excluded: Set[str],
    rng: Random,
    now_ms: int,
) -> list[BackendServer]:
    """
    Pick the candidates for a request.

    :param group: servers that take new work
    :param request: the request
    :param excluded: names of servers that have had it
    :param rng: seeded generator
    :param now_ms: monotonic time in milliseconds
    :return: at most MAX_CANDIDATES servers and the holders of the part, all where there are fewer
    """
    if request.repeated and request.prompt is not None:
        left = usable_servers([s for s in group.servers if s.name not in excluded], now_ms)
        return rng.sample(left, min(REPEAT_CANDIDATES, len(left)))
    if len(group.servers) <= MAX_CANDIDATES:
        return [server for server in group.servers if server.name not in excluded]
    picked = {server.name: server for server in _holders(group, request.prompt, rng)}
    owner = part_owner(group, request.prompt, lambda _: True)
    if owner is not None:
        picked[owner.name] = owner
    near = group.by_domain.get(request.failure_domain, ())
    for servers, share in ((near, OWN_DOMAIN_SHARE), (group.servers, 1.0)):
        room = max(0, round(share * MAX_CANDIDATES) - len(picked))
        for server in rng.sample(servers, min(room, len(servers))):
            picked[server.name] = server
    return [server for server in picked.values() if server.name not in excluded]


def usable_servers(servers: list[BackendServer], now_ms: int) -> list[BackendServer]:
    """
    Leave out servers that are full, and those put aside while others are left.

    :param servers: servers that take new work
    :param now_ms: monotonic time in milliseconds
    :return: those to choose between
    """
    usable = [server for server in servers if server.full_until_ms <= now_ms]
    return [server for server in usable if not server.health.is_ejected(now_ms)] or usable


def part_owner(
    group: GroupServers, prompt: Prompt | None, suits: Callable[[BackendServer], bool]
) -> BackendServer | None:
    """
    Find the server where all routers expect a prompt's shared parts that nobody has read.

    A bucket of servers, and then a server in it, is ranked by the parts (rendezvous hashing), so
    that a server that leaves moves only its own parts.

    :param group: servers that take new work
    :param prompt: the prompt, None for a plain service
    :param suits: whether a server may be the owner
    :return: the owner, None when no server suits or the prompt shares no part
    """
    if prompt is None or len(prompt.parts) < 2:
        return None
    key = stable_hash("part", *(part.part_id for part in prompt.parts[:-1]))
    ranked = sorted(range(BUCKETS), key=lambda number: mix64(_BUCKET_SEEDS[number] ^ key))
    for number in ranked:
        suitable = [server for server in group.buckets[number] if suits(server)]
        if suitable:
            return max(suitable, key=lambda server: mix64(server.name_hash ^ key))
    return None


def _holders(group: GroupServers, prompt: Prompt | None, rng: Random) -> list[BackendServer]:
    """Servers that hold the last part that the prompt shares, else an earlier one."""
    if prompt is None:
        return []
    for part in reversed(prompt.parts[:-1]):
        holders = [server for server in group.servers if part.part_id in server.cached_parts]
        if holders:
            return rng.sample(holders, min(MAX_HOLDERS, len(holders)))
    return []


__all__ = ["MAX_CANDIDATES", "part_owner", "pick_candidates", "usable_servers"]
