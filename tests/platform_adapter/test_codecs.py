"""Tests of the parsing of the platform's headers, documents and settings."""

from __future__ import annotations

import copy
import json
import tempfile
import unittest
from pathlib import Path

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict

import documents
import headers as header_codec
import node_settings
import tests.platform_path  # noqa: F401
from boragetiller.errors import EntryUnreadable, InvalidRequest, SettingsInvalid
from boragetiller.gateway.settings import Endpoint
from boragetiller.tables.call_metadata import ForwardMetadata, PromptPart, ServerLoad
from boragetiller.tables.routes import RequestKind, WeightedGroup
from tests.platform_adapter.messages import CONFIG, REQUEST, SERVER, SETTINGS
from tests.unusable_values import UNUSABLE_VALUES, WIDE_INTEGERS, WIDE_SCALARS

JSON = st.recursive(
    WIDE_SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from([*CONFIG, *SERVER]), inner, max_size=4),
    max_leaves=12,
)
FIELD_VALUES = WIDE_INTEGERS | WIDE_SCALARS | JSON
DETERMINISTIC = settings(derandomize=True, deadline=None)


def encode(document: object) -> bytes:
    return json.dumps(document).encode()


def list_variants(document: object) -> list[bytes]:
    """:return: copies of the document, each with one value replaced by an unusable one"""
    variants = []
    for path in list_paths(document):
        changed = copy.deepcopy(document)
        parent = changed
        for step in path[:-1]:
            parent = parent[step]
        parent[path[-1]] = "@"
        text = json.dumps(changed)
        variants += [text.replace('"@"', value).encode() for value in UNUSABLE_VALUES]
    return variants


def list_paths(document: object, prefix: tuple[object, ...] = ()) -> list[tuple[object, ...]]:
    """:return: paths of all values in a document"""
    if not isinstance(document, (dict, list)):
        return [prefix]
    items = document.items() if isinstance(document, dict) else enumerate(document)
    nested = [path for name, value in items for path in list_paths(value, (*prefix, name))]
    return [*([prefix] if prefix else []), *nested]


def list_scalars(value: object) -> list[object]:
    """:return: all numbers and texts in a decoded entity"""
    if attrs.has(type(value)):
        value = [getattr(value, field.name) for field in attrs.fields(type(value))]
    if isinstance(value, dict):
        value = [*value.keys(), *value.values()]
    if isinstance(value, (list, tuple)):
        return [scalar for item in value for scalar in list_scalars(item)]
    return [value]


class DecoderTest(unittest.TestCase):
    """Cases that all decoders of stored entries have in common."""

    def assert_usable(self, decoded: object) -> None:
        for value in list_scalars(decoded):
            if isinstance(value, (int, float)):
                self.assertLessEqual(abs(value), (1 << 63) - 1)
            elif isinstance(value, str):
                self.assertNotRegex(value, "[\\r\\n\\0]")
                value.encode()


class ConfigTest(DecoderTest):
    def test_decode_config_parses_the_documented_example(self) -> None:
        config = documents.decode_config(encode(CONFIG))
        self.assertEqual(config.version, 7)
        stream, plain = config.routes
        self.assertIs(stream.kind, RequestKind.STREAM)
        self.assertEqual(stream.weighted_groups[1], WeightedGroup(group="wuno96b", weight=10.0))
        self.assertEqual((stream.tier, stream.target_ms, stream.gap_target_ms), (2, 2_000, 800))
        self.assertEqual(plain.weighted_groups, (WeightedGroup(group="huvo11a", weight=1.0),))
        self.assertEqual((plain.target_ms, plain.max_attempts), (6_000, 1))
        self.assertEqual(config.groups["huvo11a"].engine.memory_tokens, 536_382)
        self.assertIsNone(config.groups["wuno96b"].engine)
        self.assertEqual(config.customers_by_key["anfqa"].name, "hule930")
        self.assertEqual(config.customers_by_key["anfqa"].tier, 1)

    def test_decode_config_without_tenants_requires_no_keys(self) -> None:
        document = {name: value for name, value in CONFIG.items() if name != "tenants"}
        self.assertIsNone(documents.decode_config(encode(document)).customers_by_key)

    def test_decode_config_refuses_missing_and_invalid_fields(self) -> None:
        for path in (
            ("version",),
            ("routes",),
            ("limits",),
            ("routes", 0, "host"),
            ("tenants", 0, "api-keys"),
        ):
            for wrong in (None, "x", 1.5, True):
                document = copy.deepcopy(CONFIG)
                parent = document
                for step in path[:-1]:
                    parent = parent[step]
                if wrong == parent[path[-1]] or (path[-1] == "host" and wrong == "x"):
                    continue
                parent[path[-1]] = wrong
                if path == ("tenants", 0, "api-keys") and wrong is None:
                    continue
                with self.subTest(path=path, wrong=wrong), self.assertRaises(EntryUnreadable):
                    documents.decode_config(encode(document))

    def test_decode_config_refuses_an_engine_profile_without_fields(self) -> None:
        # Guards against an undecoded profile in force, with status 500 for each call to the group.
        document = copy.deepcopy(CONFIG)
        document["services"][0]["engine"] = {}
        with self.assertRaises(EntryUnreadable):
            documents.decode_config(encode(document))

    def test_decode_config_returns_usable_values_or_refuses(self) -> None:
        # Guards against errors of arithmetic and encoding, in the decoder or later.
        for value in list_variants(CONFIG):
            try:
                config = documents.decode_config(value)
            except EntryUnreadable:
                continue
            self.assert_usable(config)

    @given(JSON)
    @DETERMINISTIC
    def test_decode_config_refuses_arbitrary_documents(self, document: object) -> None:
        with self.assertRaises(EntryUnreadable):
            documents.decode_config(encode(document))

    @given(st.binary(max_size=60))
    @DETERMINISTIC
    def test_decode_refuses_arbitrary_bytes(self, data: bytes) -> None:
        for decode in (documents.decode_config, lambda d: documents.decode_server("servers/x", d)):
            with self.assertRaises(EntryUnreadable):
                decode(data)


class ServerEntryTest(DecoderTest):
    def test_decode_prefix_cache_parses_the_documented_example(self) -> None:
        body = b'{"epoch": 3, "next": 7, "held": [["", "5c1e07a2", 800, "m"]]}'
        cached = documents.decode_prefix_cache(body)
        self.assertEqual((cached.parts, cached.unreadable), ((PromptPart("5c1e07a2", 800),), ()))

    def test_decode_prefix_cache_leaves_out_unreadable_entries_only(self) -> None:
        # Guards against a whole list that counts as unread because of one entry.
        for text in UNUSABLE_VALUES:
            if text.startswith("[["):
                continue  # not JSON, or nested too deeply
            for entry in (text, f'["", {text}, 1, "m"]', f'["", "aa", {text}, "m"]', '["", "aa"]'):
                with self.subTest(entry=entry[:40]):
                    body = f'{{"held": [["", "bb", 5, "m"], {entry}]}}'.encode()
                    try:
                        cached = documents.decode_prefix_cache(body)
                    except EntryUnreadable:
                        self.assertIn("9" * 4_301, entry)  # Python's parser refuses the document
                        continue
                    self.assertEqual(cached.parts[0], PromptPart("bb", 5))
                    self.assertEqual(len(cached.parts) + len(cached.unreadable), 2)
                    self.assert_usable(cached.parts)

    @given(st.recursive(WIDE_SCALARS, st.lists, max_leaves=8))
    @settings(derandomize=True, deadline=None)
    def test_decode_prefix_cache_parses_or_refuses_arbitrary_entries(self, entry: object) -> None:
        body = json.dumps({"held": [["", "aa", 1, "m"], entry]}).encode()
        try:
            cached = documents.decode_prefix_cache(body)
        except EntryUnreadable:
            return
        self.assertEqual(len(cached.parts) + len(cached.unreadable), 2)
        self.assertEqual(cached.parts[0], PromptPart("aa", 1))

    def test_decode_server_parses_the_documented_example(self) -> None:
        record = documents.decode_server("servers/i-7f3a91c2", encode(SERVER))
        self.assertEqual((record.name, record.group), ("i-7f3a91c2", "huvo11a"))
        self.assertEqual(record.started_ms, 1_769_546_637_497)
        self.assertFalse(record.draining)

    def test_decode_server_refuses_invalid_entries(self) -> None:
        changes = (
            {"state": "resting"},
            {"state": None},
            {"service": 5},
            {"address": "name:80"},
            {"address": "10.0.0.1"},
            {"address": "10.0.0.300:80"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:٣"},
            {"address": "0.0.0.0:80"},
            {"address": "224.0.0.1:80"},
            {"address": "255.255.255.255:80"},
            {"slots": "64"},
            {"slots": True},
        )
        for change in changes:
            with self.subTest(change=change), self.assertRaises(EntryUnreadable):
                documents.decode_server("servers/x", encode(SERVER | change))
        with self.assertRaises(EntryUnreadable):
            documents.decode_server("servers/", encode(SERVER))
        for encoding in ("utf-16", "utf-32", "utf-8-sig"):
            value = json.dumps(SERVER).encode(encoding)
            with self.subTest(encoding=encoding), self.assertRaises(EntryUnreadable):
                documents.decode_server("servers/x", value)

    def test_decode_server_refuses_entries_without_a_documented_field(self) -> None:
        # Guards against calls to what entries of other writers name.
        for field in set(SERVER) - {"born", "stage", "models"}:
            for change in ({}, {field: None}, {field: []}):
                entry = {name: value for name, value in SERVER.items() if name != field}
                with self.subTest(field=field, change=change), self.assertRaises(EntryUnreadable):
                    documents.decode_server("servers/x", encode(entry | change))

    def test_decode_server_returns_usable_values_or_refuses(self) -> None:
        # Guards against errors of arithmetic and encoding, which would stop the whole list.
        for value in list_variants(SERVER):
            for decode in (documents.decode_server, documents.decode_entry_version):
                try:
                    decoded = decode("servers/x", value)
                except EntryUnreadable:
                    continue
                self.assert_usable(decoded)

    def test_decode_server_refuses_an_id_that_cannot_be_sent(self) -> None:
        for key in ("servers/a\r\nX-Injected: 1", "servers/\0", "servers/\ud800"):
            with self.subTest(key=key), self.assertRaises(EntryUnreadable):
                documents.decode_server(key, encode(SERVER))

    @given(st.dictionaries(st.sampled_from(list(SERVER)), FIELD_VALUES, min_size=1, max_size=3))
    @DETERMINISTIC
    def test_decode_server_parses_or_refuses_arbitrary_fields(
        self, change: dict[str, object]
    ) -> None:
        try:
            record = documents.decode_server("servers/x", encode(SERVER | change))
        except EntryUnreadable:
            return
        self.assertEqual(record.name, "x")
        self.assert_usable(record)


class HeadersTest(unittest.TestCase):
    def parse(self, **changes: str | None) -> object:
        named = {name.replace("_", "-"): value for name, value in changes.items()}
        merged = CIMultiDict(REQUEST)
        for name, value in named.items():
            merged.popall(name, None)
            if value is not None:
                merged[name] = value
        return header_codec.parse_call_headers(merged)

    def test_parse_call_headers_parses_the_documented_example(self) -> None:
        metadata = self.parse()
        self.assertEqual(metadata.request_id, "9c41d07be2a35f68")
        self.assertEqual((metadata.deadline_ms, metadata.key), (8_000, "n2ctn"))
        self.assertEqual((metadata.prompt.input_tokens, metadata.prompt.output_tokens), (1_460, 80))
        self.assertEqual(metadata.prompt.parts[0], PromptPart("5c1e07a2", 800))

    def test_parse_call_headers_normalizes_the_host(self) -> None:
        self.assertEqual(self.parse(Host="FICU95.example:80").host, "ficu95.example")

    def test_parse_call_headers_refuses_a_missing_id_and_invalid_deadlines(self) -> None:
        for deadline in ("soon", "-1", "0", "nan", ""):
            with self.subTest(deadline=deadline), self.assertRaises(InvalidRequest):
                self.parse(X_Boragetiller_Deadline_Ms=deadline)
        with self.assertRaises(InvalidRequest):
            self.parse(X_Boragetiller_Attempt_Id=None)

    def test_parse_call_headers_ignores_invalid_prompt_headers(self) -> None:
        for counts in ("1460", "a,b", "-1,5", "1,2,3", "10000001,5", "5," + "9" * 5_000):
            with self.subTest(counts=counts):
                self.assertIsNone(self.parse(X_Boragetiller_Token_Counts=counts).prompt)
        for parts in ("aa:b", "aa:10000001", "\udcff:5"):
            with self.subTest(parts=parts):
                self.assertIsNone(self.parse(X_Boragetiller_Prefix_Hash=parts).prompt)
        for model in ("m" * 257, "\udcff"):
            with self.subTest(model=model):
                self.assertIsNone(self.parse(X_Boragetiller_Model=model).prompt)

    def test_parse_call_headers_accepts_keys_of_the_token_scheme_only(self) -> None:
        for text in ("Bearer n2ctn", "n2ctn", "Token ", "token n2ctn"):
            with self.subTest(text=text):
                self.assertIsNone(self.parse(Authorization=text).key)

    def test_build_request_headers_drops_the_key_and_hop_by_hop_headers(self) -> None:
        metadata = ForwardMetadata(
            server_name="i-1", deadline_ms=99.9, customer="hule930", urgency=12, last_event_id="4"
        )
        given_headers = CIMultiDict(REQUEST)
        given_headers.add("Connection", "keep-alive, X-Hop")
        given_headers.add("X-Hop", "1")
        given_headers.add("X-Many", "1")
        given_headers.add("X-Many", "2")
        given_headers.add("Transfer-Encoding", "chunked")
        forwarded = header_codec.build_request_headers(given_headers, metadata)
        for name in ("Authorization", "Connection", "X-Hop", "Transfer-Encoding"):
            self.assertNotIn(name, forwarded)
        self.assertEqual(forwarded.getall("X-Many"), ["1", "2"])
        self.assertEqual(forwarded["X-Boragetiller-Deadline-Ms"], "99")
        self.assertEqual(forwarded["X-Boragetiller-Request-Urgency"], "9")
        self.assertEqual(forwarded["Last-Event-Id"], "4")
        self.assertEqual(
            forwarded["X-Boragetiller-Prefix-Hash"], REQUEST["X-Boragetiller-Prefix-Hash"]
        )

    def test_parse_response_head_recognizes_requests_that_were_not_run(self) -> None:
        not_executed = header_codec.parse_response_head(
            503, CIMultiDict({"X-Boragetiller-Not-Executed": "1"})
        )
        misdirected = header_codec.parse_response_head(
            421, CIMultiDict({"X-Boragetiller-Instance-Id": "i-2"})
        )
        self.assertTrue(not_executed.not_run)
        self.assertEqual(misdirected.instance, "i-2")
        for status in (408, 421, 429, 503):
            failed = header_codec.parse_response_head(status, CIMultiDict())
            self.assertEqual((failed.not_run, failed.instance), (False, None))

    def test_parse_response_head_ignores_invalid_headers(self) -> None:
        load = "X-Boragetiller-Server-Load"
        metadata = header_codec.parse_response_head(
            200, CIMultiDict({load: "3,0,8", "Keep-Alive": "timeout=5"})
        )
        self.assertEqual((metadata.load, metadata.idle_timeout_s), (ServerLoad(3, 0, 8), 5))
        metadata = header_codec.parse_response_head(
            200, CIMultiDict({load: "3,x", "Keep-Alive": "timeout=x"})
        )
        self.assertEqual((metadata.load, metadata.idle_timeout_s), (None, None))

    def test_invalid_work_time_leaves_the_other_figures_of_the_load(self) -> None:
        # Guards against the loss of all load reports where servers name their work time.
        for text, load in {
            "3,0,8,170": ServerLoad(3, 0, 8, 1.7),
            "3,0,8,1": ServerLoad(3, 0, 8, 0.01),
            "3,0,8,0": ServerLoad(3, 0, 8),
            "3,0,8,10001": ServerLoad(3, 0, 8),
            "3,0,8,1.5": ServerLoad(3, 0, 8),
            "3,0,8,": ServerLoad(3, 0, 8),
            "3,0,8,70,1": None,
            "3,0": None,
        }.items():
            headers = CIMultiDict({"X-Boragetiller-Server-Load": text})
            with self.subTest(load=text):
                self.assertEqual(header_codec.parse_response_head(200, headers).load, load)

    def test_parse_response_head_reads_the_limit_of_a_server(self) -> None:
        for text, limit_per_s in (
            ("1.2", 1.2),
            ("0", 0.0),
            ("-1", None),
            ("nan", None),
            ("x", None),
        ):
            metadata = header_codec.parse_response_head(200, CIMultiDict({"Server-Limit": text}))
            self.assertEqual(metadata.limit_per_s, limit_per_s)

    def test_parse_response_head_reads_the_pause_that_a_server_asks_for(self) -> None:
        for texts, pause_ms, invalid_pause in (
            (["2"], 2_000.0, None),
            ([" 0.25 "], 250.0, None),
            (["1e3"], 1_000_000.0, None),
            (["0"], 0.0, None),
            (["9" * 300], 1e12, None),
            ([], 0.0, None),
            ([""], 0.0, ""),
            (["-1"], 0.0, "-1"),
            (["nan"], 0.0, "nan"),
            (["inf"], 0.0, "inf"),
            (["1e999"], 0.0, "1e999"),
            (["1_0"], 0.0, "1_0"),
            (["Wed, 21 Oct 2026 07:28:00 GMT"], 0.0, "Wed, 21 Oct 2026 07:28:00 GMT"),
            (["2", "3"], 0.0, "2, 3"),
            (["x" * 500], 0.0, "x" * 40),
        ):
            headers = CIMultiDict([("retry-after", text) for text in texts])
            with self.subTest(texts=texts):
                metadata = header_codec.parse_response_head(503, headers)
                self.assertEqual(
                    (metadata.pause_ms, metadata.invalid_pause), (pause_ms, invalid_pause)
                )
                metadata = header_codec.parse_response_head(429, headers)
                self.assertEqual((metadata.pause_ms, metadata.invalid_pause), (0.0, None))

    @given(st.dictionaries(st.sampled_from(list(REQUEST)), st.text(max_size=20)))
    @DETERMINISTIC
    def test_parse_call_headers_parses_or_refuses_arbitrary_headers(
        self, changes: dict[str, str]
    ) -> None:
        try:
            header_codec.parse_call_headers(CIMultiDict({**REQUEST, **changes}))
        except InvalidRequest:
            return


class NodeSettingsTest(unittest.TestCase):
    def load(self, text: str) -> object:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text, encoding="utf-8")
            return node_settings.load_node_settings(str(path))

    def test_load_parses_the_documented_example(self) -> None:
        loaded = self.load(SETTINGS)
        self.assertEqual(loaded.callers, Endpoint("10.1.0.40", 8227))
        self.assertEqual(loaded.seeds, (Endpoint("10.2.0.29", 8229), Endpoint("10.3.0.19", 8229)))
        self.assertEqual((loaded.grace_ms, loaded.retry_window_ms), (8_000, 10_000))

    def test_load_reads_limits_of_the_host_where_they_are_set(self) -> None:
        # Guards against a budget that does not follow from the host.
        limits = self.load(SETTINGS + "\n[limits]\nmemory-mb = 160\nmax-fds = 1638\n")
        self.assertEqual((limits.memory_bytes, limits.max_descriptors), (167_772_160, 1_638))
        self.assertEqual(self.load(SETTINGS).memory_bytes, 268_435_456)

    def test_load_refuses_missing_required_fields(self) -> None:
        for name in ("node-name", "zone", "front", "ready", "grace-s", "address", "port-range"):
            lines = [line for line in SETTINGS.splitlines() if not line.startswith(name)]
            with self.subTest(name=name), self.assertRaises(SettingsInvalid):
                self.load("\n".join(lines))

    def test_load_refuses_unusable_values(self) -> None:
        # Guards against errors other than SettingsInvalid, which end the process or its checks.
        values = ("inf", "nan", "-1", "1" + "0" * 310, "9" * 5_000, "[]", "true", '"x"')
        tables = ("listen", "contract-params", "platform")
        for line in SETTINGS.splitlines():
            name, _, value = line.partition(" = ")
            if not value or name in ("seeds", "role", "machine-class", "unknown-field"):
                continue
            for wrong in values:
                if value.startswith('"') and name in ("node-name", "zone"):
                    continue
                changed = SETTINGS.replace(line, f"{name} = {wrong}")
                with self.subTest(name=name, wrong=wrong[:20]), self.assertRaises(SettingsInvalid):
                    self.load(changed)
        for name in tables:
            with self.subTest(name=name), self.assertRaises(SettingsInvalid):
                self.load(f"{name} = 5\n" + SETTINGS.replace(f"[{name}]", f"[other-{name}]"))
        with self.assertRaises(SettingsInvalid):
            self.load("deep = " + "[" * 5_000)

    def test_load_keeps_the_seeds_beside_an_invalid_one(self) -> None:
        # Guards against a file that counts as invalid because of one seed.
        for wrong in ('"10.2.0.29"', '"10.2.0.29:x"', '"10.2.0.29:99999"', '"host:1"', "5", "[]"):
            text = SETTINGS.replace('"10.2.0.29:8229"', wrong)
            with self.subTest(wrong=wrong):
                valid = [seed for seed in self.load(text).seeds if seed.is_valid]
                self.assertEqual(valid, [Endpoint("10.3.0.19", 8229)])

    def test_load_refuses_a_truncated_or_missing_file(self) -> None:
        with self.assertRaises(SettingsInvalid):
            self.load(SETTINGS[: len(SETTINGS) // 2])
        with self.assertRaises(SettingsInvalid):
            node_settings.load_node_settings("/nowhere/node.toml")


if __name__ == "__main__":
    unittest.main()
