"""
Choose the subset of a group's agents to which a router connects.

Every agent is in the subset of at least one router: the routers of a failure domain divide all
agents of that domain among them, and agents of a domain without routers are divided among the
routers of the nearest domains. A subset exceeds its configured size only if the routers would
otherwise not cover all agents.
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

_OWN_DOMAIN_FILL_RANK = 3  # places left over go to the own failure domain last
_REMOTE_REGION_DIVISOR = 4  # 1 in 4 places outside the own failure domain is in another region


@attrs.frozen
class HostLocation:
    """Name, failure domain and region of a router or an agent on the host list."""

    name: str
    failure_domain: str
    region: str = "default"
    seed: int = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Cache the hash of the name."""
        object.__setattr__(self, "seed", stable_hash(self.name))


def choose_subset(
    router: HostLocation,
    routers: Sequence[HostLocation],
    agents: Sequence[HostLocation],
    settings: PlacementSettings,
) -> list[str]:
    """
    Choose agents so that each is in at least one subset, and in about as many as any other.

    The result depends only on the lists, and replacing one host changes few subsets.

    :param router: this router
    :param routers: all routers, with or without this one
    :param agents: agents of one group
    :param settings: size of a subset and its share for the own failure domain
    :return: names in a stable order: own failure domain, then own region, then others
    """
    if len(agents) <= settings.subset_size:
        return [
            agent.name for agent in sorted(agents, key=lambda a: (_get_distance(router, a), a.name))
        ]
    by_domain: dict[str, list[HostLocation]] = {}
    for agent in agents:
        by_domain.setdefault(agent.failure_domain, []).append(agent)
    all_routers = list({peer.name: peer for peer in (*routers, router)}.values())
    by_plan = _choose_by_plan(router, all_routers, by_domain, settings)
    from_uncovered_domains = _choose_from_uncovered_domains(router, all_routers, by_domain)
    chosen = list(dict.fromkeys([*by_plan, *from_uncovered_domains]))
    taken = set(chosen)
    rest = [agent for agent in agents if agent.name not in taken]
    return [*chosen, *_fill_with_nearest(router, rest, settings.subset_size - len(chosen))]


def _get_distance(router: HostLocation, agent: HostLocation) -> int:
    if agent.failure_domain == router.failure_domain:
        return 0
    return 1 if agent.region == router.region else 2


def _choose_by_plan(
    router: HostLocation,
    all_routers: list[HostLocation],
    by_domain: dict[str, list[HostLocation]],
    settings: PlacementSettings,
) -> list[str]:
    """Choose agents by the plan; the routers of a domain together have places for its agents."""
    local = [peer for peer in all_routers if peer.failure_domain == router.failure_domain]
    chosen: list[str] = []
    for domain, places in _plan_places(router, by_domain, settings):
        members = by_domain[domain]
        needed = len(members) / len(local) if domain == router.failure_domain else 0
        size = min(max(places, math.ceil(needed)), len(members))
        chosen.extend(_match_agents(local, members, size)[router.name])
    return chosen


def _choose_from_uncovered_domains(
    router: HostLocation, all_routers: list[HostLocation], by_domain: dict[str, list[HostLocation]]
) -> list[str]:
    """Choose agents of domains without routers to which this router is among the nearest."""
    with_router = {peer.failure_domain for peer in all_routers}
    chosen: list[str] = []
    for domain in sorted(by_domain.keys() - with_router):
        members = by_domain[domain]
        nearest = _find_nearest_routers(all_routers, members[0])
        if router in nearest:
            size = math.ceil(len(members) / len(nearest))
            chosen.extend(_match_agents(nearest, members, size)[router.name])
    return chosen


def _find_nearest_routers(
    all_routers: list[HostLocation], agent: HostLocation
) -> list[HostLocation]:
    """Return the routers of the agent's region, or all routers if the region has none."""
    return [peer for peer in all_routers if peer.region == agent.region] or all_routers


def _plan_places(
    router: HostLocation, by_domain: dict[str, list[HostLocation]], settings: PlacementSettings
) -> list[tuple[str, int]]:
    """Return places by failure domain; all routers of a domain have the same plan."""
    ranks = {domain: _get_distance(router, members[0]) for domain, members in by_domain.items()}
    own_places = (
        math.ceil(settings.subset_size * settings.own_domain_share) if 0 in ranks.values() else 0
    )
    other_places = settings.subset_size - own_places
    remote = [domain for domain in sorted(ranks) if ranks[domain] == 2]
    same_region = [domain for domain in sorted(ranks) if ranks[domain] == 1]
    remote_places = (
        (other_places // _REMOTE_REGION_DIVISOR if same_region else other_places) if remote else 0
    )
    plan = [(router.failure_domain, own_places)] if own_places else []
    start = sorted({*ranks, router.failure_domain}).index(router.failure_domain)
    plan.extend(_distribute_places(same_region, other_places - remote_places, start))
    plan.extend(_distribute_places(remote, remote_places, start))
    return plan


def _distribute_places(domains: list[str], places: int, start: int) -> list[tuple[str, int]]:
    """Distribute places round-robin; `start` differs between the failure domains of routers."""
    counts: dict[str, int] = {}
    for number in range(places if domains else 0):
        domain = domains[(start + number) % len(domains)]
        counts[domain] = counts.get(domain, 0) + 1
    return list(counts.items())


def _fill_with_nearest(router: HostLocation, rest: list[HostLocation], places: int) -> list[str]:
    """Fill places left over by small failure domains with the nearest other agents."""
    best = heapq.nsmallest(
        places,
        rest,
        key=lambda agent: (
            _get_distance(router, agent) or _OWN_DOMAIN_FILL_RANK,
            -mix64(router.seed ^ agent.seed),
        ),
    )
    return [agent.name for agent in best]


def _match_agents(
    routers: list[HostLocation], agents: list[HostLocation], size: int
) -> dict[str, list[str]]:
    """
    Assign `size` agents to each router, with the places spread evenly over the agents.

    Each agent first gets its share of the places rounded down, so that none is left out if there
    are places for all. In a second pass an agent gets at most one more router.
    """
    chosen: dict[str, list[str]] = {router.name: [] for router in routers}
    share = len(routers) * size // len(agents)
    if share:
        _add_matched(chosen, routers, agents, size, share)
    _add_matched(chosen, routers, agents, size, 1)
    return chosen


def _add_matched(
    chosen: dict[str, list[str]],
    routers: list[HostLocation],
    agents: list[HostLocation],
    size: int,
    share: int,
) -> None:
    """Add a stable matching: at most `size` agents per router, `share` new routers per agent."""
    routers_by_agent: dict[str, list[tuple[int, str]]] = {agent.name: [] for agent in agents}
    matched = {name: len(taken) for name, taken in chosen.items()}
    preferences = {
        router.name: _rank_preferences(router, agents, set(chosen[router.name]))
        for router in routers
        if matched[router.name] < size
    }
    open_routers = sorted(preferences)
    while open_routers:
        name = open_routers.pop()
        while matched[name] < size and preferences[name]:
            score, agent = preferences[name].pop()
            heapq.heappush(routers_by_agent[agent], (score, name))
            matched[name] += 1
            if len(routers_by_agent[agent]) > share:
                displaced = heapq.heappop(routers_by_agent[agent])[1]
                matched[displaced] -= 1
                if displaced != name:
                    open_routers.append(displaced)
    for agent in sorted(routers_by_agent):
        for _, router in routers_by_agent[agent]:
            chosen[router].append(agent)


def _rank_preferences(
    router: HostLocation, agents: list[HostLocation], taken: set[str]
) -> list[tuple[int, str]]:
    return sorted(
        (mix64(router.seed ^ agent.seed), agent.name) for agent in agents if agent.name not in taken
    )


__all__ = ["HostLocation", "choose_subset"]
