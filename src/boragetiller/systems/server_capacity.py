"""
Tell whether an engine can bring one more stream to its end before its deadline.

Answers bursts of long prompts before long answers. An engine reads a chunk of a prompt in each step
that makes a token of its streams, so while it reads without a pause each stream gets one token per
chunk: an answer of 400 tokens then takes 20 s. If all of a burst is sent on, no stream ends in
time, running requests fill the memory that held the shared parts, and those are read again. So less
is sent than an engine could read: what is begun ends in time, and the rest is told to come back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetiller.tables.server_placement import (
        Placement,
        PlacementCostModel,
        ServerPlacementRequest,
    )

FINISH_SHARE = 0.6  # of the time left, for the most urgent
FINISH_SHARE_STEP = 0.02  # less for each lower urgency, so that the urgent are refused last
SHORT_FINISH_SHARE = 0.95  # for a prompt of one chunk, which takes next to nothing from others
FIRST_EVENT_SHARE = 0.75  # of the silence after which callers leave


def expected_step_ms(in_flight: int, prefill_share: float, costs: PlacementCostModel) -> float:
    """
    Estimate how long an engine takes for one token of each of its streams.

    :param in_flight: requests there
    :param busy: share of its time that it spends on reading prompts, 0 to 1
    :param costs: figures of the group
    :return: time in milliseconds; at most one chunk of a prompt is read in a step
    """
    step_ms = costs.step_ms + costs.step_ms_per_request * in_flight
    longest_ms = step_ms + costs.chunk_ms
    if prefill_share >= 1.0:
        return longest_ms
    return min(longest_ms, step_ms / (1.0 - prefill_share))


def has_capacity(
    found: Placement,
    request: ServerPlacementRequest,
    costs: PlacementCostModel,
) -> bool:
    """
    Tell whether a stream of usual length would end in time at an engine.

    The usual length of the route counts, not that of the request, so that long requests are not
    refused more often than short ones.

    :param found: the engine, and what is expected there
    :param request: the request
    :param costs: figures of the group
    :return: whether the request may be sent there
    """
    if found.first_event_ms > FIRST_EVENT_SHARE * request.caller_event_timeout_ms:
        return False
    step_ms = expected_step_ms(found.in_flight, found.prefill_share, costs)
    finish_ms = found.first_event_ms + request.typical_output_tokens * step_ms
    is_short = found.new_tokens <= costs.chunk_tokens
    return finish_ms <= _finish_share(request.urgency, is_short=is_short) * request.time_left_ms


def may_use_reserved(
    found: Placement, request: ServerPlacementRequest, costs: PlacementCostModel
) -> bool:
    """
    Tell whether a request may go to an engine kept for sensitive streams when all others are full.

    :param found: the engine, and what is expected there
    :param request: the request
    :param costs: figures of the group
    :return: whether it stalls no stream there that is more sensitive than itself
    """
    if found.new_tokens <= costs.chunk_tokens:
        return True
    return found.sensitivity <= request.sensitivity


def _finish_share(urgency: int, *, is_short: bool) -> float:
    return SHORT_FINISH_SHARE if is_short else FINISH_SHARE - FINISH_SHARE_STEP * urgency


__all__ = ["expected_step_ms", "has_capacity", "may_use_reserved"]
