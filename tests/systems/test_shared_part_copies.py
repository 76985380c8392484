"""Tests of the bound on copies of shared prompt parts."""

from __future__ import annotations

import unittest

import attrs

from boragetiller.systems.overload.shared_part_copies import find_held_part, record_use
from boragetiller.systems.prefix_cache import record_prefill
from boragetiller.tables.part_uses import PartUseTable
from tests.systems.test_server_placement import (
    CACHE_TOKENS,
    COSTS,
    choose,
    make_prompt,
    make_request,
    make_server,
)

LONG = make_prompt("part", 13_300, "own", 3_700)
BUSY_TOKENS = 0.4 * 2_000 * COSTS.prefill_tokens_per_ms  # a prefill share of 0.4


class SharedPartCopiesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = [make_server("holder"), make_server("other")]
        self.holder, self.other = self.servers
        self.uses = PartUseTable()
        record_prefill(self.holder, LONG, COSTS, CACHE_TOKENS, 0)

    def choose(self, **fields: object) -> str | None:
        held_part = find_held_part(self.servers, LONG, self.uses, 0)
        request = attrs.evolve(make_request(LONG, target_ms=4_000.0), held_part=held_part)
        placement = choose(self.servers, attrs.evolve(request, **fields))
        return placement.server.name if placement else None

    def test_part_is_not_prefilled_again_by_an_engine_without_time_to_spare(self) -> None:
        # Guards against bursts in which a third of the prefill is of parts that others hold.
        self.holder.full_until_ms = 50
        self.assertEqual(self.choose(), "other")
        self.other.recent_prefill_tokens = BUSY_TOKENS
        self.assertIsNone(self.choose())
        self.assertEqual(self.choose(held_part=None), "other")

    def test_begun_stream_goes_to_any_engine(self) -> None:
        # Guards against streams that are cut because the engine with the part has failed them.
        self.holder.full_until_ms = 50
        self.other.recent_prefill_tokens = BUSY_TOKENS
        self.assertEqual(self.choose(response_started=True), "other")

    def test_part_at_an_ejected_engine_is_prefilled_elsewhere(self) -> None:
        # Guards against refusals until an engine that has crashed leaves the list.
        self.holder.health.ejected_until_ms = 50
        self.other.recent_prefill_tokens = BUSY_TOKENS
        self.assertEqual(self.choose(), "other")

    def test_part_of_many_requests_gets_another_copy(self) -> None:
        # Guards against one engine that has to serve a quarter of all requests for its cached part.
        self.other.recent_prefill_tokens = BUSY_TOKENS
        for _ in range(5):
            record_use(self.uses, LONG, 0)
        self.assertIsNone(find_held_part(self.servers, LONG, self.uses, 0))
        record_prefill(self.other, LONG, COSTS, CACHE_TOKENS, 0)
        self.assertEqual(find_held_part(self.servers, LONG, self.uses, 0), "part")
        self.servers.pop()
        self.assertEqual(find_held_part(self.servers, LONG, self.uses, 1_000), "part")

    def test_short_shared_part_binds_no_request(self) -> None:
        # Guards against urgent short requests that are refused to save a few hundred tokens.
        for tokens, held_part in ((2_047, None), (2_048, "short")):
            prompt = make_prompt("short", tokens, "own", 700)
            record_prefill(self.holder, prompt, COSTS, CACHE_TOKENS, 0)
            self.assertEqual(find_held_part(self.servers, prompt, self.uses, 0), held_part)

    def test_prompt_without_shared_part_goes_to_any_engine(self) -> None:
        # Guards against sessions that are bound to one engine by a part that nobody else has.
        unshared = attrs.evolve(LONG, parts=LONG.parts[1:])
        self.assertIsNone(find_held_part(self.servers, unshared, self.uses, 0))


if __name__ == "__main__":
    unittest.main()
