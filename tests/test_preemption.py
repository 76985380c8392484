"""Tests that a stream preempted by protected work is resumed and completed."""

from __future__ import annotations

import unittest
from typing import Any

from boragetiller.settings import AdmissionSettings
from boragetiller.standin.engine import EngineServer, EngineSettings
from boragetiller.standin.engine_text import build_expected_text
from tests.fleet import MODEL, Fleet, build_sample_records
from tests.streams import extract_streamed_text

CHAT = "/v1/chat/completions"


class PreemptionTest(unittest.IsolatedAsyncioTestCase):
    """An engine whose agent runs one request at a time."""

    async def asyncSetUp(self) -> None:
        self.engine = EngineServer(EngineSettings())
        await self.engine.start()
        admission = AdmissionSettings(initial_running=1, max_running=1)
        self.fleet = Fleet({"admission": admission})
        await self.fleet.start()
        self.agent = await self.fleet.add_agent("engine-0", "pool", self.engine.url)
        await self.fleet.apply(build_sample_records(("engine-0",), ()))
        self.router = await self.fleet.add_router("router-0")

    async def asyncTearDown(self) -> None:
        await self.fleet.close()
        await self.engine.close()

    async def test_preempted_stream_is_resumed_and_completed(self) -> None:
        async with self._send("note", "a long note", 300) as note:
            note_content = await note.content.readuntil(b"\n\n")
            async with self._send("quote", "a quick quote", 5) as quote:
                quote_content = await quote.read()
            self.assertEqual(self.agent.metrics.counts["agent.preempted"], 1)
            note_content += await note.read()
        self.assertEqual(
            extract_streamed_text(quote_content),
            build_expected_text(_build_body("a quick quote", 5)),
        )
        self.assertEqual(
            extract_streamed_text(note_content),
            build_expected_text(_build_body("a long note", 300)),
        )
        self.assertEqual(self.router.metrics.counts["router.retry.preempted"], 1)
        self.assertEqual(len(self.agent.admission.table.queued), 0)

    def _send(self, class_name: str, prompt: str, tokens: int) -> Any:
        body = _build_body(prompt, tokens)
        return self.fleet.post(self.router, CHAT, body, X_Request_Class=class_name)


def _build_body(prompt: str, tokens: int) -> dict[str, object]:
    messages = [{"role": "user", "content": prompt}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": True}


if __name__ == "__main__":
    unittest.main()
