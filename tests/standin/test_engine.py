"""Tests of the stand-in engine."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import TYPE_CHECKING, Any

import aiohttp

from boragetiller.clock import ManualClock
from boragetiller.standin.engine import EngineServer, EngineSettings
from boragetiller.standin.engine_simulation import EngineSimulationSettings, PrefixCache
from boragetiller.standin.engine_text import (
    MAX_RANDOM_OUTPUT_TOKENS,
    build_expected_text,
    choose_output_tokens,
    generate_token,
)

if TYPE_CHECKING:
    from collections.abc import Callable

FAST = EngineSimulationSettings(step_ms=0.2, step_ms_per_request=0.0, max_batch=2)
SLOW = EngineSimulationSettings(step_ms=20.0, max_batch=1)


def _build_chat(prompt: str, **extra_fields: Any) -> dict[str, Any]:
    return {"model": "kopar-1", "messages": [{"role": "user", "content": prompt}], **extra_fields}


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0)


class EngineTextTest(unittest.TestCase):
    """Output lengths and the prefix cache."""

    def test_output_lengths_are_heavy_tailed(self) -> None:
        lengths = sorted(
            choose_output_tokens(_build_chat(f"prompt {number}")) for number in range(2_000)
        )
        self.assertLess(lengths[1_000], 12)
        self.assertGreater(lengths[-1], 200)
        self.assertLessEqual(lengths[-1], MAX_RANDOM_OUTPUT_TOKENS)
        self.assertEqual(choose_output_tokens(_build_chat("x", max_tokens=5)), 5)

    def test_prefix_cache_is_bounded_and_events_have_delay_and_gaps(self) -> None:
        clock = ManualClock()
        settings = EngineSimulationSettings(cache_blocks=4, event_lag_ms=100, event_gap=3)
        cache = PrefixCache(settings, clock)
        prompt = "a" * 1_024
        self.assertEqual(cache.look_up_and_store(prompt), 0)
        self.assertEqual(cache.look_up_and_store(prompt + "tail"), 256)
        self.assertEqual(cache.list_events(0), [])
        clock.advance(100)
        self.assertEqual([event.number for event in cache.list_events(0)], [1, 2, 4])
        cache.look_up_and_store("b" * 1_024)
        self.assertEqual(cache.look_up_and_store(prompt), 0)


class EngineServerTest(unittest.IsolatedAsyncioTestCase):
    """The engine over HTTP."""

    async def asyncSetUp(self) -> None:
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def _start(self, settings: EngineSettings) -> EngineServer:
        engine = EngineServer(settings)
        await engine.start()
        self.addAsyncCleanup(engine.close)
        return engine

    async def _post(self, engine: EngineServer, path: str, body: Any, **options: Any) -> Any:
        async with self.session.post(engine.url + path, json=body, **options) as response:
            return response.status, await response.json()

    async def _wait_for_first_response(self, engine: EngineServer) -> int:
        while True:
            try:
                status, _ = await self._post(engine, "/v1/chat/completions", _build_chat("up"))
            except aiohttp.ClientConnectorError:
                await asyncio.sleep(0.01)
            else:
                return int(status)

    async def _stream(self, engine: EngineServer, body: dict[str, Any]) -> tuple[str, bool]:
        text, done = "", False
        body = {**body, "stream": True}
        async with self.session.post(engine.url + "/v1/chat/completions", json=body) as response:
            async for line in response.content:
                data = line.decode().removeprefix("data: ").strip()
                done = done or data == "[DONE]"
                if data and not done:
                    text += json.loads(data)["choices"][0]["delta"].get("content", "")
        return text, done

    async def test_buffered_and_streamed_responses_are_equal(self) -> None:
        engine = await self._start(EngineSettings(simulation=FAST))
        body = _build_chat("sheet 0.7 mm?")
        headers = {"X-Request-Id": "r-1"}
        status, response_body = await self._post(
            engine, "/v1/chat/completions", body, headers=headers
        )
        self.assertEqual((status, response_body["id"]), (200, "r-1"))
        self.assertEqual(
            response_body["choices"][0]["message"]["content"], build_expected_text(body)
        )
        self.assertEqual(await self._stream(engine, body), (build_expected_text(body), True))
        text_body = {"model": "kopar-1", "prompt": "x", "max_tokens": 3}
        _, response_body = await self._post(engine, "/v1/completions", text_body)
        self.assertEqual(response_body["choices"][0]["text"], build_expected_text(text_body))

    async def test_resumed_request_gets_the_remaining_tokens(self) -> None:
        engine = await self._start(EngineSettings(simulation=FAST))
        body = _build_chat("remnant", max_tokens=6)
        prompt = "user: remnant"
        partial_text = "".join(generate_token(prompt, index) for index in range(4))
        resumed = {**body, "resume_from": {"tokens": 4, "text": partial_text}}
        text, done = await self._stream(engine, resumed)
        self.assertEqual((partial_text + text, done), (build_expected_text(body), True))
        resumed["resume_from"] = {"tokens": 4, "text": partial_text[:-1]}
        status, _ = await self._post(engine, "/v1/chat/completions", resumed)
        self.assertEqual((status, engine.ledger.bad_resumes), (400, 1))

    async def test_invalid_bodies_are_refused(self) -> None:
        engine = await self._start(EngineSettings(simulation=FAST))
        for body in ([], {"messages": 1}, {"prompt": 2}, {"prompt": "x", "max_tokens": "y"}):
            status, _ = await self._post(engine, "/v1/completions", body)
            self.assertEqual(status, 400, body)
        status, _ = await self._post(engine, "/v1/completions", {"model": "no", "prompt": "x"})
        self.assertEqual(status, 404)

    async def test_priority_orders_the_queue(self) -> None:
        engine = await self._start(EngineSettings(simulation=SLOW))
        finished: list[int] = []

        async def post_completion(priority: int) -> None:
            body = _build_chat(f"p{priority}", max_tokens=1, priority=priority)
            await self._post(engine, "/v1/chat/completions", body)
            finished.append(priority)

        headers = {"X-Request-Id": "first"}
        body = _build_chat("first", max_tokens=10_000)
        path = "/v1/chat/completions"
        first = asyncio.create_task(self._post(engine, path, body, headers=headers))
        await _wait_until(lambda: bool(engine.ledger.by_body))
        tasks = [asyncio.create_task(post_completion(priority)) for priority in (3, 1, 2)]
        await _wait_until(lambda: engine.simulation.waiting == 3)
        await self._post(engine, "/cancel", {"request_id": "first"})
        await asyncio.gather(first, *tasks)
        self.assertEqual(finished, [1, 2, 3])

    async def test_disconnect_and_cancel_stop_generation(self) -> None:
        engine = await self._start(EngineSettings(simulation=SLOW))
        url = engine.url + "/v1/chat/completions"
        body = _build_chat("long", max_tokens=10_000, stream=True)
        response = await self.session.post(url, json=body)
        await response.content.readline()
        response.close()
        headers = {"X-Request-Id": "r-2"}
        async with self.session.post(url, json=body, headers=headers) as response:
            await response.content.readline()  # gets the only slot after the first was cancelled
            await self._post(engine, "/cancel", {"request_id": "r-2"})
            with self.assertRaises(aiohttp.ClientError):
                await response.content.read()
        self.assertEqual(engine.ledger.cancelled, 2)

    async def test_poisoned_prompt_crashes_the_engine_until_its_restart(self) -> None:
        engine = await self._start(EngineSettings(simulation=FAST, restart_ms=60_000))
        bystander = asyncio.create_task(self._stream(engine, _build_chat("x", max_tokens=5_000)))
        await _wait_until(lambda: bool(engine.ledger.by_body))
        with self.assertRaises(aiohttp.ClientError):
            await self._post(engine, "/v1/chat/completions", _build_chat("POISON"))
        with self.assertRaises(aiohttp.ClientError):
            await bystander
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self._post(engine, "/v1/chat/completions", _build_chat("down"))
        engine.finish_restart()
        status = await self._wait_for_first_response(engine)
        self.assertEqual((status, engine.ledger.crashes), (200, 1))

    async def test_engine_refuses_what_it_ran_but_not_what_crashed_it(self) -> None:
        # Guards against a crash that fault runs see as a refusal, so that no agent counts it.
        engine = await self._start(EngineSettings(simulation=FAST, restart_ms=60_000))
        engine.refusals_after_run += [429, 503]
        status, _ = await self._post(engine, "/v1/chat/completions", _build_chat("x"))
        self.assertEqual((status, engine.ledger.by_request_id.total()), (429, 1))
        with self.assertRaises(aiohttp.ClientError):
            await self._post(engine, "/v1/chat/completions", _build_chat("POISON"))

    async def test_order_with_old_fencing_token_is_refused_if_fencing_is_honoured(self) -> None:
        honouring_engine = await self._start(EngineSettings(load_ms=0, order_key="k"))
        ignoring_engine = await self._start(EngineSettings(load_ms=0, honours_fencing=False))
        order = {"kind": "load_model", "model": "kopar-2", "fencing": 5}
        self.assertEqual((await self._post(honouring_engine, "/orders", order))[0], 401)
        headers = {"Authorization": "Bearer k"}
        self.assertEqual(
            (await self._post(honouring_engine, "/orders", order, headers=headers))[0], 200
        )
        self.assertIn("kopar-2", honouring_engine.state.models)
        await self._post(ignoring_engine, "/orders", order)
        old = {"kind": "set_role", "role": "prefill", "fencing": 4}
        self.assertEqual(
            (await self._post(honouring_engine, "/orders", old, headers=headers))[0], 409
        )
        self.assertEqual((await self._post(ignoring_engine, "/orders", old))[0], 200)
        self.assertEqual(
            (honouring_engine.state.role, ignoring_engine.state.role), ("any", "prefill")
        )

    async def test_load_is_reported_with_delay(self) -> None:
        clock = ManualClock()
        engine = EngineServer(EngineSettings(simulation=SLOW), clock)
        await engine.start()
        self.addAsyncCleanup(engine.close)
        task = asyncio.create_task(self._stream(engine, _build_chat("x", max_tokens=10_000)))
        await _wait_until(lambda: bool(engine.ledger.by_body))
        self.assertEqual(engine.simulation.get_reported_load().running, 0)
        clock.advance(SLOW.load_lag_ms)
        self.assertEqual(engine.simulation.get_reported_load().running, 1)
        task.cancel()


if __name__ == "__main__":
    unittest.main()
