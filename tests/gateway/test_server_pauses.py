"""Backend servers that answer 503 with `Retry-After` and want nothing from a router for so long."""

from __future__ import annotations

import asyncio
import unittest
from functools import partial
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from boragetiller.clock import SystemClock
from tests.gateway.harness import (
    WAIT_TIMEOUT_S,
    FakeStore,
    RouterHarness,
    build_config,
    wait_until,
)
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_response,
    reset,
)
from tests.gateway.test_hedged_streams import POLICY
from tests.gateway.test_streams import (
    EVENTS,
    PROMPT,
    stream_all_events,
    stream_partially_and_reset,
)

if TYPE_CHECKING:
    from boragetiller.gateway.policy_file import Policy

REFUSED = "503 Service Unavailable"
NOT_RUN = "X-Boragetiller-Not-Executed: 1\r\n"
LONG_S = 60  # longer than any of the tests
CALLS = 99


class PausingServer(ScriptedEngine):
    """Answers each request, or refuses it and asks for a pause."""

    def __init__(self) -> None:
        """Create a server that asks for none."""
        super().__init__(self.respond)
        self.retry_after: str | None = None  # text of the header while requests are refused
        self.extra = NOT_RUN
        self.silent = False
        self.breaks = False  # the connection, after a part of a stream

    def build_refusal(self, request_id: str) -> bytes:
        """:return: a refusal that asks for a pause"""
        extra = f"Retry-After: {self.retry_after}\r\n{self.extra}"
        return build_response(request_id, status=REFUSED, extra=extra)

    async def respond(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Respond to a request."""
        if self.silent:
            return
        if self.retry_after is not None:
            writer.write(self.build_refusal(request.request_id))
        elif "/gauges/" in request.path and self.breaks and "last-event-id" not in request.headers:
            await stream_partially_and_reset(request, writer)
        elif "/gauges/" in request.path:
            await stream_all_events(request, writer)
        elif self.breaks:
            reset(writer)
        else:
            writer.write(build_response(request.request_id))


class ServerPauseTest(unittest.IsolatedAsyncioTestCase):
    """A router before servers of one group; most tests let the first one ask for a pause."""

    calls = 0

    async def serve(
        self, count: int, service: str = "shop", policy: Policy | None = None, **settings: Any
    ) -> RouterHarness:
        self.servers = {name: PausingServer() for name in "abcdef"[:count]}
        for server in self.servers.values():
            await server.start()
            self.addAsyncCleanup(server.close)
        self.router = await self.start_router(service, policy, **settings)
        return self.router

    async def start_router(
        self, service: str = "shop", policy: Policy | None = None, **settings: Any
    ) -> RouterHarness:
        store = FakeStore()
        store.put("op/config", build_config())
        for name, server in self.servers.items():
            store.register(name, server, service, born=1)
        harness = RouterHarness(store, policy=policy, **settings)
        await harness.start()
        self.addAsyncCleanup(harness.close)
        return harness

    async def call(
        self, path: str = "/stock/1", method: str = "GET", router: RouterHarness | None = None
    ) -> tuple[int, bytes, float]:
        """:return: status, body and Retry-After in seconds, 0 if there is none"""
        self.calls += 1
        parts = {"X_Boragetiller_Prefix_Hash": f"part{self.calls}:800,own:100"}
        headers = PROMPT | parts if path == "/gauges/" else {}
        async with (router or self.router).call(path, method, **headers) as response:
            body = await response.read()
            return response.status, body, float(response.headers.get("Retry-After", 0))

    async def begin_pause(self, path: str = "/stock/1", retry_after: str = f"{LONG_S}") -> None:
        """Let the first server refuse a call, with a pause."""
        server = self.servers["a"]
        server.retry_after = retry_after
        await self.call_until(server, path)
        for each in self.servers.values():
            each.requests.clear()
        server.retry_after = None
        refused = self.router.router.registry.servers.by_name["a"]
        await wait_until(lambda: refused.full_until_ms <= SystemClock().now_ms())

    async def call_often(self, path: str = "/stock/1") -> set[int]:
        """:return: statuses of some calls"""
        statuses = set()
        for _ in range(30):
            status, body, _ = await self.call(path)
            statuses.add(status)
            if path == "/gauges/" and status == 200:
                self.assertEqual(body.count(b"id: "), EVENTS)
        return statuses

    async def call_until(
        self, server: PausingServer, path: str = "/stock/1", router: RouterHarness | None = None
    ) -> set[int]:
        """:return: statuses of the calls until one reached the server"""
        statuses = set()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not server.requests:
                statuses.add((await self.call(path, router=router))[0])
                await asyncio.sleep(0.002)
        return statuses

    async def drain_second(self) -> None:
        """Leave only the first server to choose."""
        self.router.store.register("b", self.servers["b"], "shop", born=1, seq=2, state="draining")
        servers = self.router.router.registry.servers
        await wait_until(
            lambda: [each.name for each in servers.find_accepting("shop").servers] == ["a"]
        )

    def assert_avoided(self, name: str = "a") -> None:
        self.assertEqual(len(self.servers[name].requests), 0, "requests reached it in its pause")

    async def test_calls_that_reach_a_server_in_its_pause(self) -> None:
        for extra in (NOT_RUN, ""):
            with self.subTest(extra=extra):
                await self.serve(2)
                self.servers["a"].extra, self.servers["a"].retry_after = extra, f"{LONG_S}"
                statuses = [(await self.call())[0] for _ in range(CALLS)]
                failed = sum(status != 200 for status in statuses)
                self.assertEqual((len(self.servers["a"].requests), failed), (1, 0))

    async def test_retries_that_reach_a_server_in_its_pause(self) -> None:
        await self.serve(3)
        await self.begin_pause()
        self.servers["b"].breaks = True
        self.assertEqual(await self.call_often(), {200})
        self.assertTrue(self.servers["b"].requests)
        self.assert_avoided()

    async def test_hedges_that_reach_a_server_in_its_pause(self) -> None:
        for policy in (None, POLICY):
            with self.subTest(policy=policy):
                await self.serve(3, policy=policy)
                await self.begin_pause()
                await self.call_often()  # of which some may be hedged within the limits
                self.servers["b"].requests.clear()
                self.servers["b"].silent = True
                self.assertEqual(await self.call_until(self.servers["b"]), {200})
                self.assert_avoided()

    async def test_streams_that_go_on_at_a_server_in_its_pause(self) -> None:
        # The first engine that is chosen asks for the pause; the others break each stream once.
        await self.serve(3, "engines", retry_ratio=1.0)
        refused: list[PausingServer] = []

        async def refuse_first(
            server: PausingServer, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            if refused:
                await server.respond(request, writer)
                return
            refused.append(server)
            server.retry_after = f"{LONG_S}"
            writer.write(server.build_refusal(request.request_id))
            server.retry_after = None

        for server in self.servers.values():
            server.breaks = True
            server.script = partial(refuse_first, server)
        self.assertEqual(await self.call_often("/gauges/"), {200})
        self.assertEqual(len(refused[0].requests), 1)

    async def test_longest_of_the_pauses_that_concurrent_refusals_bring(self) -> None:
        await self.serve(1)
        refusing, server = asyncio.Event(), self.servers["a"]

        async def refuse(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await refusing.wait()
            server.retry_after = f"{LONG_S}" if request.path == "/stock/0" else "0.001"
            writer.write(server.build_refusal(request.request_id))

        server.script = refuse
        calls = [asyncio.create_task(self.call(f"/stock/{number}")) for number in range(12)]
        await wait_until(lambda: len(server.requests) == len(calls))
        refusing.set()
        await asyncio.gather(*calls)
        server.requests.clear()
        for _ in range(6):
            self.assertEqual((await self.call())[0], 503)
        self.assert_avoided()

    async def test_call_that_was_placed_before_the_pause_is_sent_in_it(self) -> None:
        # The connection for the first call is made only after the server has asked for the pause.
        for path, method in (("/stock/1", "GET"), ("/reserve/1", "POST")):
            with self.subTest(path=path):
                await self.serve(1, retry_ratio=0.0, retry_slack=0.0)
                registry = self.router.router.registry
                connector = registry.get_client(registry.servers.by_name["a"])._session.connector
                connect, placed, released = connector.connect, asyncio.Event(), asyncio.Event()

                async def connect_late(
                    *args: Any,
                    connect: Any = connect,
                    placed: asyncio.Event = placed,
                    released: asyncio.Event = released,
                    **kwargs: Any,
                ) -> Any:
                    if not placed.is_set():
                        placed.set()
                        await released.wait()
                    return await connect(*args, **kwargs)

                with patch.object(connector, "connect", connect_late):
                    first = asyncio.create_task(self.call(path, method))
                    await wait_until(placed.is_set)
                    await self.begin_pause("/stock/2")
                    other = self.servers["b"] = PausingServer()
                    await other.start()
                    self.addAsyncCleanup(other.close)
                    self.router.store.register("b", other, "shop", born=1)
                    await wait_until(lambda names=registry.servers.by_name: "b" in names)
                    released.set()
                    self.assertEqual((await first)[0], 200)
                self.assert_avoided()
                self.assertEqual([request.path for request in other.requests], [path])

    async def test_pause_in_an_answer_to_an_earlier_call_counts(self) -> None:
        await self.serve(2)
        server = self.servers["a"]

        async def answer_twice(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            server.retry_after = f"{LONG_S}"
            writer.write(server.build_refusal("earlier") + build_response(request.request_id))

        server.script = answer_twice
        statuses = [(await self.call())[0] for _ in range(20)]
        self.assertEqual((statuses, len(server.requests)), ([200] * 20, 1))

    async def test_pause_in_an_answer_to_a_status_call_counts(self) -> None:
        self.servers = {name: PausingServer() for name in "ab"}
        server = self.servers["a"]
        server.retry_after = f"{LONG_S}"
        server.cache_response = server.build_refusal("").replace(
            b"X-Boragetiller-Attempt-Id: \r\n", b""
        )
        for each in self.servers.values():
            await each.start()
            self.addAsyncCleanup(each.close)
        self.router = await self.start_router("engines")
        await wait_until(lambda: server.cache_reads)
        # The list is answered by now; a call to each server shows that it was read too.
        statuses = [(await self.call("/gauges/"))[0] for _ in range(20)]
        self.assertEqual(statuses, [200] * 20)
        self.assertLessEqual(len(server.requests), 1)

    async def test_group_that_pauses_whole_names_the_end_of_the_first_pause(self) -> None:
        await self.serve(2)
        self.servers["a"].retry_after, self.servers["b"].retry_after = f"{LONG_S}", "40"
        await self.call()
        for path, method in (("/stock/1", "GET"), ("/reserve/1", "POST")):
            refusals = [await self.call(path, method) for _ in range(8)]
            self.assertEqual({status for status, _, _ in refusals}, {503})
            self.assertTrue(all(b'"paused"' in body for _, body, _ in refusals), refusals)
            times_s = [retry_after_s for _, _, retry_after_s in refusals]
            self.assertGreater(min(times_s), 30)
            self.assertLess(max(times_s), LONG_S)
            self.assertGreater(len(set(times_s)), 1, "all callers return in the same instant")
        self.assertEqual([len(server.requests) for server in self.servers.values()], [1, 1])

    async def test_stream_that_only_servers_in_their_pause_may_go_on_with(self) -> None:
        # Guards against a resumption at another version, and against a refusal for lack of servers.
        await self.serve(2, "engines")
        first, second = self.servers.values()
        self.router.store.register("b", second, "engines", born=1, seq=2, version="v2")
        versions = self.router.router.registry.servers
        await wait_until(lambda: len(versions.find_versions("engines")) > 1)
        began = {"X_Boragetiller_Attempt_Id": "began"}
        async with self.router.call("/gauges/", **PROMPT, **began) as response:
            await response.read()
        server, other = (first, second) if first.requests else (second, first)
        server.retry_after = f"{LONG_S}"
        before = len(other.requests)
        for _ in range(5):
            headers = PROMPT | {"Last_Event_Id": "2", "Resumes": "began"}
            async with self.router.call("/gauges/", **headers) as response:
                self.assertEqual(response.status, 503)
                self.assertGreater(float(response.headers["Retry-After"]), LONG_S / 2)
                self.assertIn(b'"paused"', await response.read())
        self.assertEqual((len(server.requests), len(other.requests)), (2, before))

    async def test_more_servers_pause_than_refusals_end_a_call(self) -> None:
        await self.serve(6)
        for server in list(self.servers.values())[:-1]:
            server.retry_after = f"{LONG_S}"
        statuses = [(await self.call())[0] for _ in range(CALLS)]
        self.assertEqual(statuses, [200] * CALLS)
        self.assertEqual([len(server.requests) for server in self.servers.values()][:-1], [1] * 5)

    async def test_values_that_are_no_pause(self) -> None:
        await self.serve(2)
        for text in (
            "-1",
            "nan",
            "1e999",
            "Wed, 21 Oct 2026 07:28:00 GMT",
            "",
            "60\r\nRetry-After: 9",
        ):
            with self.subTest(text=text):
                server = self.servers["a"]
                server.requests.clear()
                server.retry_after = text
                statuses = await self.call_until(server)
                server.retry_after = None
                server.requests.clear()
                self.assertEqual(statuses | await self.call_until(server), {200})

    async def test_answer_of_another_instance_is_no_pause(self) -> None:
        await self.serve(2)
        self.servers["a"].extra = "X-Boragetiller-Instance-Id: other\r\n" + NOT_RUN
        await self.begin_pause()
        self.assertEqual(await self.call_until(self.servers["a"]), {200})

    async def test_server_is_used_after_its_pause(self) -> None:
        await self.serve(2)
        await self.begin_pause(retry_after="0.2")
        self.assertEqual(await self.call_until(self.servers["a"]), {200})

    async def test_next_incarnation_does_not_pause(self) -> None:
        await self.serve(2)
        await self.begin_pause()
        self.router.store.register("a", self.servers["a"], "shop", born=2)
        await self.drain_second()
        self.assertEqual((await self.call())[0], 200)
        self.assertTrue(self.servers["a"].requests)

    async def test_incarnation_that_is_listed_again_still_pauses(self) -> None:
        await self.serve(2)
        await self.begin_pause()
        store, by_name = self.router.store, self.router.router.registry.servers.by_name
        store.remove("servers/a")
        await wait_until(lambda: "a" not in by_name)
        store.register("a", self.servers["a"], "shop", born=1, seq=2)
        await self.drain_second()
        self.assertEqual((await self.call())[0], 503)
        self.assert_avoided()

    async def test_pause_does_not_hold_for_another_router(self) -> None:
        await self.serve(2)
        endpoint = self.router.router.peer_exchange.endpoint
        other = await self.start_router(name="router-2", seeds=(endpoint,))
        await wait_until(lambda: self.router.router.state_sync.peer_names)
        await self.begin_pause()
        self.assertEqual((await self.call())[0], 200)
        self.assert_avoided()
        self.assertEqual(await self.call_until(self.servers["a"], router=other), {200})


if __name__ == "__main__":
    unittest.main()
