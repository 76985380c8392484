"""
Decide whether an engine can finish one more stream before its deadline.

An engine prefills one chunk of a prompt in each decode step, so under continuous prefill each of
its streams gets one token per chunk, and an output of 400 tokens takes 20 s. If a whole burst of
long prompts with long outputs were admitted, no stream would finish in time, and the running
requests would evict the shared prefixes from the cache, which would then be prefilled again.
Requests are therefore admitted below the prefill capacity: those that start finish in time, and the
others are refused with a retry delay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.systems.overload.committed_memory import has_memory
from boragetiller.systems.overload.shared_part_copies import may_copy_part

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from boragetiller.tables.server_placement import (
        Placement,
        PlacementCostModel,
        ServerPlacementRequest,
    )
    from boragetiller.tables.servers import BackendServer

FINISH_SHARE = 0.6  # of the time left in which the most urgent streams must be expected to finish
FINISH_SHARE_STEP = 0.02  # decrease per urgency level, so that the most urgent are refused last
SHORT_FINISH_SHARE = 0.95  # for a prompt of one chunk, whose prefill hardly delays other streams
FIRST_EVENT_SHARE = 0.75  # of the caller's event timeout


def estimate_step_ms(in_flight: int, prefill_share: float, costs: PlacementCostModel) -> float:
    """
    Estimate the duration of a decode step, which produces one token of each stream.

    :param in_flight: number of requests at the engine
    :param prefill_share: share of its time that the engine spends on prefill, 0 to 1
    :param costs: cost model of the group
    :return: milliseconds; a step contains the prefill of at most one chunk
    """
    step_ms = costs.step_ms + costs.step_ms_per_request * in_flight
    longest_ms = step_ms + costs.chunk_ms
    if prefill_share >= 1.0:
        return longest_ms
    return min(longest_ms, step_ms / (1.0 - prefill_share))


def has_capacity(
    placement: Placement,
    request: ServerPlacementRequest,
    costs: PlacementCostModel,
) -> bool:
    """
    Decide whether a stream of typical length would finish in time at an engine.

    The typical output length of the route is used instead of the request's own, so that long
    requests are not refused more often than short ones.

    :param placement: the engine and its estimates
    :param request: the request
    :param costs: cost model of the group
    :return: whether the request may be sent to the engine
    """
    if placement.first_event_ms > FIRST_EVENT_SHARE * request.caller_event_timeout_ms:
        return False
    step_ms = estimate_step_ms(placement.in_flight, placement.prefill_share, costs)
    decode_ms = request.typical_output_tokens * step_ms * placement.lasting_work_time
    finish_ms = placement.first_event_ms + decode_ms
    is_short = placement.new_tokens <= costs.chunk_tokens
    return finish_ms <= _get_finish_share(request.urgency, is_short=is_short) * request.time_left_ms


def may_use_reserved(
    placement: Placement, request: ServerPlacementRequest, costs: PlacementCostModel
) -> bool:
    """
    Decide whether a request may go to an engine reserved for stall-sensitive streams.

    This applies when all other engines are out of capacity.

    :param placement: the engine and its estimates
    :param request: the request
    :param costs: cost model of the group
    :return: whether the prompt has a single chunk, or the streams at the engine are together no
        more sensitive than the request
    """
    if placement.new_tokens <= costs.chunk_tokens:
        return True
    return placement.sensitivity <= request.sensitivity


def find_with_room(
    placements: list[Placement],
    is_reserved: Callable[[BackendServer], bool],
    request: ServerPlacementRequest,
    costs: PlacementCostModel,
    now_ms: int,
) -> Placement | None:
    """
    Find the first engine with capacity and memory for a request.

    If only reserved engines have both, they take just the requests that do not stall their
    streams, so that the overflow of the other engines does not fill them.

    :param placements: placements of the request at the candidates, the lowest cost first
    :param is_reserved: whether an engine is reserved for stall-sensitive streams
    :param request: the request
    :param costs: cost model of the group
    :param now_ms: monotonic time in milliseconds
    :return: the placement, None if no engine has both
    """
    reserved: list[Placement] = []
    for placement in placements:
        if not may_copy_part(placement, request.held_part):
            continue
        if not has_capacity(placement, request, costs):
            continue
        if not has_memory(placement.server, request, costs, now_ms):
            continue
        if not is_reserved(placement.server):
            return reserved[0] if reserved else placement
        reserved.append(placement)
    usable = (placement for placement in reserved if may_use_reserved(placement, request, costs))
    return next(usable, None)


def list_fitting(
    placements: Sequence[Placement],
    is_reserved: Callable[[BackendServer], bool],
    request: ServerPlacementRequest,
    costs: PlacementCostModel,
    now_ms: int,
) -> list[Placement]:
    """
    List the engines that a request could go to.

    It checks the memory of each one, which :func:`find_with_room` does only up to its choice.

    :param placements: placements of the request at the candidates
    :param is_reserved: whether an engine is reserved for stall-sensitive streams
    :param request: the request
    :param costs: cost model of the group
    :param now_ms: monotonic time in milliseconds
    :return: those with capacity and memory
    """
    fitting = [
        each
        for each in placements
        if may_copy_part(each, request.held_part)
        and has_capacity(each, request, costs)
        and has_memory(each.server, request, costs, now_ms)
    ]
    if all(is_reserved(each.server) for each in fitting):
        return [each for each in fitting if may_use_reserved(each, request, costs)]
    return fitting


def _get_finish_share(urgency: int, *, is_short: bool) -> float:
    return SHORT_FINISH_SHARE if is_short else FINISH_SHARE - FINISH_SHARE_STEP * urgency


__all__ = [
    "estimate_step_ms",
    "find_with_room",
    "has_capacity",
    "list_fitting",
    "may_use_reserved",
]
