"""Tests of the openai client library against a router, an agent and an engine."""

from __future__ import annotations

import unittest

import openai

from boragetiller.standin.engine import EngineServer, EngineSettings
from boragetiller.standin.engine_text import build_expected_text
from tests.fleet import KEY, MODEL, Fleet, build_sample_records

MESSAGES = [{"role": "user", "content": "Is 0.7 mm in stock?"}]
BODY = {"model": MODEL, "messages": MESSAGES, "max_tokens": 12}


class OpenAiClientTest(unittest.IsolatedAsyncioTestCase):
    """Responses and errors as the client library reports them."""

    async def asyncSetUp(self) -> None:
        self.engine = EngineServer(EngineSettings())
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        await self.fleet.add_agent("engine-0", "pool", self.engine.url)
        await self.fleet.apply(build_sample_records(("engine-0",), ()))
        router = await self.fleet.add_router("router-0")
        self.base_url = router.caller_listener.base_url + "/v1"
        self.client = self._open_client(KEY)

    async def test_buffered_completion_has_expected_text_and_usage(self) -> None:
        completion = await self.client.chat.completions.create(**BODY)
        self.assertEqual(completion.choices[0].message.content, build_expected_text(BODY))
        self.assertEqual(completion.usage.completion_tokens, 12)

    async def test_streamed_completion_has_expected_text(self) -> None:
        texts = []
        async for event in await self.client.chat.completions.create(**BODY, stream=True):
            texts += [choice.delta.content or "" for choice in event.choices]
        self.assertEqual("".join(texts), build_expected_text(BODY))

    async def test_text_completion_has_expected_text(self) -> None:
        body = {"model": MODEL, "prompt": "gauge?", "max_tokens": 3}
        completion = await self.client.completions.create(**body)
        self.assertEqual(completion.choices[0].text, build_expected_text(body))

    async def test_models_lists_the_served_model(self) -> None:
        models = await self.client.models.list()
        self.assertEqual([model.id for model in models.data], [MODEL])

    async def test_unknown_key_is_an_authentication_error(self) -> None:
        with self.assertRaises(openai.AuthenticationError) as caught:
            await self._open_client("wrong").chat.completions.create(**BODY)
        self.assertEqual(caught.exception.code, "unauthorized")
        self.assertEqual(caught.exception.body["verdict"], "not_run")

    async def test_unknown_model_error_has_code_and_verdict(self) -> None:
        with self.assertRaises(openai.APIStatusError) as caught:
            await self.client.chat.completions.create(**{**BODY, "model": "no-such"})
        self.assertLess(caught.exception.status_code, 500)
        self.assertEqual(caught.exception.code, "not_found")
        self.assertEqual(caught.exception.body["verdict"], "not_run")

    async def test_class_not_open_to_the_customer_is_a_permission_error(self) -> None:
        with self.assertRaises(openai.PermissionDeniedError) as caught:
            headers = {"X-Request-Class": "no-such"}
            await self.client.chat.completions.create(**BODY, extra_headers=headers)
        self.assertEqual(caught.exception.code, "forbidden")

    def _open_client(self, key: str) -> openai.AsyncOpenAI:
        client = openai.AsyncOpenAI(base_url=self.base_url, api_key=key, max_retries=0)
        self.addAsyncCleanup(client.close)
        return client


if __name__ == "__main__":
    unittest.main()
