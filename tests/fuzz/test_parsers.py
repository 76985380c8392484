"""Fuzzing of parsers: invalid input raises only the expected error, with a code."""

from __future__ import annotations

import json
import struct
import unittest
from typing import TYPE_CHECKING, Any

import attrs
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.agent_protocol.attempt import Attempt, parse_attempt
from boragetiller.agent_protocol.frames import (
    FrameDecoder,
    FrameEncoder,
    ResponseHead,
    parse_error,
    parse_head,
)
from boragetiller.errors import BoragetillerError, ProtocolError, SettingsInvalid
from boragetiller.records.documents import parse_documents
from boragetiller.settings import Settings
from boragetiller.structure import structure_yaml
from boragetiller.systems.shard_pages import decode_page, encode_page
from boragetiller.tables.shards import SegmentRef, ShardPage
from tests.fleet import build_sample_records
from tests.unusable_values import UNUSABLE_VALUES, WIDE_SCALARS

if TYPE_CHECKING:
    from collections.abc import Callable

BOUNDED = settings(derandomize=True, max_examples=100, deadline=None, database=None)
JSON = st.recursive(
    WIDE_SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)
ATTEMPT = {
    "request_id": "req-1",
    "number": 1,
    "method": "POST",
    "path": "/v1/completions",
    "content_type": "application/json",
    "customer": "acme",
    "class_name": "quote",
    "group": "pool",
    "tier": 0,
    "protected": True,
    "repeatable": True,
    "resumable": True,
    "customer_weight": 1.0,
    "class_weight": 1.0,
    "prompt_tokens": 3,
    "first_token_target_ms": 680,
    "between_tokens_target_ms": 45,
    "deadline_in_ms": 30_000,
    "fingerprint": "00",
}
SETTINGS = {
    "role": "router",
    "name": "r",
    "failure_domain": "fd",
    "control": {"key": "k"},
    "operator": {"key": "k"},
    "platform": {"store_url": "u", "host_list_url": "u"},
}
SETTING_NAMES = st.sampled_from([field.name for field in attrs.fields(Settings)]) | st.text(
    max_size=8
)
RECORDS = list(yaml.safe_load_all(build_sample_records(("a",), ("b",))))


class ParsersFuzzTest(unittest.TestCase):
    """Each parser returns a value or raises its coded error."""

    @BOUNDED
    @given(st.text(max_size=60) | JSON.map(json.dumps))
    def test_attempt_of_any_text(self, header: str) -> None:
        _value_or(ProtocolError, parse_attempt, header)

    @BOUNDED
    @given(st.sampled_from(sorted(ATTEMPT)) | st.text(max_size=8), JSON)
    def test_attempt_with_any_field(self, name: str, value: Any) -> None:
        header = json.dumps({**ATTEMPT, name: value})
        attempt = _value_or(ProtocolError, parse_attempt, header)
        if attempt is not None:
            self.assertIsInstance(attempt, Attempt)
            self.assertEqual(type(getattr(attempt, name)), type(ATTEMPT[name]))

    def test_attempt_with_an_unusable_value_is_refused(self) -> None:
        # Guards against an OverflowError in the agent, and against weights of NaN in its queue.
        for name in ("customer_weight", "deadline_in_ms", "class_name"):
            for value in UNUSABLE_VALUES:
                header = json.dumps(ATTEMPT | {name: "@"}).replace('"@"', value)
                if name == "class_name" and value.startswith('"') and "ud800" not in value:
                    continue
                with self.subTest(name=name, value=value[:40]), self.assertRaises(ProtocolError):
                    parse_attempt(header)

    def test_shard_page_with_an_unusable_value_is_refused(self) -> None:
        # Guards against pages that come into force and fail where their shard is taken over.
        page = ShardPage(owner="a", incarnation=5, segments=(SegmentRef(number=1, remaining_ms=2),))
        fields = json.loads(encode_page(page))
        self.assertEqual(decode_page(json.dumps(fields).encode()), page)
        for name, good in [*fields.items(), ("segments", [[1, 2]])]:
            for value in UNUSABLE_VALUES:
                if (value == "true" and good is False) or (name == "owner" and value[0] == '"'):
                    continue
                wrong = "[[1, @]]" if good == [[1, 2]] else "@"
                text = json.dumps(fields | {name: "#"}).replace('"#"', wrong.replace("@", value))
                with self.subTest(name=name, value=value[:40]), self.assertRaises(ProtocolError):
                    decode_page(text.encode())

    def test_attempt_without_a_required_field_is_refused(self) -> None:
        for name in ATTEMPT:
            header = json.dumps({other: ATTEMPT[other] for other in ATTEMPT if other != name})
            with self.assertRaises(ProtocolError):
                parse_attempt(header)

    @BOUNDED
    @given(st.lists(st.binary(max_size=40), max_size=5))
    def test_frames_of_any_bytes(self, chunks: list[bytes]) -> None:
        reader = FrameDecoder(1)
        for chunk in chunks:
            if _value_or(ProtocolError, reader.feed, chunk) is None:
                break

    @BOUNDED
    @given(st.lists(st.binary(max_size=20), max_size=5), st.integers(0, 200), st.integers(0, 255))
    def test_frames_with_any_byte_changed(self, parts: list[bytes], at: int, byte: int) -> None:
        encoder = FrameEncoder(1)
        sent = encoder.encode_head(ResponseHead(200, "text/plain")) + b"".join(
            map(encoder.encode_data, parts)
        )
        sent += encoder.encode_end()
        changed = bytearray(sent)
        changed[at % len(sent)] = byte
        reader = FrameDecoder(1)
        for frame in _value_or(ProtocolError, reader.feed, bytes(changed)) or []:
            self.assertEqual(frame.attempt, 1)

    @BOUNDED
    @given(st.lists(st.binary(max_size=20), max_size=5), st.lists(st.integers(1, 30), min_size=1))
    def test_frames_survive_any_cut(self, parts: list[bytes], cuts: list[int]) -> None:
        encoder = FrameEncoder(3)
        sent = b"".join(map(encoder.encode_data, parts)) + encoder.encode_end()
        reader = FrameDecoder(3)
        found = []
        while sent:
            size = cuts[len(found) % len(cuts)]
            found += reader.feed(sent[:size])
            sent = sent[size:]
        self.assertEqual([frame.payload for frame in found], [*parts, b""])

    @BOUNDED
    @given(st.binary(max_size=40) | JSON.map(lambda value: json.dumps(value).encode()))
    def test_head_and_fail_of_any_payload(self, payload: bytes) -> None:
        _value_or(ProtocolError, parse_head, payload)
        _value_or(BoragetillerError, parse_error, payload)

    @BOUNDED
    @given(st.sampled_from(("code", "message", "verdict", "retry_after_s", "owner")), JSON)
    def test_fail_with_any_field(self, name: str, value: Any) -> None:
        fields = {"code": "draining", "message": "m", "verdict": "not_run"}
        fields |= {"retry_after_s": None, "owner": None, name: value}
        error = _value_or(ProtocolError, parse_error, json.dumps(fields).encode())
        if error is not None:
            self.assertIsInstance(error.retry_after_s, int | None)
            self.assertIsInstance(error.owner, str | None)

    @BOUNDED
    @given(st.sampled_from(("status", "content_type")), JSON)
    def test_head_with_any_field(self, name: str, value: Any) -> None:
        fields = {"status": 200, "content_type": "text/plain", name: value}
        head = _value_or(ProtocolError, parse_head, json.dumps(fields).encode())
        if head is not None:
            self.assertIn(head.status, range(100, 600))
            self.assertIsInstance(head.content_type, str)

    def test_head_of_infinite_status_is_refused(self) -> None:
        with self.assertRaises(ProtocolError):
            parse_head(b'{"status": Infinity, "content_type": ""}')

    def test_oversized_frame_is_refused(self) -> None:
        with self.assertRaises(ProtocolError):
            FrameDecoder(1).feed(struct.pack(">BHII", 2, 1, 0, 2**31))

    @BOUNDED
    @given(st.text(max_size=60) | JSON.map(yaml.safe_dump))
    def test_settings_of_any_text(self, text: str) -> None:
        _value_or(SettingsInvalid, lambda text: structure_yaml(text, Settings), text)

    @BOUNDED
    @given(SETTING_NAMES, JSON)
    def test_settings_with_any_field(self, name: str, value: Any) -> None:
        text = yaml.safe_dump({**SETTINGS, name: value})
        _value_or(SettingsInvalid, lambda text: structure_yaml(text, Settings), text)

    @BOUNDED
    @given(st.text(max_size=60) | JSON.map(yaml.safe_dump))
    def test_records_of_any_text(self, text: str) -> None:
        _value_or(SettingsInvalid, _read_records, text)

    @BOUNDED
    @given(st.sampled_from(RECORDS), st.data())
    def test_records_with_any_field(self, record: dict[str, Any], data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(record)) | st.text(max_size=8))
        value = data.draw(JSON | st.just(record.get(name)))
        _value_or(SettingsInvalid, _read_records, yaml.safe_dump({**record, name: value}))


def _read_records(text: str) -> list[Any]:
    return list(parse_documents(text))


def _value_or(
    expected: type[BoragetillerError], parse: Callable[[Any], Any], given_value: Any
) -> Any:
    try:
        return parse(given_value)
    except expected as error:
        if not error.code:
            raise AssertionError(f"{type(error).__name__} has no code") from error
        return None


if __name__ == "__main__":
    unittest.main()
