"""A request to be placed, what a choice costs, and the choice."""

from __future__ import annotations

import attrs

from boragetiller.tables.calls import Prompt
from boragetiller.tables.servers import BackendServer


@attrs.frozen(kw_only=True)
class PlacementCosts:
    """Figures that turn load into milliseconds."""

    read_tokens_per_ms: float = 60.0  # engines of today read 64 to 93 tokens in a ms
    other_domain_ms: float = 60.0  # the way is 3 ms; the rest keeps traffic in its failure domain
    cold_ms: float = 200.0  # extra time at an engine that has just started
    batch_ms_per_request: float = 0.5  # a larger batch makes each step longer
    owner_share: float = 0.05  # what a part is worth where all routers would look for it
    stall_weight: float = 0.5  # of time that a stream is stalled against time to a first event
    step_ms: float = 4.0  # for one token of each stream
    work_weight: float = 2.0  # of reading time, which delays all that comes later
    usual_target_ms: float = 600.0  # latency target for which a ms of delay counts as one
    quiet_share: float = 0.2  # of engines, kept for streams that suffer from stalls
    quiet_streams: float = 6.0  # that are expected at each of these, also before they come
    usual_read_share: float = 0.3  # of its time, expected at the others


@attrs.frozen(kw_only=True)
class ServerDuty:
    """What all routers expect of a server, without having heard of each other."""

    is_owner: bool = False  # they look for the prompt's parts there
    is_quiet: bool = False  # they keep long prompts away from it


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """What placement needs to know of a request."""

    prompt: Prompt | None  # None for a plain service
    tier: int  # 0 is the most urgent
    target_ms: float  # latency target, to the first event of a stream
    sensitivity: float  # to stalls; see stream_sensitivity
    failure_domain: str  # of this router


@attrs.frozen(kw_only=True)
class Placement:
    """A server for a request, and what speaks for it."""

    server: BackendServer
    cost_ms: float
    first_event_ms: float  # expected time to the first event
    new_tokens: int  # of the prompt, that the server would have to read
    in_flight: int  # requests there, as far as known
    peers_heard: int  # routers whose work there is known
    oldest_report_ms: int  # age of the oldest of their reports


__all__ = ["Placement", "PlacementCosts", "PlacementRequest", "ServerDuty"]
