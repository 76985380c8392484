"""End-to-end tests: caller, router, agents and backend servers in one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from typing import TYPE_CHECKING

import aiohttp

from boragetiller.settings import BackendKind
from boragetiller.standin.engine import EngineServer, EngineSettings
from boragetiller.standin.engine_text import build_expected_text
from boragetiller.standin.service import ServiceServer, ServiceSettings
from tests.fleet import MODEL, Fleet, build_sample_records
from tests.streams import extract_streamed_text

if TYPE_CHECKING:
    from collections.abc import Callable

CHAT = "/v1/chat/completions"


class EndToEndTest(unittest.IsolatedAsyncioTestCase):
    """One router, two engines and one plain service."""

    async def asyncSetUp(self) -> None:
        self.engines = [EngineServer(EngineSettings(restart_ms=200)) for _ in range(2)]
        self.service = ServiceServer(ServiceSettings())
        self.fleet = Fleet()
        await self.fleet.start()
        for index, engine in enumerate(self.engines):
            await engine.start()
            await self.fleet.add_agent(f"engine-{index}", "pool", engine.url)
        await self.service.start()
        await self.fleet.add_agent("app-0", "app", self.service.url, BackendKind.SERVICE)
        records = build_sample_records(("engine-0", "engine-1"), ("app-0",))
        await self.fleet.apply(records)
        self.router = await self.fleet.add_router("router-0")

    async def asyncTearDown(self) -> None:
        await self.fleet.close()
        for engine in self.engines:
            await engine.close()
        await self.service.close()

    async def test_buffered_chat_response_has_expected_text_and_usage(self) -> None:
        body = _build_chat("gauge of a 2 m sheet?", max_tokens=20)
        async with self.fleet.post(self.router, CHAT, body) as response:
            completion = await response.json()
        self.assertEqual(response.status, 200, completion)
        self.assertEqual(completion["choices"][0]["message"]["content"], build_expected_text(body))
        self.assertEqual(completion["usage"]["completion_tokens"], 20)

    async def test_streamed_chat_response_is_complete(self) -> None:
        body = _build_chat("price of an offcut?", max_tokens=20, stream=True)
        async with self.fleet.post(self.router, CHAT, body) as response:
            content = await response.read()
        self.assertTrue(content.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(extract_streamed_text(content), build_expected_text(body))

    async def test_stream_resumes_after_engine_crash(self) -> None:
        body = _build_chat("a long quote", max_tokens=60, stream=True)
        async with self.fleet.post(self.router, CHAT, body) as response:
            first = await response.content.readuntil(b"\n\n")
            busy = next(engine for engine in self.engines if engine.ledger.by_request_id)
            await self._crash(busy)
            rest = await response.read()
        self.assertEqual(extract_streamed_text(first + rest), build_expected_text(body))

    async def test_service_headers_are_forwarded_in_both_directions(self) -> None:
        headers = {"Authorization": "Bearer test-key", "If-Match": '"v1"'}
        url = self.router.caller_listener.base_url + "/services/app/sheets?gauge=2"
        async with self.fleet.session.get(url, headers=headers) as response:
            await response.read()
        seen = self.service.last_headers
        self.assertEqual(seen["If-Match"], '"v1"')
        self.assertNotIn("Authorization", seen)
        self.assertEqual(response.headers["ETag"], '"stand-in"')
        async with self.fleet.session.head(url, headers=headers) as response:
            self.assertEqual((response.status, await response.read()), (200, b""))

    async def test_disconnect_of_the_caller_cancels_at_the_engine(self) -> None:
        body = _build_chat("a very long ledger", max_tokens=2_000, stream=True)
        async with self.fleet.post(self.router, CHAT, body) as response:
            await response.content.readuntil(b"\n\n")
            response.close()
        await self._wait_until(lambda: sum(engine.ledger.cancelled for engine in self.engines) == 1)
        agents = [self.fleet.agents[f"engine-{n}"] for n in range(2)]
        await self._wait_until(lambda: not any(agent.admission.table.running for agent in agents))

    async def test_disconnect_of_the_caller_does_not_cancel_a_keyed_call(self) -> None:
        self.service.faults.delay_ms = 200
        call = asyncio.create_task(self._reserve("k-3"))
        await self._wait_until(lambda: self.service.ledger.by_key["k-3"] == 1)
        call.cancel()
        status, _ = await self._reserve("k-3")
        self.assertEqual((status, self.service.ledger.by_key["k-3"]), (200, 1))

    async def _reserve(self, key: str) -> tuple[int, bytes]:
        async with self.fleet.post(
            self.router, "/services/app/reserve", b"{}", Idempotency_Key=key
        ) as response:
            return response.status, await response.read()

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.01)
        self.fail("the condition was not met within 5 s")

    async def test_refused_repeat_of_a_keyed_call_may_have_run(self) -> None:
        async with self.fleet.post(
            self.router, "/services/app/reserve", b"x", Idempotency_Key="k-2"
        ) as response:
            await response.read()
        self.router.server.refusing = True
        async with self.fleet.post(
            self.router, "/services/app/reserve", b"x", Idempotency_Key="k-2"
        ) as response:
            refusal = await response.json()
        self.assertEqual(refusal["error"]["code"], "draining")
        self.assertEqual(refusal["error"]["verdict"], "may_have_run")

    async def test_request_that_crashes_engines_crashes_at_most_two(self) -> None:
        body = _build_chat("POISON in the ledger", max_tokens=5)
        codes = []
        for _ in range(3):
            async with self.fleet.post(self.router, CHAT, body) as response:
                codes.append((await response.json())["error"]["code"])
        self.assertEqual(codes[-1], "quarantined")
        self.assertLessEqual(sum(engine.ledger.crashes for engine in self.engines), 2)

    async def _crash(self, engine: EngineServer) -> None:
        with contextlib.suppress(aiohttp.ClientError):
            await self.fleet.session.post(engine.url + CHAT, json=_build_chat("POISON"))

    async def test_stream_that_cannot_be_resumed_is_not_ended_as_complete(self) -> None:
        body = _build_chat("a long quote", max_tokens=60, stream=True)
        async with self.fleet.post(self.router, CHAT, body) as response:
            content = await response.content.readuntil(b"\n\n")
            busy, idle = sorted(self.engines, key=lambda engine: -len(engine.ledger.by_request_id))
            idle.state.models[:] = ["another"]  # it responds with 404 to the resumed attempt
            await self._crash(busy)
            try:
                content += await response.read()
            except aiohttp.ClientError:
                return
        self.assertEqual(extract_streamed_text(content), build_expected_text(body))

    async def test_keyed_call_sent_twice_runs_once(self) -> None:
        bodies = []
        for _ in range(2):
            async with self.fleet.post(
                self.router, "/services/app/reserve", b'{"sheet":1}', Idempotency_Key="k-1"
            ) as response:
                bodies.append(await response.read())
                self.assertEqual(response.status, 200)
        self.assertEqual(bodies[0], bodies[1])
        self.assertEqual(self.service.ledger.by_key["k-1"], 1)


def _build_chat(prompt: str, **more: object) -> dict[str, object]:
    return {"model": MODEL, "messages": [{"role": "user", "content": prompt}], **more}


if __name__ == "__main__":
    unittest.main()
