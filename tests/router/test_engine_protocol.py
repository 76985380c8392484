"""Events of engines that cannot be used as they are."""

from __future__ import annotations

import json
import unittest

from boragetiller.errors import ProtocolError
from boragetiller.router.engine_protocol import (
    EngineTranscript,
    assemble_response,
    rewrite_resumed_chunk,
)
from tests.unusable_values import UNUSABLE_VALUES


class UnusableEventsTest(unittest.TestCase):
    def test_event_of_any_json_is_read_or_refused(self) -> None:
        # Guards against RecursionError and TypeError after a request has run.
        for value in UNUSABLE_VALUES:
            choice = '{"choices": [{"text": "x", "finish_reason": "stop"}], "usage": %s}'
            for event in (
                value,
                choice % value,
                choice % ('{"completion_tokens": 3, "prompt_tokens": ' + value + "}"),
            ):
                chunk = f"data: {event}\n\n".encode()
                transcript = EngineTranscript()
                transcript.append(chunk)
                with self.subTest(event=event[:80]):
                    try:
                        self.assertIn("choices", json.loads(assemble_response(transcript)))
                        rewrite_resumed_chunk(chunk, 5)
                    except ProtocolError:
                        continue


if __name__ == "__main__":
    unittest.main()
