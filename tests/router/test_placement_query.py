"""Placement queries at the operator port of a router with agents."""

from __future__ import annotations

import json
import unittest

from boragetiller.standin.engine import EngineServer, EngineSettings
from tests.fleet import MODEL, Fleet, build_sample_records

CHAT = "/v1/chat/completions"
NAMES = tuple(f"engine-{number}" for number in range(4))


class PlacementQueryTest(unittest.IsolatedAsyncioTestCase):
    """One router and four engines."""

    async def asyncSetUp(self) -> None:
        self.engines = [EngineServer(EngineSettings()) for _ in NAMES]
        self.fleet = Fleet()
        await self.fleet.start()
        for name, engine in zip(NAMES, self.engines, strict=True):
            await engine.start()
            await self.fleet.add_agent(name, "pool", engine.url)
        await self.fleet.apply(build_sample_records(NAMES, ()))
        self.router = await self.fleet.add_router("router-0")

    async def asyncTearDown(self) -> None:
        await self.fleet.close()
        for engine in self.engines:
            await engine.close()

    async def test_answer_is_what_the_next_request_gets_and_nothing_changes(self) -> None:
        # Guards against an explanation of another decision, and against queries that use up a
        # customer's limit or move the random generator.
        router, key = self.router, self.router.settings.operator.key
        for number in range(4):
            body = {"model": MODEL, "messages": [{"role": "user", "content": str(number)}]}
            query = {
                "path": CHAT,
                "headers": {"Authorization": "Bearer test-key"},
                "body": json.dumps(body),
            }
            state, usage = router.rng.getstate(), repr(router.limits.table)
            async with self.fleet.session.post(
                router.operator.base_url + "/where",
                json=query,
                headers={"Authorization": f"Bearer {key}"},
            ) as response:
                answer = await response.json()
            self.assertEqual((router.rng.getstate(), repr(router.limits.table)), (state, usage))
            async with self.fleet.post(router, CHAT, body) as response:
                await response.read()
            trace = router.traces.get(response.headers["x-request-id"])
            assert trace is not None
            placed = next(step.detail for step in trace.steps if step.step == "placed")
            self.assertEqual(answer["outcome"], "placed", answer)
            self.assertIn(f"agent={answer['server']}", placed)
            self.assertEqual(len(answer["candidates"]) + len(answer["excluded"]), len(NAMES))

    async def test_unknown_key_of_a_customer_is_refused_in_the_answer(self) -> None:
        # Guards against an answer that places what the router would refuse.
        async with self.fleet.session.post(
            self.router.operator.base_url + "/where",
            json={"path": CHAT, "headers": {"Authorization": "Bearer other"}},
            headers={"Authorization": f"Bearer {self.router.settings.operator.key}"},
        ) as response:
            answer = await response.json()
        self.assertEqual((answer["outcome"], answer["status"]), ("refused", 401))


if __name__ == "__main__":
    unittest.main()
