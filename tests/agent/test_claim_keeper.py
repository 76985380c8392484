"""Tests of the claim keeper over the store in memory."""

from __future__ import annotations

import asyncio
import unittest

from boragetiller.agent.claim_keeper import StoreClaimKeeper
from boragetiller.agent.claims import KeyedCall, StoredAnswer
from boragetiller.clock import SystemClock
from boragetiller.errors import (
    BoragetillerError,
    KeyReused,
    NotOwner,
    OutcomeUnknown,
    ResponseNotStored,
)
from boragetiller.metrics import Metrics
from boragetiller.platform.hosts import Host, HostState
from boragetiller.platform.memory import MemoryStore
from boragetiller.platform.memory_hosts import MemoryHostList
from boragetiller.settings import (
    BackendKind,
    BackendSettings,
    ClaimSettings,
    ControlSettings,
    OperatorSettings,
    PlatformSettings,
    Role,
    Settings,
)

CLAIMS = ClaimSettings(
    memory_after_ms=600,
    renew_ms=100,
    commit_interval_ms=20,
    poll_ms=20,
    max_clock_skew_ms=10,
    commit_timeout_ms=3_000,
    rebalance_after_ms=50,
)
ANSWER = StoredAnswer(status=201, content_type="text/plain", body=b"booked")


def settings_of(name: str) -> Settings:
    """:return: settings of one agent with short intervals"""
    return Settings(
        role=Role.AGENT,
        name=name,
        failure_domain="fd-1",
        control=ControlSettings(key="control-key"),
        operator=OperatorSettings(key="operator-key"),
        platform=PlatformSettings(
            store_url="", host_list_url="", host_list_interval_ms=20, timeout_ms=200
        ),
        backend=BackendSettings(name="s", group="app", kind=BackendKind.SERVICE, url=""),
        claims=CLAIMS,
        tick_ms=10,
    )


def host(name: str, state: HostState = HostState.LIVE) -> Host:
    """:return: an agent of the group"""
    return Host(
        name=name,
        role="agent",
        address="127.0.0.1",
        data_port=1,
        control_port=1,
        failure_domain="fd-1",
        group="app",
        state=state,
    )


def call(key: str, body: str = "one", attempt: int = 1) -> KeyedCall:
    """:return: a call with a key"""
    return KeyedCall(
        customer="acme",
        group="app",
        key=key,
        fingerprint=body,
        request_id=f"r-{key}-{body}",
        attempt=attempt,
    )


class ClaimKeeperTest(unittest.IsolatedAsyncioTestCase):
    """Claims of one or two agents."""

    async def asyncSetUp(self) -> None:
        self.store = MemoryStore(SystemClock())
        self.hosts = MemoryHostList(SystemClock())
        self.keepers: list[StoreClaimKeeper] = []
        self.keeper = await self._start("a-1", 1)

    async def asyncTearDown(self) -> None:
        for keeper in self.keepers:
            await keeper.close()

    async def _start(self, name: str, incarnation: int) -> StoreClaimKeeper:
        self.hosts.put(host(name))
        keeper = StoreClaimKeeper(
            settings_of(name), self.store, self.hosts, incarnation, Metrics(), shard_count=4
        )
        self.keepers.append(keeper)
        await keeper.start()
        await self._until(lambda: keeper.table is not None and bool(keeper.table.listed))
        return keeper

    async def _until(self, condition: object) -> None:
        for _ in range(500):
            if condition():  # type: ignore[operator]
                return
            await asyncio.sleep(0.01)
        self.fail("the condition did not come true")

    async def _refused(self, keeper: StoreClaimKeeper, wanted: KeyedCall) -> BoragetillerError:
        with self.assertRaises(BoragetillerError) as caught:
            await keeper.claim(wanted)
        return caught.exception

    async def test_claim_finished_key_replays_its_answer(self) -> None:
        self.assertIsNone(await self.keeper.claim(call("k")))
        await self.keeper.finish(call("k"), ANSWER)
        self.assertEqual(await self.keeper.claim(call("k", attempt=2)), ANSWER)

    async def test_claim_other_body_is_refused(self) -> None:
        await self.keeper.claim(call("k"))
        self.assertIsInstance(await self._refused(self.keeper, call("k", "two")), KeyReused)

    async def test_claim_running_key_waits_for_the_answer(self) -> None:
        await self.keeper.claim(call("k"))
        second = asyncio.create_task(self.keeper.claim(call("k", attempt=2)))
        await asyncio.sleep(0)
        await self.keeper.finish(call("k"), ANSWER)
        self.assertEqual(await second, ANSWER)

    async def test_claim_lost_answer_is_unknown(self) -> None:
        await self.keeper.claim(call("k"))
        await self.keeper.finish(call("k"), None)
        self.assertIsInstance(await self._refused(self.keeper, call("k")), OutcomeUnknown)

    async def test_claim_abandoned_call_may_run_later(self) -> None:
        await self.keeper.claim(call("k"))
        await self.keeper.abandon(call("k"))
        self.assertIsNone(await self.keeper.claim(call("k", attempt=2)))

    async def test_claim_cancelled_call_leaves_the_key_free(self) -> None:
        await self.keeper.claim(call("first"))
        self.store.inject(outage=True)
        waiting = asyncio.create_task(self.keeper.claim(call("k")))
        await asyncio.sleep(0.05)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.store.inject(outage=False)
        self.assertIsNone(await self.keeper.claim(call("k", attempt=2)))

    async def test_claim_lost_replies_are_settled(self) -> None:
        self.store.inject(lose_replies=3)
        self.assertIsNone(await self.keeper.claim(call("k")))

    async def test_claim_outage_is_served_from_memory(self) -> None:
        await self.keeper.claim(call("before"))
        self.store.inject(outage=True)
        self.assertIsNone(await self.keeper.claim(call("k")))
        await self.keeper.finish(call("k"), ANSWER)
        self.store.inject(outage=False)
        self.assertEqual(await self.keeper.claim(call("k", attempt=2)), ANSWER)

    async def test_claim_restart_after_outage_is_uncertain(self) -> None:
        await self.keeper.claim(call("before"))
        self.store.inject(outage=True)
        await self.keeper.claim(call("k"))
        await self.keeper.close()
        self.store.inject(outage=False)
        restarted = await self._start("a-1", 2)
        self.assertIsInstance(await self._refused(restarted, call("k")), OutcomeUnknown)

    async def test_drain_moves_finished_keys_to_the_next_owner(self) -> None:
        other = await self._start("a-2", 7)
        await self._until(lambda: bool(other.owned_shards()) and bool(self.keeper.owned_shards()))
        await self.keeper.claim(self._key_of(self.keeper))
        await self.keeper.finish(self._key_of(self.keeper), ANSWER)
        wanted = self._key_of(self.keeper)
        self.hosts.put(host("a-1", HostState.LEAVING))
        await self.keeper.drain()
        self.assertIsInstance(await self._refused(self.keeper, wanted), NotOwner)
        await self._until(lambda: len(other.owned_shards()) == 4)
        self.assertIsInstance(await self._refused(other, wanted), ResponseNotStored)

    async def test_claim_other_agent_names_the_owner(self) -> None:
        other = await self._start("a-2", 7)
        await self._until(lambda: bool(other.owned_shards()) and bool(self.keeper.owned_shards()))
        error = await self._refused(other, self._key_of(self.keeper))
        self.assertEqual((error.code, error.owner), ("not_owner", "a-1"))

    def _key_of(self, keeper: StoreClaimKeeper) -> KeyedCall:
        for number in range(100):
            if keeper._shard_call(call(f"k-{number}")).shard in keeper.owned_shards():
                return call(f"k-{number}")
        raise AssertionError("no shard is owned")


if __name__ == "__main__":
    unittest.main()
