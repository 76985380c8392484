"""Tests of the capacity check for streams, alone and under bursts."""

from __future__ import annotations

import unittest
from random import Random

import attrs

from boragetiller.systems.prefix_cache import record_prefill
from boragetiller.systems.server_capacity import estimate_step_ms
from boragetiller.systems.server_placement import choose_server
from boragetiller.tables.server_groups import GroupServers
from boragetiller.tables.server_placement import PlacementCostModel
from boragetiller.tables.servers import PendingPrompt
from tests.systems.engine_model import ModelEngine, ModelStream
from tests.systems.test_server_placement import COSTS, make_prompt, make_request, make_server

CACHE_TOKENS = 400_000


class ExpectedStepTest(unittest.TestCase):
    def test_step_grows_with_streams_and_prefill(self) -> None:
        alone = estimate_step_ms(1, 0.0, COSTS)
        self.assertGreater(estimate_step_ms(30, 0.0, COSTS), alone)
        self.assertGreater(estimate_step_ms(1, 0.5, COSTS), 1.5 * alone)

    def test_step_is_bounded_by_one_chunk(self) -> None:
        longest = estimate_step_ms(0, 0.0, COSTS) + COSTS.chunk_ms
        self.assertAlmostEqual(estimate_step_ms(0, 1.0, COSTS), longest)
        self.assertAlmostEqual(estimate_step_ms(0, 0.999, COSTS), longest)


class BurstOfLongResponsesTest(unittest.TestCase):
    """
    Admission must keep streams from missing their deadlines under overload.

    For 25 s more prompts arrive than the engines can prefill, each with 400 output tokens and
    without a shared prefix. Callers close streams that have not ended after 15 s and do not retry
    refused requests. Without admission the streams slow each other down until few end in time.
    """

    ENGINE_COUNT = 4
    REQUESTS_PER_S = 18
    DURATION_S = 25
    PROMPT_TOKENS = 12_000
    DEADLINE_MS = 15_000.0

    def replay(self, *, admission: bool) -> tuple[int, int]:
        """:return: number of admitted requests and of streams completed before their deadline"""
        rng = Random(3)
        costs = attrs.evolve(PlacementCostModel(), prefill_tokens_per_ms=48.0, reserved_share=0.0)
        servers = [make_server(f"e{number}") for number in range(self.ENGINE_COUNT)]
        engines = {server.name: ModelEngine() for server in servers}
        admitted = 0
        for number in range(self.REQUESTS_PER_S * self.DURATION_S):
            now_ms = int(1_000 * (number + rng.random()) / self.REQUESTS_PER_S)
            for server in servers:
                engines[server.name].run_until(now_ms)
                self._update_view(server, engines[server.name])
            prompt = make_prompt(f"part{number}", 5_000, f"own{number}", self.PROMPT_TOKENS - 5_000)
            request = make_request(
                prompt,
                urgency=2,
                target_ms=3_000.0,
                time_left_ms=self.DEADLINE_MS,
                caller_event_timeout_ms=12_000.0,
                typical_output_tokens=400.0,
                response_started=not admission,
            )
            group = GroupServers.build(servers)
            placement = choose_server(group, servers, request, costs, now_ms)
            if placement is None:
                continue
            admitted += 1
            chosen = placement.server
            record_prefill(chosen, prompt, costs, CACHE_TOKENS, now_ms)
            deadline_ms = now_ms + self.DEADLINE_MS
            stream = ModelStream(str(number), self.PROMPT_TOKENS, 400, deadline_ms)
            engines[chosen.name].streams.append(stream)
        for engine in engines.values():
            engine.run_until(1e6)
        return admitted, sum(len(engine.completed) for engine in engines.values())

    def _update_view(self, server: object, engine: ModelEngine) -> None:
        """Update the router's view of an engine: first events show which prompts are prefilled."""
        server.in_flight = len(engine.streams)
        for request_id in server.pending_requests():
            server.remove_pending_prompt(request_id)
        for stream in engine.streams:
            if stream.first_token_ms is None:
                pending = PendingPrompt(int(stream.unread_tokens), 2)
                server.add_pending_prompt(stream.request_id, pending)

    def test_admitted_streams_complete_and_more_complete_than_without_admission(self) -> None:
        _, completed_without = self.replay(admission=False)
        admitted, completed = self.replay(admission=True)
        self.assertGreater(completed, 1.2 * completed_without)
        self.assertGreaterEqual(completed, 0.95 * admitted)


if __name__ == "__main__":
    unittest.main()
