"""
Choose the few agents of a group that a router talks to.

Every agent is in the subset of at least one router: the routers of a failure domain share out all
agents of that domain, and where a domain has agents and no router, those of the nearest domains do.
A subset grows beyond its size only where there are too few places for that.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

import attrs

from boragetiller.hashing import mix64, stable_hash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragetiller.settings import PlacementSettings

_MORE_OF_OWN = 3  # beyond its share, the own failure domain comes last
_FAR_PART = 4  # one in so many places outside the own failure domain is in another region


@attrs.frozen
class Member:
    """A router or an agent, as the host list places it."""

    name: str
    failure_domain: str
    region: str = "default"
    seed: int = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Hash the name once."""
        object.__setattr__(self, "seed", stable_hash(self.name))


def choose_subset(
    router: Member, routers: Sequence[Member], agents: Sequence[Member], settings: PlacementSettings
) -> list[str]:
    """
    Choose agents so that each agent is in about as many subsets as any other, and in one at least.

    Processes that see the same lists agree, and replacing one host changes few subsets.

    :param router: this router
    :param routers: all routers, this one included or not
    :param agents: agents of one group
    :param settings: size of a subset and its share for the own failure domain
    :return: names in a stable order, own failure domain first, then own region, then others
    """
    if len(agents) <= settings.subset_size:
        return [
            agent.name for agent in sorted(agents, key=lambda a: (_distance(router, a), a.name))
        ]
    by_domain: dict[str, list[Member]] = {}
    for agent in agents:
        by_domain.setdefault(agent.failure_domain, []).append(agent)
    peers = list({peer.name: peer for peer in (*routers, router)}.values())
    planned = _planned(router, peers, by_domain, settings)
    adopted = _adopted(router, peers, by_domain)
    chosen = list(dict.fromkeys([*planned, *adopted]))
    taken = set(chosen)
    rest = [agent for agent in agents if agent.name not in taken]
    return [*chosen, *_fill(router, rest, settings.subset_size - len(chosen))]


def _distance(router: Member, agent: Member) -> int:
    if agent.failure_domain == router.failure_domain:
        return 0
    return 1 if agent.region == router.region else 2


def _planned(
    router: Member,
    peers: list[Member],
    by_domain: dict[str, list[Member]],
    settings: PlacementSettings,
) -> list[str]:
    """Agents by the plan; routers of one domain have places for all of its agents."""
    local = [peer for peer in peers if peer.failure_domain == router.failure_domain]
    chosen: list[str] = []
    for domain, places in _plan(router, by_domain, settings):
        members = by_domain[domain]
        needed = len(members) / len(local) if domain == router.failure_domain else 0
        size = min(max(places, math.ceil(needed)), len(members))
        chosen.extend(_match(local, members, size)[router.name])
    return chosen


def _adopted(router: Member, peers: list[Member], by_domain: dict[str, list[Member]]) -> list[str]:
    """Agents of domains that have no router, where this router is one of the nearest."""
    with_router = {peer.failure_domain for peer in peers}
    chosen: list[str] = []
    for domain in sorted(by_domain.keys() - with_router):
        members = by_domain[domain]
        nearest = _nearest(peers, members[0])
        if router in nearest:
            size = math.ceil(len(members) / len(nearest))
            chosen.extend(_match(nearest, members, size)[router.name])
    return chosen


def _nearest(peers: list[Member], agent: Member) -> list[Member]:
    """Routers of the agent's region, or all routers where the region has none."""
    return [peer for peer in peers if peer.region == agent.region] or peers


def _plan(
    router: Member, by_domain: dict[str, list[Member]], settings: PlacementSettings
) -> list[tuple[str, int]]:
    """Places by failure domain; routers of one domain share a plan, those of others differ."""
    ranks = {domain: _distance(router, members[0]) for domain, members in by_domain.items()}
    own = math.ceil(settings.subset_size * settings.own_domain_share) if 0 in ranks.values() else 0
    spill = settings.subset_size - own
    far = [domain for domain in sorted(ranks) if ranks[domain] == 2]
    near = [domain for domain in sorted(ranks) if ranks[domain] == 1]
    far_places = (spill // _FAR_PART if near else spill) if far else 0
    plan = [(router.failure_domain, own)] if own else []
    start = sorted({*ranks, router.failure_domain}).index(router.failure_domain)
    plan.extend(_deal(near, spill - far_places, start))
    plan.extend(_deal(far, far_places, start))
    return plan


def _deal(domains: list[str], places: int, start: int) -> list[tuple[str, int]]:
    """Deal places round, each failure domain from another start."""
    counts: dict[str, int] = {}
    for number in range(places if domains else 0):
        domain = domains[(start + number) % len(domains)]
        counts[domain] = counts.get(domain, 0) + 1
    return list(counts.items())


def _fill(router: Member, rest: list[Member], places: int) -> list[str]:
    """Places that a failure domain was too small for go to the nearest other agents."""
    best = heapq.nsmallest(
        places,
        rest,
        key=lambda agent: (
            _distance(router, agent) or _MORE_OF_OWN,
            -mix64(router.seed ^ agent.seed),
        ),
    )
    return [agent.name for agent in best]


def _match(routers: list[Member], agents: list[Member], size: int) -> dict[str, list[str]]:
    """
    Give each router `size` agents, and each agent its even share of the places.

    First each agent gets its share rounded down, so that none is left out while there are places
    for all; the places that remain then go to one more router an agent.
    """
    chosen: dict[str, list[str]] = {router.name: [] for router in routers}
    share = len(routers) * size // len(agents)
    if share:
        _add_matched(chosen, routers, agents, size, share)
    _add_matched(chosen, routers, agents, size, 1)
    return chosen


def _add_matched(
    chosen: dict[str, list[str]],
    routers: list[Member],
    agents: list[Member],
    size: int,
    share: int,
) -> None:
    """Stable matching: no router gets more than `size` in all, no agent more than `share` here."""
    held: dict[str, list[tuple[int, str]]] = {agent.name: [] for agent in agents}
    matched = {name: len(taken) for name, taken in chosen.items()}
    wishes = {
        router.name: _preferences(router, agents, set(chosen[router.name]))
        for router in routers
        if matched[router.name] < size
    }
    open_routers = sorted(wishes)
    while open_routers:
        name = open_routers.pop()
        while matched[name] < size and wishes[name]:
            score, agent = wishes[name].pop()
            heapq.heappush(held[agent], (score, name))
            matched[name] += 1
            if len(held[agent]) > share:
                loser = heapq.heappop(held[agent])[1]
                matched[loser] -= 1
                if loser != name:
                    open_routers.append(loser)
    for agent in sorted(held):
        for _, router in held[agent]:
            chosen[router].append(agent)


def _preferences(router: Member, agents: list[Member], taken: set[str]) -> list[tuple[int, str]]:
    return sorted(
        (mix64(router.seed ^ agent.seed), agent.name) for agent in agents if agent.name not in taken
    )


__all__ = ["Member", "choose_subset"]
