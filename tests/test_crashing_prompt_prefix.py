"""Different requests with one message that crashes each engine, on the product's own interface."""

from __future__ import annotations

import unittest
from typing import Any

from boragetiller.standin.engine import EngineServer, EngineSettings
from tests.fleet import MODEL, Fleet, build_sample_records

ENGINES = 3
REQUESTS = 12
MAX_CRASHES = 8  # the users' rule: five crashes and three requests more


def build_chat(number: int) -> dict[str, Any]:
    return {
        "model": MODEL,
        "max_tokens": 5,
        "messages": [
            {"role": "system", "content": "POISON in the shared instructions"},
            {"role": "user", "content": f"question {number}"},
        ],
    }


class CrashingPromptPrefixTest(unittest.IsolatedAsyncioTestCase):
    """One router and three engines that are back soon after a crash."""

    async def asyncSetUp(self) -> None:
        """Start the engines, their agents and a router."""
        self.fleet = Fleet()
        self.engines = [EngineServer(EngineSettings(restart_ms=20)) for _ in range(ENGINES)]
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.close)
        names = tuple(f"engine-{number}" for number in range(ENGINES))
        for name, engine in zip(names, self.engines, strict=True):
            await engine.start()
            self.addAsyncCleanup(engine.close)
            await self.fleet.add_agent(name, "pool", engine.url)
        await self.fleet.apply(build_sample_records(names, ()))
        self.router = await self.fleet.add_router("router-0")

    async def test_different_requests_with_one_message_crash_engine_after_engine(self) -> None:
        for number in range(REQUESTS):
            path = "/v1/chat/completions"
            async with self.fleet.post(self.router, path, build_chat(number)) as response:
                await response.read()
        self.assertLessEqual(sum(engine.ledger.crashes for engine in self.engines), MAX_CRASHES)


if __name__ == "__main__":
    unittest.main()
