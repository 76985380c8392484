"""
Measures processor time and memory of a router on the users' platform by the size of the fleet.

    python -m bench.gateway_scale [--json]

The tables of one router are filled with the reports of all others, without sockets. Times are
processor time, the minimum of five repetitions.
"""

from __future__ import annotations

import json
import sys
import time
import tracemalloc
from random import Random
from typing import TYPE_CHECKING

import tests.platform_path  # noqa: F401
from boragetiller.clock import ManualClock
from boragetiller.gateway.backend_registry import BackendRegistry
from boragetiller.gateway.metrics import GatewayMetrics
from boragetiller.gateway.peer_messages import (
    CachedPrompt,
    PeerReport,
    ReportedLoad,
    decode_payload,
    encode_frame,
)
from boragetiller.gateway.state_sync import StateSync
from boragetiller.systems.candidates import select_candidates
from boragetiller.systems.overload.server_speed import record_work_time
from boragetiller.systems.report_peers import MAX_PEERS, report_interval_ms
from boragetiller.systems.server_placement import choose_server
from boragetiller.tables.call_metadata import Prompt, PromptPart
from boragetiller.tables.server_placement import PlacementCostModel, ServerPlacementRequest
from boragetiller.tables.store_view import StoredItem
from dialect import PlatformDialect
from tests.gateway.harness import build_config, build_settings

if TYPE_CHECKING:
    from collections.abc import Callable


SIZES = ((4, 8), (28, 65), (100, 300), (400, 1_300))  # routers and backend servers
DOMAINS = 21
ROUTES = 100
KEYS = 5_200
REPETITIONS = 5
LOADS_PER_REPORT = 8  # servers whose load changes between two reports
PROMPTS_PER_REPORT = 3
PARTS = 3_000
SPEEDS = (0.7, 0.7, 1.7)  # observed work times of the servers


def main() -> int:
    """
    Measure and print.

    :return: process exit code
    """
    rows = [_measure_fleet(routers, servers) for routers, servers in SIZES]
    if "--json" in sys.argv:
        print(json.dumps(rows, indent=1))
        return 0
    for name in rows[0]:
        print(f"{name:<28}" + "".join(f"{row[name]:>14.3f}" for row in rows))
    return 0


def _measure_fleet(routers: int, servers: int) -> dict[str, float]:
    rng = Random(1)
    tracemalloc.start()
    clock = ManualClock(1_000)
    registry, state_sync = _build_router(servers, clock)
    for number in range(routers - 1):
        state_sync.apply_report(f"r{number}", _build_report(rng, servers, LOADS_PER_REPORT * 4))
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    frame = encode_frame(_build_report(rng, servers, LOADS_PER_REPORT))
    peers = min(MAX_PEERS, routers - 1)
    interval_s = report_interval_ms(peers) / 1_000
    apply_report_ms = _measure_best_ms(
        lambda: state_sync.apply_report("r0", decode_payload(frame[4:])), 200
    )
    for server in list(registry.servers.by_name.values())[:LOADS_PER_REPORT]:
        server.in_flight = 3
    build_report_ms = _measure_best_ms(
        lambda: encode_frame(state_sync.build_report(state_sync.create_cursor())), 200
    )
    control_share = (peers * apply_report_ms + build_report_ms) / interval_s / 1_000
    revision = [10_000]

    def change_server() -> None:
        revision[0] += 1
        registry.apply_changes([_build_server_item(0, revision[0], slots=revision[0])], "bench")

    def change_config() -> None:
        revision[0] += 1
        registry.apply_changes([_build_config_item(revision[0])], "bench")

    return {
        "routers": routers,
        "servers": servers,
        "choice_ms": _measure_choice_ms(registry, rng, servers),
        "choice_observed_ms": _measure_choice_ms(registry, rng, servers, observed=True),
        "report_taken_ms": apply_report_ms,
        "report_built_ms": build_report_ms,
        "control_share_of_core": control_share,
        "control_kb_per_s": 2 * peers * len(frame) / interval_s / 1_000,
        "list_change_ms": _measure_best_ms(change_server, 5),
        "config_change_ms": _measure_best_ms(change_config, 3),
        "memory_mb": memory_mb,
    }


def _build_router(servers: int, clock: ManualClock) -> tuple[BackendRegistry, StateSync]:
    registry = BackendRegistry(
        build_settings("router", failure_domain="z0"), PlatformDialect(), clock, GatewayMetrics()
    )
    state_sync = StateSync("router", registry, PlacementCostModel(), clock)
    registry.apply_changes([_build_config_item(1)], "bench")
    registry.apply_listing(
        "servers/", [_build_server_item(n, n + 2) for n in range(servers)], 5_000, "bench"
    )
    return registry, state_sync


def _measure_choice_ms(
    registry: BackendRegistry, rng: Random, servers: int, *, observed: bool = False
) -> float:
    group = registry.servers.find_accepting("engines")
    if observed:
        for number, server in enumerate(group.servers):
            record_work_time(server.speed, SPEEDS[number % len(SPEEDS)], 900, 1_000)
    costs = PlacementCostModel()

    def choose() -> None:
        request = ServerPlacementRequest(
            prompt=_build_prompt(rng),
            urgency=rng.randrange(9),
            target_ms=600.0,
            sensitivity=0.3,
            failure_domain="z0",
            time_left_ms=10_000.0,
            caller_event_timeout_ms=4_000.0,
            typical_output_tokens=100.0,
            memory_tokens=500_000,
        )
        candidates = select_candidates(group, request, set(), rng, 1_000)
        choose_server(group, candidates, request, costs, 1_000)

    assert len(group.servers) == servers
    return _measure_best_ms(choose, 100)


def _measure_best_ms(call: Callable[[], object], rounds: int) -> float:
    best = float("inf")
    for _ in range(REPETITIONS):
        start = time.process_time_ns()
        for _ in range(rounds):
            call()
        best = min(best, (time.process_time_ns() - start) / rounds / 1e6)
    return best


def _build_prompt(rng: Random) -> Prompt:
    parts = (
        PromptPart(f"{rng.randrange(3):08x}", 500),
        PromptPart(f"{100 + rng.randrange(PARTS):08x}", 5_000),
        PromptPart(f"{rng.getrandbits(60):08x}", 3_000),
    )
    return Prompt(model="m", input_tokens=8_500, output_tokens=200, parts=parts)


def _build_report(rng: Random, servers: int, loads: int) -> PeerReport:
    names = rng.sample(
        [_format_server_name(number) for number in range(servers)], min(loads, servers)
    )
    return PeerReport(
        config_revision=1,
        servers_revision=2,
        loads=tuple(
            ReportedLoad(server=name, in_flight=2, unread_tokens=(0, 900, 40, 0), sensitivity=0.4)
            for name in names
        ),
        prompts=tuple(
            CachedPrompt(server=name, prompt=_build_prompt(rng))
            for name in names[:PROMPTS_PER_REPORT]
        ),
        reaches_store=True,
    )


def _format_server_name(number: int) -> str:
    return f"i-{number:010x}"


def _build_server_item(number: int, revision: int, slots: int = 64) -> StoredItem:
    entry = {
        "service": "engines",
        "address": f"10.0.{number // 250}.{number % 250 + 1}:8500",
        "zone": f"z{number % DOMAINS}",
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "cold-left-ms": 0,
        "seq": 1,
    }
    return StoredItem(
        f"servers/{_format_server_name(number)}", json.dumps(entry).encode(), revision
    )


def _build_config_item(version: int) -> StoredItem:
    routes = [
        {
            "name": f"route-{number}",
            "host": f"host{number % 10}.example",
            "path-prefix": f"/p{number}/",
            "timeout-ms": 5_000,
            "service": "engines",
            "kind": "streaming",
            "sticky": True,
            "priority": number % 4,
            "goal-ms": 600,
        }
        for number in range(ROUTES)
    ]
    engine = {"slots": 64, "kv-capacity": 500_000}
    services = [{"name": "engines", "health-path": "/health", "max-conns": 99, "engine": engine}]
    customers = [{"name": f"t{n}", "api-keys": [f"key-{n}"]} for n in range(KEYS)]
    document = build_config(version, routes=routes, services=services, tenants=customers)
    return StoredItem("op/config", json.dumps(document).encode(), version)


if __name__ == "__main__":
    raise SystemExit(main())
