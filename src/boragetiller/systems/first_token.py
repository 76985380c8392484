"""
Choose a backend server by the expected time to the first event, and by the harm to others.

Answers the load of long prompts in bursts. An engine reads prompts one chunk after the other
between the tokens of its streams. So the tokens that wait to be read there decide when a new
stream begins, and a long prompt stalls each stream that runs beside it. Prompts share parts: an
engine that has read a part does not read it again, so requests with a part go to one engine as
long as its queue costs less than reading the part elsewhere.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from boragetiller.hashing import mix, stable_hash
from boragetiller.tables.calls import Prompt
from boragetiller.tables.servers import BackendServer

if TYPE_CHECKING:
    from boragetiller.tables.calls import PromptPart
    from boragetiller.tables.routes import EngineProfile
    from boragetiller.tables.servers import PeerLoad

PEER_LOAD_FADE_MS = 1_000  # reports come ten times a second; ten missed ones say nothing
LATE_MEMORY_MS = 3_000.0  # a slow server is tried again after about so long
LATE_SMOOTHING = 0.3  # weight of the newest answer
MAX_LATE_MS = 2_000.0  # bounds what one answer may add
SLOT_WAIT_MS = 50.0  # expected wait for a place per request beyond the slots
CACHE_SHARE = 0.8  # of an engine's memory; the rest holds what its running requests generate
SENSITIVE_GAP_MS = 200.0  # an event of four tokens beside a long prompt takes about as long
MAX_HASTE = 2.0  # bounds the weight of delay for very short targets
MIN_SPLIT_SERVERS = 3  # with fewer engines each one takes all kinds of requests
SENSITIVITY_POWER = 3  # a stream with half as much room again is hardly ever late
READ_MEMORY_MS = 2_000.0  # over which the reading of prompts is averaged


@attrs.frozen(kw_only=True)
class PlacementCosts:
    """Figures that turn load into milliseconds."""

    read_tokens_per_ms: float = 60.0  # engines of today read 64 to 93 tokens in a ms
    other_domain_ms: float = 30.0  # the way is 3 ms; the rest keeps traffic in its failure domain
    cold_ms: float = 200.0  # extra time at an engine that has just started
    batch_ms_per_request: float = 0.5  # a larger batch makes each step longer
    owner_share: float = 0.3  # what a part is worth where all routers would look for it
    stall_weight: float = 1.0  # of time that a stream is stalled against time to a first event
    step_ms: float = 4.0  # for one token of each stream
    late_weight: float = 0.3  # of answers later than expected; a part is the request's own doing
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


def stream_sensitivity(gap_target_ms: float) -> float:
    """
    Tell how much a stream suffers from a stall.

    :param gap_target_ms: longest pause between events for which it is on time, 0 for none
    :return: 0 for answers without such a target, up to 1
    """
    if gap_target_ms <= 0:
        return 0.0
    return min(1.0, (SENSITIVE_GAP_MS / gap_target_ms) ** SENSITIVITY_POWER)


def choose_server(
    servers: list[BackendServer], request: PlacementRequest, costs: PlacementCosts, now_ms: int
) -> Placement | None:
    """
    Pick the server where the request costs least.

    :param servers: servers that accept work
    :param request: the request
    :param costs: figures of the group
    :param now_ms: monotonic time in milliseconds
    :return: the server and what the choice was based on, None when none takes work now
    """
    usable = [s for s in servers if s.full_until_ms <= now_ms]
    usable = [s for s in usable if not s.health.is_ejected(now_ms)] or usable
    if not usable:
        return None
    quiet = quiet_servers(servers, costs) if request.prompt else set()
    loud = [server for server in usable if server.name not in quiet]
    owner = _part_owner(loud or usable, request.prompt)
    placements = [
        estimate_placement(
            server,
            request,
            costs,
            now_ms,
            ServerDuty(is_owner=server is owner, is_quiet=server.name in quiet),
        )
        for server in usable
    ]
    return min(placements, key=lambda placement: placement.cost_ms)


def estimate_placement(
    server: BackendServer,
    request: PlacementRequest,
    costs: PlacementCosts,
    now_ms: int,
    duty: ServerDuty,
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
    peers = [load for load in server.peers.values() if _is_fresh(load, now_ms)]
    in_flight = server.in_flight + sum(load.in_flight for load in peers)
    wait_ms = _wait_ms(server, in_flight, costs, now_ms)
    first_ms, harm_ms, new_tokens = wait_ms, 0.0, 0.0
    if request.prompt is not None:
        unread = _unread_by_tier(server, peers)
        new_tokens = uncached_tokens(server, request.prompt, costs, is_owner=duty.is_owner)
        ahead = sum(unread[: request.tier + 1])
        first_ms += (ahead + new_tokens) / costs.read_tokens_per_ms
        harm_ms = costs.work_weight * new_tokens / costs.read_tokens_per_ms
        others = server.sensitivity + sum(load.sensitivity for load in peers)
        busy = read_share(server, costs, now_ms)
        harm_ms += _stall_ms(request, costs, sum(unread), new_tokens, others, busy, duty)
    first_ms += costs.late_weight * lateness_ms(server, now_ms)
    haste = min(MAX_HASTE, costs.usual_target_ms / request.target_ms)
    return Placement(
        server=server,
        cost_ms=_link_ms(server, request, costs) + haste * first_ms + harm_ms,
        first_event_ms=first_ms,
        new_tokens=int(new_tokens),
        in_flight=in_flight,
        peers_heard=len(peers),
        oldest_report_ms=max((now_ms - load.received_ms for load in peers), default=0),
    )


def note_delay(server: BackendServer, measured_ms: float, expected_ms: float, now_ms: int) -> None:
    """
    Note how much later than expected a server answered, to find slow ones.

    :param server: who answered
    :param measured_ms: time to the first event or to the whole answer
    :param expected_ms: what placement expected
    :param now_ms: monotonic time in milliseconds
    """
    late_ms = min(MAX_LATE_MS, max(0.0, measured_ms - expected_ms))
    before_ms = lateness_ms(server, now_ms)
    server.health.late_ms = (1 - LATE_SMOOTHING) * before_ms + LATE_SMOOTHING * late_ms
    server.health.late_noted_ms = now_ms


def lateness_ms(server: BackendServer, now_ms: int) -> float:
    """
    Tell how much later than expected a server answers; it fades, so that it is tried again.

    :param server: the server
    :param now_ms: monotonic time in milliseconds
    :return: milliseconds
    """
    age_ms = max(0, now_ms - server.health.late_noted_ms)
    return server.health.late_ms * math.exp(-age_ms / LATE_MEMORY_MS)


def quiet_servers(servers: list[BackendServer], costs: PlacementCosts) -> set[str]:
    """
    Choose the engines that long prompts avoid, the same ones on each router.

    :param servers: engines that accept work
    :param costs: share of them
    :return: names; none in a group too small to be split
    """
    count = round(len(servers) * costs.quiet_share)
    if len(servers) < MIN_SPLIT_SERVERS or not count:
        return set()
    ranked = sorted(servers, key=lambda server: stable_hash("quiet", server.name))
    return {server.name for server in ranked[:count]}


def uncached_tokens(
    server: BackendServer, prompt: Prompt, costs: PlacementCosts, *, is_owner: bool = False
) -> float:
    """
    Estimate how many tokens of a prompt a server would have to read.

    :param server: the server
    :param prompt: parts of the prompt; a cached part helps only behind cached parts
    :param costs: what a part is worth at its owner
    :param is_owner: whether routers without knowledge would choose this server for the prompt
    :return: tokens
    """
    saved = 0.0
    for part in prompt.parts:
        if part.part_id not in server.cached_parts:
            break
        saved += part.tokens
    if saved == 0 and is_owner:
        saved = costs.owner_share * sum(part.tokens for part in prompt.parts[:-1])
    return max(0.0, prompt.input_tokens - saved)


def read_share(server: BackendServer, costs: PlacementCosts, now_ms: int) -> float:
    """
    Estimate the share of its time that an engine spent on reading prompts lately.

    :param server: the engine
    :param costs: how fast engines read
    :param now_ms: monotonic time in milliseconds
    :return: 0 to 1
    """
    decay = math.exp(-max(0, now_ms - server.read_noted_ms) / READ_MEMORY_MS)
    return min(1.0, server.read_tokens * decay / (READ_MEMORY_MS * costs.read_tokens_per_ms))


def note_read(
    server: BackendServer, prompt: Prompt, costs: PlacementCosts, cache_tokens: int, now_ms: int
) -> None:
    """
    Note that an engine reads a prompt.

    It counts as read from the moment it is sent: the engine reads in order of arrival, so the next
    request with the same parts finds them there.

    :param server: the engine
    :param prompt: what it reads
    :param costs: see :func:`uncached_tokens`
    :param cache_tokens: tokens of parts that the engine keeps
    :param now_ms: monotonic time in milliseconds
    """
    decay = math.exp(-max(0, now_ms - server.read_noted_ms) / READ_MEMORY_MS)
    server.read_tokens = server.read_tokens * decay + uncached_tokens(server, prompt, costs)
    server.read_noted_ms = now_ms
    note_cached(server, prompt.parts, cache_tokens)


def note_cached(server: BackendServer, parts: tuple[PromptPart, ...], capacity_tokens: int) -> None:
    """
    Remember that an engine has read the parts of a prompt; the oldest parts yield.

    :param server: the server
    :param parts: what it has read
    :param capacity_tokens: tokens that its cache holds
    """
    for part in parts:
        known = server.cached_parts.pop(part.part_id, 0)
        server.cached_parts[part.part_id] = part.tokens
        server.cached_tokens += part.tokens - known
    while server.cached_tokens > capacity_tokens and server.cached_parts:
        _, tokens = server.cached_parts.popitem(last=False)
        server.cached_tokens -= tokens


def engine_cache_tokens(engine: EngineProfile) -> int:
    """
    Tell how many tokens of parts an engine is expected to keep.

    :param engine: profile of its group
    :return: tokens
    """
    return int(CACHE_SHARE * engine.memory_tokens)


def _part_owner(servers: list[BackendServer], prompt: Prompt | None) -> BackendServer | None:
    """Rank by the shared parts, so that an engine that leaves moves only its own parts."""
    if prompt is None or len(prompt.parts) < 2:
        return None
    key = stable_hash("part", *(part.part_id for part in prompt.parts[:-1]))
    return max(servers, key=lambda server: mix(stable_hash(server.name) ^ key))


def _wait_ms(server: BackendServer, in_flight: int, costs: PlacementCosts, now_ms: int) -> float:
    beyond = max(0, in_flight + 1 - server.record.slots)
    wait_ms = beyond * SLOT_WAIT_MS + in_flight * costs.batch_ms_per_request
    if now_ms - server.joined_ms < server.record.cold_ms:
        wait_ms += costs.cold_ms
    return wait_ms


def _stall_ms(
    request: PlacementRequest,
    costs: PlacementCosts,
    unread_tokens: int,
    new_tokens: float,
    others: float,
    busy: float,
    duty: ServerDuty,
) -> float:
    """Time that prompts stall this stream, and that its prompt stalls the others there."""
    assert request.prompt is not None
    if duty.is_quiet:
        others = max(others, costs.quiet_streams)
    else:
        busy = max(busy, costs.usual_read_share)
    own_ms = unread_tokens / costs.read_tokens_per_ms
    own_ms += busy * request.prompt.output_tokens * costs.step_ms
    others_ms = others * new_tokens / costs.read_tokens_per_ms
    return costs.stall_weight * (request.sensitivity * own_ms + others_ms)


def _link_ms(server: BackendServer, request: PlacementRequest, costs: PlacementCosts) -> float:
    near = server.record.failure_domain == request.failure_domain
    return 0.0 if near else costs.other_domain_ms


def _unread_by_tier(server: BackendServer, peers: list[PeerLoad]) -> list[int]:
    unread = list(server.unread_by_tier())
    for load in peers:
        for tier, tokens in enumerate(load.unread_tokens[: len(unread)]):
            unread[tier] += tokens
    return unread


def _is_fresh(load: PeerLoad, now_ms: int) -> bool:
    return now_ms - load.received_ms < PEER_LOAD_FADE_MS


__all__ = [
    "Placement",
    "PlacementCosts",
    "PlacementRequest",
    "ServerDuty",
    "choose_server",
    "engine_cache_tokens",
    "estimate_placement",
    "lateness_ms",
    "note_delay",
    "note_read",
    "quiet_servers",
    "read_share",
    "stream_sensitivity",
    "uncached_tokens",
]
