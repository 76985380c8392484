"""Tests of the selection of candidates in small and large groups."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from boragetiller.systems.candidates import (
    MAX_CACHED_CANDIDATES,
    MAX_CANDIDATES,
    RETRY_CANDIDATES,
    find_prefix_owner,
    select_candidates,
)
from boragetiller.systems.direct_retry_policy import record_attempt
from boragetiller.systems.server_placement import choose_server
from boragetiller.tables.direct_attempts import (
    CallProgress,
    DirectAttemptOutcome,
    DirectAttemptResult,
)
from boragetiller.tables.server_groups import GroupServers
from tests.systems.test_server_placement import COSTS, make_prompt, make_request, make_server

PROMPT = make_prompt("part", 13_000, "own", 3_000)


def make_group(count: int, domains: str = "abc") -> GroupServers:
    return GroupServers.build(
        make_server(f"e{number}", failure_domain=domains[number % len(domains)])
        for number in range(count)
    )


class CandidatesTest(unittest.TestCase):
    def test_all_servers_of_a_small_group_are_candidates(self) -> None:
        group = make_group(MAX_CANDIDATES)
        found = select_candidates(group, make_request(PROMPT), {"e3"}, Random(1), 0)
        self.assertEqual({s.name for s in group.servers} - {"e3"}, {s.name for s in found})

    def test_candidates_of_a_large_group_include_cached_owner_and_own_domain(self) -> None:
        group = make_group(1_300)
        for server in group.servers[40:50]:
            server.cached_parts["part"] = 13_000
        found = select_candidates(group, make_request(PROMPT), set(), Random(1), 0)
        self.assertLessEqual(len(found), MAX_CANDIDATES)
        cached = [server for server in found if "part" in server.cached_parts]
        self.assertGreaterEqual(len(cached), MAX_CACHED_CANDIDATES)
        self.assertIn(find_prefix_owner(group, PROMPT, lambda _: True), found)
        own_domain = [server for server in found if server.record.failure_domain == "a"]
        self.assertGreaterEqual(len(own_domain), MAX_CANDIDATES // 4)

    def test_excluded_servers_are_not_candidates(self) -> None:
        group = make_group(200)
        names = {server.name for server in group.servers[1:]}
        found = select_candidates(group, make_request(None), names, Random(1), 0)
        self.assertLessEqual({server.name for server in found}, {group.servers[0].name})

    def test_simultaneous_retries_of_all_routers_are_spread(self) -> None:
        """
        Retries after a crash must not all go to one engine.

        Twelve routers retry ten streams each at the same time, before their load reports can show
        each other's choices.
        """
        group = make_group(20)
        group.servers[4].cached_parts["part"] = 13_000  # lowest cost for each retry
        for is_retry in (False, True):
            chosen: Counter[str] = Counter()
            for number in range(120):
                request = make_request(PROMPT, is_retry=is_retry, response_started=True)
                candidates = select_candidates(group, request, {"e0"}, Random(number), 0)
                placement = choose_server(group, candidates, request, COSTS, 0)
                assert placement is not None
                chosen[placement.server.name] += 1
            if is_retry:
                expected = 120 * RETRY_CANDIDATES / 19  # draws that include the cheapest server
                self.assertLess(max(chosen.values()), 2 * expected)
            else:
                self.assertEqual(max(chosen.values()), 120)

    def test_refused_prompt_goes_back_to_engines_that_have_its_shared_parts(self) -> None:
        # Guards against retries that make engines prefill what another engine has cached.
        group = make_group(28)
        for server in group.servers[3:7]:
            server.cached_parts["part"] = 13_000
        tokens: Counter[bool] = Counter()
        for was_refused in (False, True):
            request = make_request(PROMPT, is_retry=True, was_refused=was_refused)
            for number in range(100):
                found = select_candidates(group, request, {"e3"}, Random(number), 0)
                self.assertNotIn(group.servers[3], found)
                self.assertLessEqual(len(found), RETRY_CANDIDATES + 2 * was_refused)
                placement = choose_server(group, found, request, COSTS, 0)
                assert placement is not None
                tokens[was_refused] += placement.new_tokens
        self.assertLess(tokens[True], tokens[False] / 3)

    def test_only_a_refusal_as_full_counts_as_refused(self) -> None:
        # Guards against retries after a crash that all go to the engine with the cached parts.
        for outcome in DirectAttemptOutcome:
            progress = CallProgress(repeatable=True, max_servers=2)
            record_attempt(progress, "e0", DirectAttemptResult(outcome))
            self.assertEqual(progress.was_refused, outcome is DirectAttemptOutcome.FULL)

    def test_owner_changes_only_when_it_is_removed(self) -> None:
        group = make_group(300)
        prompts = [make_prompt(f"p{number}", 9, "own", 1) for number in range(400)]
        owners = [find_prefix_owner(group, prompt, lambda _: True) for prompt in prompts]
        remaining = GroupServers.build(server for server in group.servers if server.name != "e7")
        moved = 0
        for prompt, owner in zip(prompts, owners, strict=True):
            moved += find_prefix_owner(remaining, prompt, lambda _: True) is not owner
        self.assertEqual(moved, sum(1 for owner in owners if owner and owner.name == "e7"))
        self.assertGreater(len({owner.name for owner in owners if owner}), 150)

    def test_no_owner_without_a_prompt_or_an_eligible_server(self) -> None:
        prompt = make_prompt("own", 10, "rest", 5)
        self.assertIsNone(find_prefix_owner(make_group(5), None, lambda _: True))
        self.assertIsNone(find_prefix_owner(make_group(5), prompt, lambda _: False))


if __name__ == "__main__":
    unittest.main()
