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

from boragetiller.hashing import mix, stable_hash
from boragetiller.systems.prompt_cache import read_share, uncached_tokens
from boragetiller.tables.placement import Placement, PlacementCosts, PlacementRequest, ServerDuty

if TYPE_CHECKING:
    from boragetiller.tables.calls import Prompt
    from boragetiller.tables.servers import BackendServer, PeerLoad

PEER_LOAD_FADE_MS = 1_000  # reports come ten times a second; ten missed ones say nothing
SLOT_WAIT_MS = 50.0  # expected wait for a place per request beyond the slots
SENSITIVE_GAP_MS = 200.0  # an event of four tokens beside a long prompt takes about as long
MAX_HASTE = 2.0  # bounds the weight of delay for very short targets
MIN_SPLIT_SERVERS = 3  # with fewer engines each one takes all kinds of requests
SENSITIVITY_POWER = 3  # a stream with half as much room again is hardly ever late


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


__all__ = ["choose_server", "estimate_placement", "quiet_servers", "stream_sensitivity"]
