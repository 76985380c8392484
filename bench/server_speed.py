"""
Replays, in virtual time, a group of engines whose speed differs and changes.

    python -m bench.server_speed [SEED ...]

Two thirds of 28 engines take 0.7 of the usual time, one third 1.7. At each engine, 15% of
the intervals of 600 ms are 2.5 times slower. Short streams with a pause target of 250 ms run
beside long prompts, which come in bursts. The routers' tables are modeled as one table with exact
loads, which gets the work time of each engine about five times a second. The replay compares
placement without these observations, as it was before routers read them, with placement that uses
them.
"""

from __future__ import annotations

import sys
from random import Random

import attrs

from boragetiller.systems.engine_throughput import EngineThroughput
from boragetiller.systems.overload.server_speed import compute_rank_step, record_work_time
from boragetiller.systems.prefix_cache import record_prefill
from boragetiller.systems.server_placement import choose_server, compute_stream_sensitivity
from boragetiller.tables.call_metadata import Prompt, PromptPart
from boragetiller.tables.server_groups import GroupServers
from boragetiller.tables.server_placement import PlacementCostModel, ServerPlacementRequest
from boragetiller.tables.servers import BackendServer, PendingPrompt, ServerRecord
from tests.systems.engine_model import ModelEngine, ModelStream

ENGINES = 28
FAST, SLOW = 0.7, 1.7  # work times
SLOWER, SLOWER_SHARE, INTERVAL_MS = 2.5, 0.15, 600
OBSERVATION_MS = 200  # between two observations of an engine by any router
RANK_MS = 1_000
PAUSE_TARGET_MS = 250.0
SHORT_PER_S = 90
LONG_PER_S, BURST_LONG_PER_S = 40, 90
BURST_START_S, BURST_END_S, DURATION_S = 5, 14, 20
CACHE_TOKENS = 400_000
STEP_MS = 10  # virtual time between two looks at the arrivals


@attrs.frozen(kw_only=True)
class ReplayResult:
    """Outcome of the short streams and of the long prompts."""

    short_in_target: float  # share of all short streams, refused and unfinished ones count as late
    short_refused: float
    long_completed: float  # share of all long prompts


@attrs.define
class SpeedReplay:
    """One replay."""

    rng: Random
    is_observed: bool
    servers: list[BackendServer] = attrs.field(init=False)
    engines: dict[str, ModelEngine] = attrs.field(init=False)
    throughput: EngineThroughput = attrs.field(factory=EngineThroughput)
    streams: dict[str, list[ModelStream]] = attrs.field(factory=lambda: {"short": [], "long": []})
    arrivals: dict[str, int] = attrs.field(factory=lambda: {"short": 0, "long": 0})

    def __attrs_post_init__(self) -> None:
        """Build the engines; the hash that ranks them does not know their speed."""
        self.servers = [_build_server(number) for number in range(ENGINES)]
        self.engines = {server.name: ModelEngine() for server in self.servers}
        self._usual = {
            server.name: SLOW if number % 3 == 0 else FAST
            for number, server in enumerate(self.servers)
        }
        self._expected_ms: dict[str, tuple[int, float, float]] = {}

    _usual: dict[str, float] = attrs.field(init=False)
    _expected_ms: dict[str, tuple[int, float, float]] = attrs.field(init=False)
    _group: GroupServers = attrs.field(init=False)

    def run(self) -> ReplayResult:
        """:return: the outcome"""
        self._group = GroupServers.build(self.servers)
        for now_ms in range(0, DURATION_S * 1_000, STEP_MS):
            if now_ms % INTERVAL_MS == 0:
                self._change_speeds()
            for server in self.servers:
                self.engines[server.name].run_until(now_ms)
                self._update_view(server, now_ms)
            if self.is_observed:
                self._observe(now_ms)
            is_burst = BURST_START_S <= now_ms / 1_000 < BURST_END_S
            long_per_s = BURST_LONG_PER_S if is_burst else LONG_PER_S
            for kind, per_s in (("short", SHORT_PER_S), ("long", long_per_s)):
                if self.rng.random() < per_s * STEP_MS / 1_000:
                    self._place(kind, now_ms)
        for engine in self.engines.values():
            engine.run_until((DURATION_S + 20) * 1_000)
        return self._summarize()

    def _change_speeds(self) -> None:
        for name, engine in self.engines.items():
            slower = SLOWER if self.rng.random() < SLOWER_SHARE else 1.0
            engine.work_time = self._usual[name] * slower

    def _observe(self, now_ms: int) -> None:
        for server in self.servers:
            if self.rng.random() < STEP_MS / OBSERVATION_MS:
                work_time = self.engines[server.name].work_time
                record_work_time(server.speed, work_time, now_ms, now_ms)
        if now_ms % RANK_MS == 0:
            for server in self.servers:
                server.speed.rank_step = compute_rank_step(server.speed, now_ms)
            self._group = self._group.rank_again()

    def _update_view(self, server: BackendServer, now_ms: int) -> None:
        """Update the load of an engine; first events show which prompts are prefilled."""
        engine = self.engines[server.name]
        server.in_flight = len(engine.streams)
        server.sensitivity = sum(
            compute_stream_sensitivity(PAUSE_TARGET_MS, self._costs())
            for stream in engine.streams
            if stream.request_id.startswith("short")
        )
        for request_id in server.pending_requests():
            server.remove_pending_prompt(request_id)
        for stream in engine.streams:
            if stream.first_token_ms is None:
                pending = PendingPrompt(int(stream.unread_tokens), 1)
                server.add_pending_prompt(stream.request_id, pending)
            elif stream.request_id in self._expected_ms:
                tokens, sent_ms, expected_ms = self._expected_ms.pop(stream.request_id)
                took_ms = stream.first_token_ms - sent_ms
                self.throughput.record_first_event(tokens, expected_ms, took_ms)

    def _costs(self) -> PlacementCostModel:
        return PlacementCostModel(prefill_tokens_per_ms=self.throughput.prefill_tokens_per_ms)

    def _place(self, kind: str, now_ms: int) -> None:
        costs, is_short = self._costs(), kind == "short"
        self.arrivals[kind] += 1
        request_id = f"{kind}{self.arrivals[kind]}"
        tokens, output_tokens = (900, 80) if is_short else (9_000, 100)
        parts = (PromptPart(request_id, tokens),)
        prompt = Prompt(model="m", input_tokens=tokens, output_tokens=output_tokens, parts=parts)
        timeout_ms = 5_000.0 if is_short else 15_000.0
        request = ServerPlacementRequest(
            prompt=prompt,
            urgency=0 if is_short else 2,
            target_ms=600.0 if is_short else 3_000.0,
            sensitivity=compute_stream_sensitivity(PAUSE_TARGET_MS if is_short else 0.0, costs),
            failure_domain="a",
            time_left_ms=timeout_ms,
            caller_event_timeout_ms=timeout_ms,
            typical_output_tokens=float(output_tokens),
        )
        placement = choose_server(self._group, self.servers, request, costs, now_ms)
        if placement is None:
            return
        stream = ModelStream(request_id, tokens, output_tokens, now_ms + timeout_ms)
        self.streams[kind].append(stream)
        self.engines[placement.server.name].streams.append(stream)
        record_prefill(placement.server, prompt, costs, CACHE_TOKENS, now_ms)
        self._update_view(placement.server, now_ms)
        self._expected_ms[request_id] = (tokens, now_ms, placement.first_event_ms)

    def _summarize(self) -> ReplayResult:
        shorts = self.streams["short"]
        completed = {id(s) for engine in self.engines.values() for s in engine.completed}
        in_target = [
            s for s in shorts if id(s) in completed and s.longest_pause_ms <= PAUSE_TARGET_MS
        ]
        long_completed = [s for s in self.streams["long"] if id(s) in completed]
        return ReplayResult(
            short_in_target=len(in_target) / self.arrivals["short"],
            short_refused=1 - len(shorts) / self.arrivals["short"],
            long_completed=len(long_completed) / self.arrivals["long"],
        )


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
    return BackendServer(record, joined_ms=-100_000)


def main() -> int:
    """
    Replay and print.

    :return: process exit code
    """
    for seed in [int(text) for text in sys.argv[1:]] or [1, 2, 3]:
        for is_observed in (False, True):
            print(seed, "observed" if is_observed else "before  ", end=" ")
            print(SpeedReplay(Random(seed), is_observed).run())
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
