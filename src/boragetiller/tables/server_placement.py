"""Input, cost model and result of the choice of a backend server."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from boragetiller.tables.call_metadata import Prompt
from boragetiller.tables.servers import BackendServer


@attrs.frozen(kw_only=True)
class PlacementCostModel:
    """Parameters that convert the load of a server into a cost in milliseconds."""

    prefill_tokens_per_ms: float = 60.0  # engines reach 64 to 93
    other_domain_ms: float = 60.0  # 3 ms of network latency; the rest keeps traffic in its domain
    cold_start_ms: float = 200.0  # additional time at an engine that has just started
    owner_cache_share: float = 0.05  # share of a prefix assumed to be cached at its owner
    stall_weight: float = 0.5  # of stall time of a stream, relative to time to the first event
    step_ms: float = 4.0  # decode step: one token of each stream
    step_ms_per_request: float = 0.15  # increase of a step per stream, for its memory accesses
    chunk_tokens: float = 2_048.0  # prompt tokens that an engine prefills in one step
    tokens_per_event: float = 4.0
    reporting_share: float = 1.0  # share of the other routers whose load reports arrive
    prefill_weight: float = 2.0  # of prefill time, which delays all later requests
    reference_target_ms: float = 600.0  # latency target at which delay has the weight 1
    reserved_share: float = 0.2  # of the engines, reserved for stall-sensitive streams
    reserved_stream_count: float = 6.0  # sensitive streams assumed at least at a reserved engine
    baseline_prefill_share: float = 0.3  # prefill share assumed at least at the other engines

    @property
    def chunk_ms(self) -> float:
        """:return: milliseconds in which an engine prefills a chunk of a prompt"""
        return self.chunk_tokens / self.prefill_tokens_per_ms


@attrs.frozen(kw_only=True)
class ServerAssignment:
    """Role of a server for a request, which all routers derive without communication."""

    is_owner: bool = False  # owns the shared prefix of the prompt by rendezvous hashing
    is_reserved: bool = False  # avoided by long prompts, for stall-sensitive streams


@attrs.frozen(kw_only=True)
class ServerPlacementRequest:
    """Properties of a request that the choice of a server depends on."""

    prompt: Prompt | None  # None for a plain service
    urgency: int  # 0 is the most urgent
    target_ms: float  # latency target; of a stream, to its first event
    sensitivity: float  # to stalls, 0 to 1; see systems.server_placement
    failure_domain: str  # of this router
    time_left_ms: float  # until the deadline
    caller_event_timeout_ms: float  # without an event, after which the caller closes the stream
    typical_output_tokens: float  # of the requests of its route
    memory_tokens: int = 0  # of an engine of the group, 0 for no limit
    held_part: str | None = None  # shared part that is not copied to busy engines
    is_retry: bool = False  # an earlier attempt has failed
    was_refused: bool = False  # the last attempt, by a server that was full and did not crash
    response_started: bool = False  # part of it was relayed, so capacity limits do not apply


@attrs.frozen(kw_only=True)
class Placement:
    """A server for a request, with its cost and the estimates behind it."""

    server: BackendServer
    cost_ms: float
    first_event_ms: float  # expected time to the first event
    new_tokens: int  # prompt tokens that the server would have to prefill
    in_flight: int  # estimated number of requests at the server
    prefill_share: float  # share of its time that the server spends on prefill, 0 to 1
    sensitivity: float  # to stalls, summed over the streams at the server
    reporting_peers: int  # number of routers whose load at the server is known
    lasting_work_time: float = 1.0  # of the server; see systems.overload.server_speed


@attrs.frozen
class ComparedPlacements:
    """Placements of a request at the candidates that are neither ejected nor full."""

    placements: Sequence[Placement]
    best: Placement | None  # None if no candidate has capacity and memory


__all__ = [
    "ComparedPlacements",
    "Placement",
    "PlacementCostModel",
    "ServerAssignment",
    "ServerPlacementRequest",
]
