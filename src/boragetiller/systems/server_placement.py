"""
Choose a backend server by the expected time to the first event, and by the harm to others.

Answers the load of long prompts in bursts. An engine reads prompts one chunk after the other
between the tokens of its streams. So the tokens that wait to be read there decide when a new
stream begins, and a long prompt stalls each stream that runs beside it. Prompts share parts: an
engine that has read a part does not read it again, so requests with a part go to one engine as
long as its queue costs less than reading the part elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.systems.candidates import filter_usable, find_prefix_owner
from boragetiller.systems.prompt_cache import estimate_prefill_share, uncached_tokens
from boragetiller.systems.routing import ROUTE_TIERS
from boragetiller.systems.server_capacity import expected_step_ms, has_capacity, may_use_reserved
from boragetiller.tables.server_placement import (
    Placement,
    PlacementCostModel,
    ServerAssignment,
    ServerPlacementRequest,
)

if TYPE_CHECKING:
    from boragetiller.tables.server_groups import GroupServers
    from boragetiller.tables.servers import BackendServer
SLOT_WAIT_MS = 50.0  # expected wait for a place per request beyond the slots
BATCH_STEP_MS = 8.0  # for one token of each stream of a large batch
MAX_HASTE = 2.0  # bounds the weight of delay for very short targets
MIN_SPLIT_SERVERS = 3  # with fewer engines each one takes all kinds of requests
MAX_HIDDEN_X = 20.0  # work of which no router told, per work that is known
SENSITIVITY_POWER = 3  # a stream with half as much room again is hardly ever late


def stream_sensitivity(gap_target_ms: float, costs: PlacementCostModel) -> float:
    """
    Tell how much a stream suffers from a stall.

    :param gap_target_ms: longest pause between events for which it is on time, 0 for none
    :param costs: figures of the group
    :return: 0 for answers without such a target, up to 1 where an event beside a long prompt takes
        as long as the target allows
    """
    if gap_target_ms <= 0:
        return 0.0
    stalled_ms = costs.tokens_per_event * (costs.chunk_ms + BATCH_STEP_MS)
    return min(1.0, (stalled_ms / gap_target_ms) ** SENSITIVITY_POWER)


def choose_server(
    group: GroupServers,
    candidates: list[BackendServer],
    request: ServerPlacementRequest,
    costs: PlacementCostModel,
    now_ms: int,
) -> Placement | None:
    """
    Pick the server where the request costs least.

    :param group: servers that accept work
    :param candidates: those of them that come into question; see systems.candidates
    :param request: the request
    :param costs: figures of the group
    :param now_ms: monotonic time in milliseconds
    :return: the server and what the choice was based on, None when none has room for it now
    """
    usable = filter_usable(candidates, now_ms)
    if not usable:
        return None
    quiet = reserved_server_count(group, costs) if request.prompt else 0
    ranks = group.reservation_ranks
    owner = find_prefix_owner(group, request.prompt, lambda server: ranks[server.name] >= quiet)
    found = []
    for server in usable:
        duty = ServerAssignment(is_owner=server is owner, is_reserved=ranks[server.name] < quiet)
        found.append(estimate_placement(server, request, costs, now_ms, duty))
    if request.prompt is not None:
        quiet_names = {server.name for server in usable if ranks[server.name] < quiet}
        found = _with_room(found, quiet_names, request, costs) or (
            found if request.response_started else []
        )
    return min(found, key=lambda placement: placement.cost_ms, default=None)


def _with_room(
    found: list[Placement],
    quiet: set[str],
    request: ServerPlacementRequest,
    costs: PlacementCostModel,
) -> list[Placement]:
    """Leave out engines without room; those kept for sensitive streams may not fill up instead."""
    roomy = [placement for placement in found if has_capacity(placement, request, costs)]
    if all(placement.server.name in quiet for placement in roomy):
        return [placement for placement in roomy if may_use_reserved(placement, request, costs)]
    return roomy


def estimate_placement(
    server: BackendServer,
    request: ServerPlacementRequest,
    costs: PlacementCostModel,
    now_ms: int,
    duty: ServerAssignment,
) -> Placement:
    """
    Add the expected time to the first event, the work and the stalls of streams.

    :param server: the server
    :param request: the request
    :param costs: figures of the group
    :param now_ms: monotonic time in milliseconds
    :param duty: what all routers expect of the server
    :return: the cost and what it was based on
    """
    work = _work_at(server, costs, now_ms)
    wait_ms = _wait_ms(server, work.in_flight, costs, now_ms)
    first_ms, harm_ms, new_tokens = wait_ms, 0.0, 0.0
    if request.prompt is not None:
        new_tokens = uncached_tokens(server, request.prompt, costs, is_owner=duty.is_owner)
        ahead = sum(work.unread_tokens[: _first_less_urgent(request.urgency)])
        first_ms += (ahead + new_tokens) / costs.prefill_tokens_per_ms
        first_ms += costs.tokens_per_event * expected_step_ms(
            work.in_flight, work.prefill_share, costs
        )
        harm_ms = costs.prefill_weight * new_tokens / costs.prefill_tokens_per_ms
        harm_ms += _stall_ms(request, costs, work, new_tokens, duty)
    haste = min(MAX_HASTE, costs.reference_target_ms / request.target_ms)
    return Placement(
        server=server,
        cost_ms=_link_ms(server, request, costs) + haste * first_ms + harm_ms,
        first_event_ms=first_ms,
        new_tokens=int(new_tokens),
        in_flight=work.in_flight,
        prefill_share=work.prefill_share,
        sensitivity=work.sensitivity,
        reporting_peers=server.peer_load.routers,
    )


def _first_less_urgent(urgency: int) -> int:
    """Prompts of one tier of customers are read in the order in which they came."""
    return (urgency // ROUTE_TIERS + 1) * ROUTE_TIERS


def reserved_server_count(group: GroupServers, costs: PlacementCostModel) -> int:
    """
    Tell how many engines long prompts avoid; they are the first by rank on each router.

    :param group: engines that accept work
    :param costs: share of them
    :return: how many; 0 in a group too small to be split
    """
    if len(group.servers) < MIN_SPLIT_SERVERS:
        return 0
    return round(len(group.servers) * costs.reserved_share)


def _wait_ms(
    server: BackendServer, in_flight: int, costs: PlacementCostModel, now_ms: int
) -> float:
    beyond = max(0, in_flight + 1 - server.record.slots)
    wait_ms = beyond * SLOT_WAIT_MS
    if now_ms - server.joined_ms < server.record.warm_up_left_ms:
        wait_ms += costs.cold_start_ms
    return wait_ms


def _stall_ms(
    request: ServerPlacementRequest,
    costs: PlacementCostModel,
    work: _ServerWork,
    new_tokens: float,
    duty: ServerAssignment,
) -> float:
    """Time that prompts stall this stream, and that its prompt stalls the others there."""
    assert request.prompt is not None
    others, prefill_share = work.sensitivity, work.prefill_share
    if duty.is_reserved:
        others = max(others, costs.reserved_stream_count)
    else:
        prefill_share = max(prefill_share, costs.baseline_prefill_share)
    own_ms = sum(work.unread_tokens) / costs.prefill_tokens_per_ms
    own_ms += prefill_share * request.prompt.output_tokens * costs.step_ms
    others_ms = others * new_tokens / costs.prefill_tokens_per_ms
    return costs.stall_weight * (request.sensitivity * own_ms + others_ms)


def _link_ms(
    server: BackendServer, request: ServerPlacementRequest, costs: PlacementCostModel
) -> float:
    near = server.record.failure_domain == request.failure_domain
    return 0.0 if near else costs.other_domain_ms


@attrs.frozen(kw_only=True)
class _ServerWork:
    """What all routers together are believed to have at a server."""

    in_flight: int
    unread_tokens: list[float]  # by urgency
    sensitivity: float
    prefill_share: float


def _work_at(server: BackendServer, costs: PlacementCostModel, now_ms: int) -> _ServerWork:
    """
    Add up own work and what was heard of; what nobody told of counts as more of the same.

    Answers routers that are cut off from their peers, and fleets in which not all report to all:
    the server itself tells with each answer how many requests it has.
    """
    others, others_x = server.peer_load, 1.0 / costs.reporting_share
    known = server.in_flight + others_x * others.in_flight
    hidden = server.unreported_requests(now_ms)
    hidden_x = 1.0 + min(MAX_HIDDEN_X, hidden / max(1.0, known))
    unread = zip(server.unread_tokens, others.unread_tokens, strict=True)
    return _ServerWork(
        in_flight=round(known + hidden),
        unread_tokens=[hidden_x * (own + others_x * theirs) for own, theirs in unread],
        sensitivity=hidden_x * (server.sensitivity + others_x * others.sensitivity),
        prefill_share=min(1.0, hidden_x * estimate_prefill_share(server, costs, now_ms)),
    )


__all__ = ["choose_server", "estimate_placement", "reserved_server_count", "stream_sensitivity"]
