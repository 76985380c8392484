"""Tests of the command line: output, exit codes and error messages."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import tempfile
import threading
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import attrs
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.cli.exit_codes import ExitCode
from boragetiller.cli.main import run
from boragetiller.cli.messages import (
    AgentStatus,
    ConfigStatus,
    ExplainStep,
    Explanation,
    InvalidResponse,
    NodePage,
    NodeStatus,
    RecordStatus,
    parse_message,
)
from boragetiller.placement_queries import (
    PlacementAnswer,
    PlacementCandidate,
    PlacementExclusion,
)
from boragetiller.records.writes import WriteState
from boragetiller.standin.platform_server import PlatformServer, PlatformServerSettings
from tests.cli.sample_writes import write_fields
from tests.records.samples import FLEET

KEY = "operator-key"
STATUS = NodeStatus(
    name="router-1",
    role="router",
    config=ConfigStatus(ready=True, store="unreachable", unreadable=("class/x: schema version 3",)),
    agents=(AgentStatus(name="vl-a-1", group="tiller-pool", queued=(1, 0, 0, 2)),),
)
RECORD = RecordStatus(
    record="class/quote",
    page=3,
    record_revision=2,
    nodes=(
        NodePage(node="router-1", page_revision=9, age_ms=1_500),
        NodePage(node="vl-a-1", page_revision=8),
    ),
)
EXPLANATION = Explanation(
    request_id="r-1",
    router="router-1",
    steps=(ExplainStep(at_ms=3, step="placed", detail="agent=vl-a-1"),),
)


PLACED = PlacementAnswer(
    router="router-1",
    outcome="placed",
    server="e1",
    candidates=(
        PlacementCandidate(
            server="e1",
            failure_domain="a",
            chosen=True,
            has_room=True,
            cost_ms=12.5,
            first_event_ms=9,
            in_flight=3,
            slots=8,
        ),
    ),
    excluded=(PlacementExclusion(server="e2", reason="ejected"),),
)
REFUSED = PlacementAnswer(router="router-1", outcome="refused", code="no_room", retry_after_s=0.3)


class LocalServices:
    """The platform's services and an operator port, on an event loop in a thread of its own."""

    def __init__(self) -> None:
        """Start the event loop, the platform's services and the operator port."""
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.platform = PlatformServer(PlatformServerSettings())
        self.call(self.platform.start())
        self.operator_url = self.call(self._start_operator())

    def call(self, coroutine: Any) -> Any:
        """:return: the result of a coroutine that runs on the event loop"""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def close(self) -> None:
        """Stop both servers and the event loop."""
        self.call(self.runner.cleanup())
        self.call(self.platform.close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def _start_operator(self) -> str:
        app = web.Application()
        app.router.add_get("/status", _build_handler(STATUS))
        app.router.add_get("/status/record/class/quote", _build_handler(RECORD))
        unknown = attrs.evolve(RECORD, record_revision=None)
        app.router.add_get("/status/record/class/unknown", _build_handler(unknown))
        app.router.add_get("/explain/r-1", _build_handler(EXPLANATION))
        app.router.add_post("/where", self._answer_query)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        return f"http://127.0.0.1:{self.runner.addresses[0][1]}"

    async def _answer_query(self, request: web.Request) -> web.Response:
        self.query = await request.json()
        answer = PLACED if self.query["path"] == "/stock/1" else REFUSED
        return web.json_response(attrs.asdict(answer))


class MainTest(unittest.TestCase):
    """Each command, and each kind of failure."""

    def setUp(self) -> None:
        self.services = LocalServices()
        self.addCleanup(self.services.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "fleet.yaml"
        self.file.write_text(FLEET, encoding="utf-8")
        environment = {
            "BORAGETILLER_STORE_URL": self.services.platform.url,
            "BORAGETILLER_OFFICE": "vesturland",
            "BORAGETILLER_OPERATOR_URL": self.services.operator_url,
            "BORAGETILLER_OPERATOR_KEY": KEY,
        }
        patch = mock.patch.dict(os.environ, environment)
        patch.start()
        self.addCleanup(patch.stop)

    def test_apply_diff_get_list_history(self) -> None:
        self.assertIn("create", self.run_command(ExitCode.DIFFERENT, "diff", str(self.file)))
        self.assertIn("accepted", self.run_command(ExitCode.DONE, "apply", str(self.file)))
        self.assertIn("unchanged", self.run_command(ExitCode.DONE, "apply", str(self.file)))
        self.assertIn("unchanged", self.run_command(ExitCode.DONE, "diff", str(self.file)))
        document = self.run_command(ExitCode.DONE, "get", "class/quote", "--schema-version", "1")
        self.assertIn("first_token_ms: 680", document)
        self.file.write_text(document.replace("tier: 0", "tier: 2"), encoding="utf-8")
        self.assertIn("tier: 0 -> 2", self.run_command(ExitCode.DIFFERENT, "diff", str(self.file)))
        self.assertIn("tier: 0 -> 2", self.run_command(ExitCode.DONE, "apply", str(self.file)))
        listed = json.loads(self.run_command(ExitCode.DONE, "list", "class", "--output", "json"))
        self.assertEqual([(r["record"], r["revision"]) for r in listed], [("class/quote", 2)])
        history = json.loads(
            self.run_command(ExitCode.DONE, "history", "class/quote", "--output", "json")
        )
        self.assertEqual([h["schema_version"] for h in history], [2, 1])
        self.assertEqual(history[1]["changes"], {"tier": [0, 2]})

    def test_where_prints_the_decision_and_tells_a_refusal_by_its_exit_code(self) -> None:
        # Guards against a script that takes a refusal for a placement.
        headers = self.file.with_name("headers")
        headers.write_text("Host: shop.example\n\nX-Id: a:b\n", encoding="utf-8")
        command = ("where", "/stock/1", "--headers", str(headers))
        table = self.run_command(ExitCode.DONE, *command)
        self.assertRegex(table, r"router-1 +e1 +chosen +12.5")
        self.assertRegex(table, r"router-1 +e2 +ejected")
        self.assertEqual(self.services.query["headers"], {"Host": "shop.example", "X-Id": "a:b"})
        output = self.run_command(ExitCode.REFUSED, "where", "/gauges/", "--output", "json")
        self.assertEqual(json.loads(output)[0]["retry_after_s"], 0.3)
        headers.write_text("no header", encoding="utf-8")
        self.assertNotIn("no header", self.run_command(ExitCode.INVALID, *command))

    def test_apply_conflict_shows_three_values(self) -> None:
        self.run_command(ExitCode.DONE, "apply", str(self.file))
        document = self.run_command(ExitCode.DONE, "get", "class/quote")
        self.file.write_text(document.replace("tier: 0", "tier: 1"), encoding="utf-8")
        self.run_command(ExitCode.DONE, "apply", str(self.file))
        self.file.write_text(document.replace("tier: 0", "tier: 2"), encoding="utf-8")
        output = self.run_command(ExitCode.CONFLICT, "apply", str(self.file), "--office", "kalisz")
        self.assertIn("tier: conflict: base 0, theirs 1, yours 2", output)

    def test_apply_lost_reply_is_accepted(self) -> None:
        self.services.platform.store.inject_faults(lose_replies=1)
        self.assertIn("accepted", self.run_command(ExitCode.DONE, "apply", str(self.file)))

    def test_apply_missing_reference_is_refused(self) -> None:
        self.file.write_text(FLEET.replace("group: tiller-pool", "group: x"), encoding="utf-8")
        self.assertIn("no group x", self.run_command(ExitCode.REFUSED, "apply", str(self.file)))

    def test_apply_reports_reference_removed_by_concurrent_write(self) -> None:
        self.run_command(ExitCode.DONE, "apply", str(self.file))
        store = self.services.platform.store
        put = store.put

        async def remove_group_first(key: str, value: bytes, *, expected_revision: int) -> int:
            store.put = put  # type: ignore[method-assign]
            for kind, name in (
                ("customer", "morgun"),
                ("class", "quote"),
                ("group", "tiller-pool"),
            ):
                result = await write_fields(store, kind, name, absent=True)
                self.assertEqual(result.state, WriteState.ACCEPTED, result)
            return await put(key, value, expected_revision=expected_revision)

        store.put = remove_group_first  # type: ignore[method-assign]
        text = "kind: class\nname: note\nschema_version: 2\ngroup: tiller-pool\n"
        self.file.write_text(text, encoding="utf-8")
        output = self.run_command(ExitCode.REFERENCE_MISSING, "apply", str(self.file))
        self.assertIn("class/note: group: no group tiller-pool", output)

    def test_store_outage_is_reported(self) -> None:
        self.services.platform.store.inject_faults(outage=True)
        self.assertIn("does not answer", self.run_command(ExitCode.UNREACHABLE, "list"))

    def test_validate_is_offline(self) -> None:
        with mock.patch.dict(os.environ, {"BORAGETILLER_STORE_URL": ""}):
            self.run_command(ExitCode.DONE, "validate", str(self.file))
            self.file.write_text(FLEET.replace("tier: 0", "tire: 0"), encoding="utf-8")
            output = self.run_command(ExitCode.INVALID, "validate", str(self.file))
        self.assertRegex(output, r"fleet.yaml:13: tire: unknown key; allowed: ")

    def test_status_and_explain_print_agents_records_and_decisions(self) -> None:
        fleet = self.run_command(ExitCode.DONE, "status")
        for text in ("vl-a-1", "1,0,0,2", "store does not answer", "schema version 3"):
            self.assertIn(text, fleet)
        record = self.run_command(ExitCode.DONE, "status", "--record", "class/quote")
        self.assertRegex(record, r"router-1 +9 +true +1500")
        self.assertRegex(record, r"vl-a-1 +8 +false +-")
        output = self.run_command(ExitCode.INVALID, "status", "--record", "class/unknown")
        self.assertIn("no such record", output)
        self.assertIn("agent=vl-a-1", self.run_command(ExitCode.DONE, "explain", "r-1"))
        self.assertIn("not found; ask", self.run_command(ExitCode.FAILED, "explain", "r-2"))
        output = self.run_command(ExitCode.UNREACHABLE, "status", "--operator-key", "wrong")
        self.assertIn("operator key is not accepted", output)

    def test_errors_name_the_option_or_a_remedy(self) -> None:
        cases = {
            ("get", "class/none"): "boragetiller list",
            ("get", "klass/x"): "allowed: customer, class, group",
            ("list", "--output", "xml"): "allowed: table, json",
            ("list", "--store-url", "nowhere"): "must begin with http://",
            ("list", "--timeout-ms", "soon"): "whole number above 0",
            ("apply", "/nowhere/x.yaml"): "cannot be read",
            ("apply", str(self.file), "--office", "a b"): "--office",
            ("apply", str(self.file), "--dry-run"): "Could not consume",
            ("applying",): "Could not consume",
        }
        for arguments, text in cases.items():
            with self.subTest(arguments):
                self.assertIn(text, self.run_command(ExitCode.INVALID, *arguments))
        self.assertEqual(
            json.loads(self.run_command(ExitCode.DONE, "list", "--output", "json")), []
        )

    def run_command(self, code: ExitCode, *arguments: str) -> str:
        """:return: the output of a command, after a check of its exit code"""
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            result = run(list(arguments))
        self.assertEqual(result, code, output.getvalue())
        self.assertNotIn("Traceback", output.getvalue())
        return output.getvalue()


class MessageTest(unittest.TestCase):
    """Decoding of responses of the operator port."""

    def test_decoding_restores_messages_and_ignores_unknown_keys(self) -> None:
        for message in (STATUS, RECORD, EXPLANATION):
            body = json.loads(json.dumps(attrs.asdict(message)))
            body["added_later"] = 1
            self.assertEqual(parse_message(type(message), body), message)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.recursive(
            st.none() | st.integers() | st.text(max_size=3),
            lambda inner: st.lists(inner, max_size=2)
            | st.dictionaries(
                st.sampled_from(["name", "role", "config", "agents", "ready"]), inner
            ),
        )
    )
    def test_parse_of_any_json_gives_message_or_invalid_response(self, body: object) -> None:
        with contextlib.suppress(InvalidResponse):
            self.assertIsInstance(parse_message(NodeStatus, body), NodeStatus)


def _build_handler(message: Any) -> Any:
    async def handle(request: web.Request) -> web.Response:
        if request.headers.get("Authorization") != f"Bearer {KEY}":
            raise web.HTTPUnauthorized
        return web.json_response(attrs.asdict(message))

    return handle


if __name__ == "__main__":
    unittest.main()
