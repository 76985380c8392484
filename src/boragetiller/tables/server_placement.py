"""A request to be placed, what a choice costs, and the choice."""

from __future__ import annotations

import attrs

from boragetiller.tables.call_metadata import Prompt
from boragetiller.tables.servers import BackendServer


@attrs.frozen(kw_only=True)
class PlacementCostModel:
    """Figures that turn load into milliseconds."""

    prefill_tokens_per_ms: float = 60.0  # engines of today read 64 to 93 tokens in a ms
    other_domain_ms: float = 60.0  # the way is 3 ms; the rest keeps traffic in its failure domain
    cold_start_ms: float = 200.0  # extra time at an engine that has just started
    owner_cache_share: float = 0.05  # what a part is worth where all routers would look for it
    stall_weight: float = 0.5  # of time that a stream is stalled against time to a first event
    step_ms: float = 4.0  # for one token of each stream
    step_ms_per_request: float = 0.15  # that each stream adds to a step, with its memory
    chunk_tokens: float = 2_048.0  # of prompts, that an engine reads in one step
    tokens_per_event: float = 4.0
    reporting_share: float = 1.0  # of the other routers, whose work is known
    prefill_weight: float = 2.0  # of reading time, which delays all that comes later
    reference_target_ms: float = 600.0  # latency target for which a ms of delay counts as one
    reserved_share: float = 0.2  # of engines, kept for streams that suffer from stalls
    reserved_stream_count: float = 6.0  # that are expected at each of these, also before they come
    baseline_prefill_share: float = 0.3  # of its time, expected at the others

    @property
    def chunk_ms(self) -> float:
        """:return: time in which an engine reads a chunk of a prompt"""
        return self.chunk_tokens / self.prefill_tokens_per_ms


@attrs.frozen(kw_only=True)
class ServerAssignment:
    """What all routers expect of a server, without having heard of each other."""

    is_owner: bool = False  # they look for the prompt's parts there
    is_reserved: bool = False  # they keep long prompts away from it


@attrs.frozen(kw_only=True)
class ServerPlacementRequest:
    """What placement needs to know of a request."""

    prompt: Prompt | None  # None for a plain service
    urgency: int  # 0 is the most urgent
    target_ms: float  # latency target, to the first event of a stream
    sensitivity: float  # to stalls; see stream_sensitivity
    failure_domain: str  # of this router
    time_left_ms: float  # until the request must be answered
    caller_event_timeout_ms: float  # without an event, after which its caller leaves
    typical_output_tokens: float  # of requests of its route
    is_retry: bool = False  # an earlier send of it has failed
    response_started: bool = (
        False  # its caller has a part of the answer, so it goes on wherever it can
    )


@attrs.frozen(kw_only=True)
class Placement:
    """A server for a request, and what speaks for it."""

    server: BackendServer
    cost_ms: float
    first_event_ms: float  # expected time to the first event
    new_tokens: int  # of the prompt, that the server would have to read
    in_flight: int  # requests there, as far as known
    prefill_share: float  # share of its time that the server spends on reading, 0 to 1
    sensitivity: float  # to stalls, summed over the streams there
    reporting_peers: int  # routers whose work there is known


__all__ = ["Placement", "PlacementCostModel", "ServerPlacementRequest", "ServerAssignment"]
