"""Hedged attempts through a router, at engines on loopback, and the policy file."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

from boragetiller.errors import SettingsInvalid
from boragetiller.gateway.policy_file import POLICY_VARIABLE, Policy, load_policy
from boragetiller.gateway.streams.version_journal import build_stream_key
from boragetiller.tables.hedging import HedgeShares, HedgingSettings
from tests.gateway.harness import RouterHarness, wait_until
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_event,
    build_stream_header,
)
from tests.gateway.test_streams import EVENTS, PROMPT, stream_all_events

if TYPE_CHECKING:
    from tests.gateway.scripted_engine import Script

POLICY = Policy(
    hedging=HedgingSettings(default=HedgeShares(request_share=0.5, prompt_token_share=0.5))
)


class HedgedRouterTest(unittest.IsolatedAsyncioTestCase):
    """The first attempt of the last call is silent; the others are answered."""

    async def serve(self, policy: Policy | None, service: str, *scripts: Script) -> RouterHarness:
        """Run the scripts in the order of the requests, at whichever server they arrive."""
        self.served = 0

        async def next_script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            script = scripts[min(self.served, len(scripts) - 1)]
            self.served += 1
            await script(request, writer)

        harness = RouterHarness(policy=policy)
        self.engines = [ScriptedEngine(next_script) for _ in range(2)]
        for number, engine in enumerate(self.engines):
            await engine.start()
            self.addAsyncCleanup(engine.close)
            harness.store.register(f"e{number}", engine, service, version=f"v{number}")
        await harness.start()
        self.addAsyncCleanup(harness.close)
        return harness

    async def test_events_and_head_are_those_of_the_winner(self) -> None:
        # Guards against the head of one engine before the events of another, and against a loser
        # that goes on working because its connection stays open.
        async def send_head_only(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(build_stream_header(request.request_id, seal="loser"))

        scripts = (stream_all_events, stream_all_events, send_head_only, stream_all_events)
        harness = await self.serve(POLICY, "engines", *scripts)
        for _ in range(2):
            async with harness.call("/gauges/", **PROMPT) as response:
                await response.read()
        async with harness.call("/gauges/", **PROMPT) as response:
            self.assertEqual(response.headers["X-Boragetiller-Response-Seal"], "seal-0")
            expected = b"".join(build_event(number) for number in range(1, EVENTS + 1))
            self.assertEqual(await response.read(), expected)
        self.assertEqual(self.served, 4)
        await wait_until(lambda: sum(engine.closed_connections for engine in self.engines))
        ejected = harness.router.registry.servers.by_name.values()
        self.assertEqual([server.health.failures for server in ejected], [0, 0])

    async def test_version_of_a_hedged_stream_is_that_of_the_winner(self) -> None:
        # Guards against a stream that is taken up at the version of the attempt that lost.
        hedged = asyncio.Event()
        winners: list[str] = []

        async def respond_after_the_hedge(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await hedged.wait()
            winners.append(request.headers["x-boragetiller-expect-instance"])
            await stream_all_events(request, writer)

        async def never_respond(_: ReceivedRequest, _writer: asyncio.StreamWriter) -> None:
            hedged.set()

        scripts = (stream_all_events, stream_all_events, respond_after_the_hedge, never_respond)
        harness = await self.serve(POLICY, "engines", *scripts)
        for _ in range(2):
            async with harness.call("/gauges/", **PROMPT) as response:
                await response.read()
        async with harness.call(
            "/gauges/", **PROMPT, X_Boragetiller_Attempt_Id="hedged"
        ) as response:
            await response.read()
        registry = harness.router.registry
        expected = registry.servers.by_name[winners[0]].record.software_version
        origin = registry.stream_origins.find("hedged")
        assert origin is not None
        self.assertEqual(origin.version, expected)
        key, history = build_stream_key("engines", "hedged"), harness.store.history
        await wait_until(lambda: any(item.key.startswith(key) for item in history))
        recorded = {item.value for item in history if item.key.startswith(key)}
        self.assertEqual(recorded, {expected.encode()})


class PolicyFileTest(unittest.TestCase):
    """Values of the policy file."""

    def load(self, text: str) -> Policy:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "policy.yaml")
            path.write_text(text, encoding="utf-8")
            return load_policy({POLICY_VARIABLE: str(path)})

    def test_routes_inherit_what_they_do_not_set(self) -> None:
        # Guards against a limit that holds for one kind of request only.
        text = "hedging: {request_share: 0.05, routes: {stock: {prompt_token_share: 0.5}}}"
        hedging = self.load(text).hedging
        assert hedging is not None
        self.assertEqual(hedging.get_shares("other"), HedgeShares(request_share=0.05))
        expected = HedgeShares(request_share=0.05, prompt_token_share=0.5)
        self.assertEqual(hedging.get_shares("stock"), expected)
        self.assertEqual(load_policy({}), Policy())

    def test_error_names_the_value_and_what_is_allowed(self) -> None:
        # Guards against a wrong limit that takes effect, and against errors that do not help.
        for text, value, allowed in (
            ("hedging: {request_share: 0.51}", "0.51", "0 to 0.5"),
            ("hedging: {request_share: -0.1}", "-0.1", "0 to 0.5"),
            ("hedging: {prompt_token_share: .nan}", "nan", "0 to 0.5"),
            ("hedging: {prompt_token_share: true}", "True", "0 to 0.5"),
            ("hedging: {routes: {stock: {request_share: x}}}", "stock.request_share", "0 to 0.5"),
            ("hedging: {share: 0.1}", "share", "request_share"),
            ("hedging: 5", "5", "mapping"),
            ("operator: {key: short}", "operator.key", "at least 16"),
            ("hedging: [", "YAML", "policy.yaml"),
        ):
            with self.subTest(text=text), self.assertRaises(SettingsInvalid) as raised:
                self.load(text)
            self.assertIn(value, str(raised.exception))
            self.assertIn(allowed, str(raised.exception))
        with self.assertRaises(SettingsInvalid):
            load_policy({POLICY_VARIABLE: "/nonexistent/policy.yaml"})


if __name__ == "__main__":
    unittest.main()
