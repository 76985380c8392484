"""
Choose a backend server by the expected time to the first event and the delay of other requests.

An engine prefills prompts in chunks between the decode steps of its streams. The prompt tokens
that wait for prefill therefore determine when a new stream starts, and a long prompt stalls every
stream on the same engine. Prompts share prefixes, which an engine keeps in its prefix cache, so
requests with the same prefix go to one engine as long as waiting in its queue costs less than a
prefill of the prefix elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.systems.candidates import filter_usable, find_prefix_owner
from boragetiller.systems.overload.server_speed import current_work_time, lasting_work_time
from boragetiller.systems.prefix_cache import estimate_prefill_share, estimate_uncached_tokens
from boragetiller.systems.routing import ROUTE_TIERS
from boragetiller.systems.server_capacity import estimate_step_ms, find_with_room
from boragetiller.tables.server_placement import (
    ComparedPlacements,
    Placement,
    PlacementCostModel,
    ServerAssignment,
    ServerPlacementRequest,
)

if TYPE_CHECKING:
    from boragetiller.tables.server_groups import GroupServers
    from boragetiller.tables.servers import BackendServer

SLOT_WAIT_MS = 50.0  # expected wait for a slot, for each request in excess of the slots
LARGE_BATCH_STEP_MS = 8.0  # decode step of a large batch: one token of each stream
MAX_DELAY_WEIGHT = 2.0  # for very short latency targets
MIN_SERVERS_TO_RESERVE = 3  # in a smaller group every engine takes all requests
MAX_UNREPORTED_RATIO = 20.0  # unreported requests per known one
SENSITIVITY_EXPONENT = 3  # streams with a gap target half as long again are hardly ever late

# By whether the server is the owner and whether it is reserved; shared by all choices, since each
# would otherwise create one for each candidate.
_ASSIGNMENTS = tuple(
    tuple(ServerAssignment(is_owner=owner, is_reserved=reserved) for reserved in (False, True))
    for owner in (False, True)
)


def compute_stream_sensitivity(gap_target_ms: float, costs: PlacementCostModel) -> float:
    """
    Compute how sensitive a stream is to stalls by prefills on the same engine.

    :param gap_target_ms: longest pause between events within the target in milliseconds, 0 for
        no target
    :param costs: cost model of the group
    :return: 0 without a target, up to 1 if an event that is delayed by the prefill of a long
        prompt reaches or exceeds the target
    """
    if gap_target_ms <= 0:
        return 0.0
    stalled_ms = costs.tokens_per_event * (costs.chunk_ms + LARGE_BATCH_STEP_MS)
    return min(1.0, stalled_ms / gap_target_ms) ** SENSITIVITY_EXPONENT


def choose_server(
    group: GroupServers,
    candidates: list[BackendServer],
    request: ServerPlacementRequest,
    costs: PlacementCostModel,
    now_ms: int,
) -> Placement | None:
    """
    Choose the candidate with the lowest cost.

    :param group: servers that accept new requests
    :param candidates: servers of the group to compare; see systems.candidates
    :param request: the request
    :param costs: cost model of the group
    :param now_ms: monotonic time in milliseconds
    :return: the server with its estimates, None if no candidate has capacity and memory for it now
    """
    return compare_candidates(group, candidates, request, costs, now_ms).best


def compare_candidates(
    group: GroupServers,
    candidates: list[BackendServer],
    request: ServerPlacementRequest,
    costs: PlacementCostModel,
    now_ms: int,
) -> ComparedPlacements:
    """
    Estimate the cost of a request at each candidate, and choose the lowest.

    :param group: servers that accept new requests
    :param candidates: servers of the group to compare; see systems.candidates
    :param request: the request
    :param costs: cost model of the group
    :param now_ms: monotonic time in milliseconds
    :return: the estimates, and the server with capacity and memory
    """
    usable = filter_usable(candidates, now_ms)
    if not usable:
        return ComparedPlacements((), None)
    reserved_count = count_reserved_servers(group, costs) if request.prompt else 0
    ranks = group.reservation_ranks
    owner = find_prefix_owner(
        group, request.prompt, lambda server: ranks[server.name] >= reserved_count
    )
    placements = []
    for server in usable:
        assignment = _ASSIGNMENTS[server is owner][ranks[server.name] < reserved_count]
        placements.append(estimate_placement(server, request, costs, now_ms, assignment))
    if request.prompt is None:
        best = min(placements, key=lambda placement: placement.cost_ms)
        return ComparedPlacements(placements, best)
    placements.sort(key=lambda placement: placement.cost_ms)
    found = find_with_room(
        placements, lambda server: ranks[server.name] < reserved_count, request, costs, now_ms
    )
    return ComparedPlacements(
        placements, found or (placements[0] if request.response_started else None)
    )


def estimate_placement(
    server: BackendServer,
    request: ServerPlacementRequest,
    costs: PlacementCostModel,
    now_ms: int,
    assignment: ServerAssignment,
) -> Placement:
    """
    Estimate the cost of a request at a server.

    The cost adds up the expected time to the first event, the prefill time and the stalls of
    streams.

    :param server: the server
    :param request: the request
    :param costs: cost model of the group
    :param now_ms: monotonic time in milliseconds
    :param assignment: role of the server for the request
    :return: the cost and the estimates behind it
    """
    work_time = current_work_time(server.speed, now_ms)
    lasting = lasting_work_time(server.speed, now_ms)
    load = _estimate_load(server, costs, now_ms, lasting)
    wait_ms = _estimate_wait_ms(server, load.in_flight, costs, now_ms)
    first_ms, interference_ms, new_tokens = wait_ms, 0.0, 0.0
    if request.prompt is not None:
        new_tokens = estimate_uncached_tokens(
            server, request.prompt, costs, is_owner=assignment.is_owner
        )
        ahead = sum(load.unread_tokens[: _next_tier_urgency(request.urgency)])
        step_ms = estimate_step_ms(load.in_flight, load.prefill_share, costs)
        first_ms += work_time * (ahead + new_tokens) / costs.prefill_tokens_per_ms
        first_ms += work_time * costs.tokens_per_event * step_ms
        interference_ms = costs.prefill_weight * new_tokens / costs.prefill_tokens_per_ms
        interference_ms += _estimate_stall_ms(request, costs, load, new_tokens, assignment)
        interference_ms *= work_time
    delay_weight = min(MAX_DELAY_WEIGHT, costs.reference_target_ms / request.target_ms)
    return Placement(
        server=server,
        cost_ms=_estimate_network_ms(server, request, costs)
        + delay_weight * first_ms
        + interference_ms,
        first_event_ms=first_ms,
        new_tokens=int(new_tokens),
        in_flight=load.in_flight,
        prefill_share=load.prefill_share,
        sensitivity=load.sensitivity,
        reporting_peers=server.peer_load.routers,
        lasting_work_time=lasting,
    )


def _next_tier_urgency(urgency: int) -> int:
    """:return: first urgency of the next tier; an engine prefills one tier in order of arrival"""
    return (urgency // ROUTE_TIERS + 1) * ROUTE_TIERS


def count_reserved_servers(group: GroupServers, costs: PlacementCostModel) -> int:
    """
    Count the engines that are reserved for stall-sensitive streams.

    The engines with the lowest reservation ranks are reserved, on each router the same ones.

    :param group: engines that accept new requests
    :param costs: cost model of the group, with the share to reserve
    :return: number of reserved engines, 0 in a group of fewer than MIN_SERVERS_TO_RESERVE
    """
    if len(group.servers) < MIN_SERVERS_TO_RESERVE:
        return 0
    return round(len(group.servers) * costs.reserved_share)


def _estimate_wait_ms(
    server: BackendServer, in_flight: int, costs: PlacementCostModel, now_ms: int
) -> float:
    excess_requests = max(0, in_flight + 1 - server.record.slots)
    wait_ms = excess_requests * SLOT_WAIT_MS
    if now_ms - server.joined_ms < server.record.warm_up_left_ms:
        wait_ms += costs.cold_start_ms
    return wait_ms


def _estimate_stall_ms(
    request: ServerPlacementRequest,
    costs: PlacementCostModel,
    load: _EstimatedLoad,
    new_tokens: float,
    assignment: ServerAssignment,
) -> float:
    """:return: weighted time, at the usual speed, of the stalls of this stream and of others"""
    assert request.prompt is not None
    other_sensitivity, prefill_share = load.sensitivity, load.prefill_share
    if assignment.is_reserved:
        other_sensitivity = max(other_sensitivity, costs.reserved_stream_count)
    else:
        prefill_share = max(prefill_share, costs.baseline_prefill_share)
    own_ms = sum(load.unread_tokens) / costs.prefill_tokens_per_ms
    own_ms += prefill_share * request.prompt.output_tokens * costs.step_ms
    others_ms = other_sensitivity * new_tokens / costs.prefill_tokens_per_ms
    return costs.stall_weight * (request.sensitivity * own_ms + others_ms)


def _estimate_network_ms(
    server: BackendServer, request: ServerPlacementRequest, costs: PlacementCostModel
) -> float:
    is_own_domain = server.record.failure_domain == request.failure_domain
    return 0.0 if is_own_domain else costs.other_domain_ms


# Not frozen, because frozen instances take longer to create and each candidate needs one.
@attrs.define(kw_only=True)
class _EstimatedLoad:
    """Estimated load of all routers together at a server."""

    in_flight: int
    unread_tokens: list[float]  # prompt tokens that wait for prefill, by urgency
    sensitivity: float  # to stalls, summed over the streams
    prefill_share: float  # share of its time that the server spends on prefill, 0 to 1


def _estimate_load(
    server: BackendServer, costs: PlacementCostModel, now_ms: int, work_time: float
) -> _EstimatedLoad:
    """
    Estimate the load of all routers at a server.

    The estimate adds this router's load and the reported load of its peers, extrapolated to the
    routers that do not report here. Requests that no router reported are assumed to be like the
    known ones; their number comes from the server, whose responses carry its own request count.
    This covers routers that are cut off from their peers.
    """
    peer_load, extrapolation = server.peer_load, 1.0 / costs.reporting_share
    known = server.in_flight + extrapolation * peer_load.in_flight
    unreported = server.estimate_unreported_requests(now_ms)
    unreported_factor = 1.0 + min(MAX_UNREPORTED_RATIO, unreported / max(1.0, known))
    pending_tokens = zip(server.unread_tokens, peer_load.unread_tokens, strict=True)
    prefill_share = estimate_prefill_share(server, costs, now_ms, work_time)
    return _EstimatedLoad(
        in_flight=round(known + unreported),
        unread_tokens=[
            unreported_factor * (own + extrapolation * peers) for own, peers in pending_tokens
        ],
        sensitivity=unreported_factor
        * (server.sensitivity + extrapolation * peer_load.sensitivity),
        prefill_share=min(1.0, unreported_factor * prefill_share),
    )


__all__ = [
    "choose_server",
    "compare_candidates",
    "compute_stream_sensitivity",
    "count_reserved_servers",
    "estimate_placement",
]
