"""Choose the agent to which a request is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.systems.rendezvous_hashing import rank_agents

if TYPE_CHECKING:
    from random import Random

    from boragetiller.settings import PlacementSettings
    from boragetiller.tables.agents import AgentEntry, LoadReport


@attrs.frozen(kw_only=True)
class AgentPlacementRequest:
    """Properties of a request on which its placement depends."""

    group: str
    tier: int
    prefix_hash: int = 0
    fingerprint: str = ""
    excluded: frozenset[str] = frozenset()
    protected: bool = False
    failure_domain: str = ""  # of the router
    router_count: int = 1  # routers that send requests to the same agents, including this one


def choose_agent(
    candidates: list[AgentEntry],
    request: AgentPlacementRequest,
    settings: PlacementSettings,
    rng: Random,
    now_ms: int,
) -> AgentEntry | None:
    """
    Choose the agent with the shortest expected time to the first token among a random sample.

    Rendezvous hashing prefers one agent for a prompt prefix, or for the body's fingerprint if there
    is no prefix. That agent is chosen if its expected time is not much longer.

    :param candidates: agents of the group in this router's subset
    :param request: the request to place
    :param settings: sample size, and the delay in milliseconds that affinity may cost
    :param rng: seeded generator
    :param now_ms: monotonic time in milliseconds
    :return: the agent, or None if no candidate accepts new requests
    """
    usable = [a for a in candidates if a.accepts_work() and a.name not in request.excluded]
    usable = _exclude_outliers(usable, request, now_ms)
    if not usable:
        return None
    key = request.prefix_hash or _get_fingerprint_key(request)
    preferred = rank_agents(usable, key, 1)[0] if key else None
    sample = rng.sample(usable, min(settings.choices, len(usable)))
    best = min(sample, key=lambda a: estimate_first_token_ms(a, request, settings, now_ms))
    if preferred is None or preferred is best:
        return best
    gain_ms = settings.prefix_gain_ms if request.prefix_hash else settings.fingerprint_gain_ms
    best_ms = estimate_first_token_ms(best, request, settings, now_ms)
    preferred_ms = estimate_first_token_ms(preferred, request, settings, now_ms)
    return preferred if preferred_ms <= best_ms + gain_ms else best


def estimate_first_token_ms(
    agent: AgentEntry, request: AgentPlacementRequest, settings: PlacementSettings, now_ms: int
) -> float:
    """
    Estimate the time to the first token at an agent.

    The requests that this router sent since the last report are known exactly. The reported queue
    counts less as the report ages. Without a report, only this router's own requests count.

    :param agent: the agent
    :param request: the request to place
    :param settings: weights, and defaults for missing reports
    :param now_ms: monotonic time in milliseconds
    :return: expected time in milliseconds
    """
    network_ms = 0 if agent.failure_domain == request.failure_domain else settings.other_domain_ms
    load = agent.load
    if load is None:
        return network_ms + agent.in_flight * settings.unknown_wait_ms
    slots = max(1, load.max_running)
    slot_ms = load.service_ms / slots
    ahead = _estimate_requests_ahead(agent, load, request, settings, now_ms)
    wait_ms = max(0.0, ahead + 1 - slots) * slot_ms
    if load.running >= slots:
        wait_ms = max(wait_ms, slot_ms)
    crowding_ms = settings.crowding_ms * ahead / slots
    return network_ms + load.first_token_ms + wait_ms + crowding_ms


def _estimate_requests_ahead(
    agent: AgentEntry,
    load: LoadReport,
    request: AgentPlacementRequest,
    settings: PlacementSettings,
    now_ms: int,
) -> float:
    """Estimate the requests ahead of a new one from the report and this router's own requests."""
    staleness = min(1.0, max(0, now_ms - load.received_ms) / settings.report_fade_ms)
    occupied_slots = load.running
    if request.protected and load.protected_running is not None:
        occupied_slots = load.protected_running  # all other requests can be preempted
    reported = occupied_slots + sum(load.queued[: request.tier + 1])
    sent_since_report = max(0, agent.in_flight - agent.in_flight_at_report)
    extrapolated = sum(agent.in_flight_by_tier[: request.tier + 1]) * request.router_count
    if not any(agent.in_flight_by_tier):
        return occupied_slots + sent_since_report + (reported - occupied_slots) * (1 - staleness)
    own_weight = settings.own_share + (1 - settings.own_share) * staleness
    return own_weight * extrapolated + (1 - own_weight) * reported


def _exclude_outliers(
    agents: list[AgentEntry], request: AgentPlacementRequest, now_ms: int
) -> list[AgentEntry]:
    healthy = [agent for agent in agents if not agent.health.is_ejected(now_ms)] or agents
    if not request.protected:
        return healthy
    return [agent for agent in healthy if not agent.health.slow] or healthy


def _get_fingerprint_key(request: AgentPlacementRequest) -> int:
    return int(request.fingerprint[:16], 16) if request.fingerprint else 0


__all__ = ["AgentPlacementRequest", "choose_agent", "estimate_first_token_ms"]
