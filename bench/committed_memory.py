"""
Compares, in virtual time, the tokens that routers count at engines with those that engines hold.

    python -m bench.committed_memory

Thirty routers send prompts with a shared part of 13,300 tokens and 3,400 tokens of their own to 28
engines; four fifths of the prompts with one part go to the same engine. A report reaches the
peers after 100 ms. The errors are shares of an engine's memory of 536,382 tokens: mean, 5th and
95th percentile.
"""

from __future__ import annotations

import heapq
import statistics
from random import Random

import attrs

from boragetiller.systems.overload.committed_memory import (
    commit_request,
    count_own_tokens,
    record_peer_parts,
    release_request,
)
from boragetiller.systems.peer_loads import record_report, set_load
from boragetiller.systems.server_placement import choose_server
from boragetiller.tables.call_metadata import Prompt, PromptPart
from boragetiller.tables.committed_memory import Commitment, CommittedMemory
from boragetiller.tables.peer_loads import PeerLoadTable
from boragetiller.tables.server_groups import GroupServers
from boragetiller.tables.server_placement import PlacementCostModel, ServerPlacementRequest
from boragetiller.tables.servers import BackendServer, PeerLoad, ServerRecord

ROUTERS, ENGINES = 30, 28
MEMORY_TOKENS = 536_382
SHARED_TOKENS, OWN_TOKENS, OUTPUT_TOKENS = 13_300, 3_400, 300
AFFINITY = 0.8
LAG_MS = 100
WARM_UP_MS, END_MS, SAMPLE_MS = 20_000, 60_000, 500
BURST_ROUTERS, BURST_ENGINES, BURST_PARTS = 6, 3, 8
BURST_MS, BURST_INTERVAL_MS, BURST_MEMORY_TOKENS = 12_000, 50, 300_000
# Prompts per second at each engine, seconds that each is in flight, number of shared parts.
CASES = ((3, 5, 64), (8, 5, 64), (8, 8, 64), (8, 5, 400), (8, 1, 64), (8, 3, 1_000_000))


@attrs.frozen(order=True)
class Ended:
    """End of a request."""

    at_ms: int
    engine: int
    router: int
    commitment: Commitment = attrs.field(order=False)
    part: str


@attrs.frozen(order=True)
class Reported:
    """Arrival of a report about a prompt at all routers but its sender."""

    at_ms: int
    engine: int
    router: int
    prompt: Prompt = attrs.field(order=False)


def measure(per_s: int, flight_s: int, parts: int, *, reported: bool) -> list[float]:
    """
    Measure the errors of one case.

    :param per_s: prompts per second at each engine
    :param flight_s: mean time for which a prompt is in flight
    :param parts: number of shared parts
    :param reported: whether routers learn from reports which parts their peers have sent
    :return: errors as shares of an engine's memory, over engines and time
    """
    rng, errors = Random(1), []
    memories = [[CommittedMemory() for _ in range(ROUTERS)] for _ in range(ENGINES)]
    held: list[list[str]] = [[] for _ in range(ENGINES)]
    events: list[tuple[int, int, Ended | Reported]] = []
    now, sample_ms, number = 0.0, WARM_UP_MS, 0
    while now < END_MS:
        now += rng.expovariate(per_s * ENGINES / 1_000)
        now_ms = int(now)
        while events and events[0][0] <= now_ms:
            _apply(heapq.heappop(events)[2], memories, held)
        part, router = rng.randrange(parts), rng.randrange(ROUTERS)
        engine = part % ENGINES if rng.random() < AFFINITY else rng.randrange(ENGINES)
        prompt = _build_prompt(str(part))
        commitment = commit_request(memories[engine][router], prompt, OUTPUT_TOKENS, now_ms)
        held[engine].append(str(part))
        end_ms = now_ms + int(1_000 * rng.expovariate(1 / flight_s))
        ended = Ended(end_ms, engine, router, commitment, str(part))
        number += 1
        heapq.heappush(events, (end_ms, 2 * number, ended))
        if reported:
            report = Reported(now_ms + LAG_MS, engine, router, prompt)
            heapq.heappush(events, (report.at_ms, 2 * number + 1, report))
        if now_ms >= sample_ms:
            sample_ms += SAMPLE_MS
            for routers, in_flight in zip(memories, held, strict=True):
                counted = sum(count_own_tokens(memory, now_ms) for memory in routers)
                errors.append((counted - _count_held(in_flight)) / MEMORY_TOKENS)
    return errors


def replay_burst(memory_tokens: int) -> tuple[int, int]:
    """
    Replay a burst of prompts with eight shared parts that six routers send to three engines.

    Reports are 50 ms late, and no request ends.

    :param memory_tokens: memory of an engine, 0 for no limit
    :return: largest number of tokens that an engine ever held, number of requests sent
    """
    rng, peers = Random(5), [PeerLoadTable() for _ in range(BURST_ROUTERS)]
    routers = [[_build_server(number) for number in range(BURST_ENGINES)] for _ in peers]
    held: list[list[str]] = [[] for _ in range(BURST_ENGINES)]
    most = sent = 0
    for now_ms in range(0, BURST_MS, BURST_INTERVAL_MS):
        _exchange_loads(routers, peers, now_ms)
        prompt, index = _build_prompt(str(rng.randrange(BURST_PARTS))), rng.randrange(len(routers))
        request = ServerPlacementRequest(
            prompt=prompt,
            urgency=2,
            target_ms=600.0,
            sensitivity=0.0,
            failure_domain="a",
            time_left_ms=60_000.0,
            caller_event_timeout_ms=60_000.0,
            typical_output_tokens=OUTPUT_TOKENS,
            memory_tokens=memory_tokens,
        )
        group, costs = GroupServers.build(routers[index]), PlacementCostModel()
        placement = choose_server(group, routers[index], request, costs, now_ms)
        if placement is None:
            continue
        sent += 1
        number = routers[index].index(placement.server)
        placement.server.in_flight += 1
        commit_request(placement.server.memory, prompt, OUTPUT_TOKENS, now_ms)
        for servers in routers:
            if servers is not routers[index]:
                record_peer_parts(servers[number].memory, prompt, now_ms)
        held[number].append(prompt.parts[0].part_id)
        most = max(most, *map(_count_held, held))
    return most, sent


def _exchange_loads(
    routers: list[list[BackendServer]], peers: list[PeerLoadTable], now_ms: int
) -> None:
    for index, servers in enumerate(routers):
        for number, server in enumerate(servers):
            load = PeerLoad(
                in_flight=server.in_flight,
                unread_tokens=(),
                sensitivity=0.0,
                committed_tokens=count_own_tokens(server.memory, now_ms),
            )
            for other, table in enumerate(peers):
                if other != index:
                    peer_loads = record_report(table, f"r{index}", now_ms)
                    set_load(peer_loads, routers[other][number], load)


def _build_server(number: int) -> BackendServer:
    record = ServerRecord(
        name=f"e{number}",
        group="g",
        address="10.0.0.1:80",
        failure_domain="a",
        slots=64,
        draining=False,
        started_ms=0,
        warm_up_left_ms=0.0,
    )
    return BackendServer(record)


def _apply(event: Ended | Reported, memories: list[list[CommittedMemory]], held: list) -> None:
    if isinstance(event, Ended):
        release_request(memories[event.engine][event.router], event.commitment)
        held[event.engine].remove(event.part)
        return
    for router, memory in enumerate(memories[event.engine]):
        if router != event.router:
            record_peer_parts(memory, event.prompt, event.at_ms)


def _build_prompt(part: str) -> Prompt:
    parts = (PromptPart(part, SHARED_TOKENS), PromptPart("own", OWN_TOKENS))
    tokens = SHARED_TOKENS + OWN_TOKENS
    return Prompt(model="m", input_tokens=tokens, output_tokens=OUTPUT_TOKENS, parts=parts)


def _count_held(in_flight: list[str]) -> int:
    own_tokens = len(in_flight) * (OWN_TOKENS + OUTPUT_TOKENS)
    return own_tokens + SHARED_TOKENS * len(set(in_flight))


def _describe(errors: list[float]) -> str:
    low, high = (sorted(errors)[round(share * (len(errors) - 1))] for share in (0.05, 0.95))
    return f"{statistics.mean(errors):+.2f} ({low:+.2f} to {high:+.2f})"


def main() -> int:
    """
    Measure and print.

    :return: process exit code
    """
    print("| per s | in flight s | parts | each router counts | the last sender counts |")
    print("| --- | --- | --- | --- | --- |")
    for case in CASES:
        found = (_describe(measure(*case, reported=reported)) for reported in (False, True))
        print(f"| {' | '.join(map(str, case))} | {' | '.join(found)} |")
    for tokens in (0, BURST_MEMORY_TOKENS):
        most, sent = replay_burst(tokens)
        print(f"burst, memory of {tokens} tokens: {most} tokens at an engine, {sent} prompts sent")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
