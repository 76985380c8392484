"""Backend servers that say in their responses that they are leaving."""

from __future__ import annotations

import asyncio
import time
import unittest

from tests.gateway.harness import FakeStore, RouterHarness, build_config, wait_until
from tests.gateway.scripted_engine import ReceivedRequest, ScriptedEngine, build_response

DRAIN_S = 2.0  # of the harness's settings
CALL_INTERVAL_S = 0.05


class LeavingServer(ScriptedEngine):
    """Responds to each request, and says in the header whether it is leaving."""

    def __init__(self) -> None:
        """Create a server that is not leaving."""
        super().__init__(self._respond)
        self.leaving = False
        self.said_s: float | None = None  # monotonic time of the first response that said so
        self.late = 0  # requests that arrived more than DRAIN_S after that
        self.status = "200 OK"

    async def _respond(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        now_s = time.monotonic()
        self.late += self.said_s is not None and now_s - self.said_s > DRAIN_S
        extra = ""
        if self.leaving:
            extra = "Server-Leaving: 1\r\nConnection: close\r\n"
            self.said_s = self.said_s or now_s
        if not self.status.startswith("200"):
            extra += "X-Boragetiller-Not-Executed: 1\r\n"
        writer.write(build_response(request.request_id, status=self.status, extra=extra))


def list_accepting(router: RouterHarness) -> set[str]:
    """:return: names of the servers that get new requests from a router"""
    group = router.router.registry.servers.find_accepting("shop")
    return {server.name for server in group.servers}


class LeavingServerTest(unittest.IsolatedAsyncioTestCase):
    """Two routers that report to each other, before two servers; the first one leaves."""

    async def asyncSetUp(self) -> None:
        self.stores = (FakeStore(), FakeStore())
        self.servers = {"a": LeavingServer(), "b": LeavingServer()}
        self.routers: list[RouterHarness] = []
        for server in self.servers.values():
            await server.start()
            self.addAsyncCleanup(server.close)
        for number, store in enumerate(self.stores):
            store.put("op/config", build_config())
            for name, server in self.servers.items():
                store.register(name, server, "shop", born=1)
            seeds = tuple(each.router.peer_exchange.endpoint for each in self.routers)
            harness = RouterHarness(store, name=f"router-{number}", seeds=seeds)
            await harness.start()
            self.addAsyncCleanup(harness.close)
            self.routers.append(harness)
        peers = [harness.router.state_sync.peer_names for harness in self.routers]
        await wait_until(lambda: all(peers))

    async def call_for(self, router: RouterHarness, seconds: float) -> set[int]:
        """Call at intervals; return the statuses."""
        statuses, end_s = set(), time.monotonic() + seconds
        while time.monotonic() < end_s:
            async with router.call("/stock/1", "GET") as response:
                statuses.add(response.status)
            await asyncio.sleep(CALL_INTERVAL_S)
        return statuses

    def register_again(self, name: str, **fields: object) -> None:
        """Let the server write its entry again, in both stores."""
        for store in self.stores:
            store.register(name, self.servers[name], "shop", **fields)

    async def wait_until_avoided(self, router: RouterHarness, name: str) -> None:
        """Wait until a router sends nothing new to a server."""
        await wait_until(lambda: name not in list_accepting(router))

    async def test_server_that_says_in_responses_that_it_leaves_gets_no_late_requests(self) -> None:
        self.servers["a"].leaving = True
        statuses = await self.call_for(self.routers[0], DRAIN_S / 2)
        self.register_again("a", born=1, seq=2)  # a heartbeat that still says `ready`
        statuses |= await self.call_for(self.routers[0], DRAIN_S)
        self.assertIsNotNone(self.servers["a"].said_s)
        self.assertEqual((self.servers["a"].late, statuses), (0, {200}))

    async def test_it_holds_while_the_store_is_down(self) -> None:
        for store in self.stores:
            store.down = True
        self.servers["a"].leaving = True
        await self.call_for(self.routers[0], 1.5 * DRAIN_S)
        self.assertIsNotNone(self.servers["a"].said_s)
        self.assertEqual(self.servers["a"].late, 0)

    async def test_refusal_that_says_it_counts_too(self) -> None:
        self.servers["a"].leaving, self.servers["a"].status = True, "503 Service Unavailable"
        statuses = await self.call_for(self.routers[0], 1.5 * DRAIN_S)
        self.assertIsNotNone(self.servers["a"].said_s)
        self.assertEqual((self.servers["a"].late, statuses), (0, {200}))

    async def test_peers_learn_it(self) -> None:
        self.servers["a"].leaving = True
        await self.call_for(self.routers[0], 0.5)
        self.assertIsNotNone(self.servers["a"].said_s)
        await self.wait_until_avoided(self.routers[1], "a")
        received = len(self.servers["a"].requests)
        await self.call_for(self.routers[1], 0.5)
        self.assertEqual(len(self.servers["a"].requests), received)

    async def test_peer_that_connects_later_learns_it(self) -> None:
        self.servers["a"].leaving = True
        await self.call_for(self.routers[0], 0.5)
        late = RouterHarness(
            self.stores[0],
            name="router-9",
            seeds=(self.routers[0].router.peer_exchange.endpoint,),
        )
        await late.start()
        self.addAsyncCleanup(late.close)
        await self.wait_until_avoided(late, "a")
        received = len(self.servers["a"].requests)
        await self.call_for(late, 0.5)
        self.assertEqual(len(self.servers["a"].requests), received)

    async def test_next_incarnation_is_used_again(self) -> None:
        self.servers["a"].leaving = True
        await self.call_for(self.routers[0], 0.5)
        self.servers["a"].leaving, self.servers["a"].said_s = False, None
        await self.wait_until_avoided(self.routers[0], "a")
        self.register_again("a", born=2)
        await wait_until(lambda: "a" in list_accepting(self.routers[0]))

    async def test_relisted_server_without_a_start_time_is_used_again(self) -> None:
        self.register_again("a")
        registry = self.routers[0].router.registry
        await wait_until(lambda: not registry.servers.by_name["a"].record.started_ms)
        self.routers[0].router.state_sync.record_leaving(registry.servers.by_name["a"])
        await self.wait_until_avoided(self.routers[0], "a")
        for store in self.stores:
            store.remove("servers/a")
        await wait_until(lambda: "a" not in registry.servers.by_name)
        self.register_again("a")
        await wait_until(lambda: "a" in list_accepting(self.routers[0]))

    async def test_group_whose_servers_all_leave_refuses_truly(self) -> None:
        for server in self.servers.values():
            server.leaving = True
        await self.call_for(self.routers[0], 1.0)
        async with self.routers[0].call("/stock/1", "GET") as response:
            self.assertEqual(response.status, 503)
            self.assertIn("Retry-After", response.headers)


if __name__ == "__main__":
    unittest.main()
