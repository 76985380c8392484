"""Tests of the claim registry with an in-memory store."""

from __future__ import annotations

import asyncio
import unittest

from boragetiller.agent.claims import KeyedCall, StoredResponse
from boragetiller.agent.shard_store import read_era_age_ms, read_shard_count
from boragetiller.agent.store_claims import StoreClaimRegistry
from boragetiller.clock import SystemClock, WallClock
from boragetiller.errors import (
    BoragetillerError,
    KeyReused,
    NotOwner,
    OutcomeUnknown,
    ResponseNotStored,
    StoreUnavailable,
)
from boragetiller.metrics import Metrics
from boragetiller.platform_clients.hosts import Host, HostState
from boragetiller.platform_clients.memory_hosts import MemoryHostList
from boragetiller.platform_clients.memory_store import MemoryStore
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
RESPONSE = StoredResponse(status=201, content_type="text/plain", body=b"booked")


def build_settings(name: str) -> Settings:
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


def build_host(name: str, state: HostState = HostState.LIVE) -> Host:
    """:return: entry of the host list for an agent of the group"""
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


def build_call(key: str, body: str = "one", attempt: int = 1) -> KeyedCall:
    """:return: a call with an idempotency key"""
    return KeyedCall(
        customer="acme",
        group="app",
        key=key,
        fingerprint=body,
        request_id=f"r-{key}-{body}",
        attempt=attempt,
    )


class ClaimRegistryTest(unittest.IsolatedAsyncioTestCase):
    """Claims of one or two agents."""

    async def asyncSetUp(self) -> None:
        self.store = MemoryStore(SystemClock())
        self.hosts = MemoryHostList(SystemClock())
        self.registries: list[StoreClaimRegistry] = []
        self.registry = await self._start("a-1", 1)

    async def asyncTearDown(self) -> None:
        for registry in self.registries:
            await registry.close()

    async def _start(self, name: str, incarnation: int) -> StoreClaimRegistry:
        self.hosts.put(build_host(name))
        registry = StoreClaimRegistry(
            build_settings(name), self.store, self.hosts, incarnation, Metrics(), shard_count=4
        )
        self.registries.append(registry)
        await registry.start()
        await self._wait_until(
            lambda: registry.table is not None and bool(registry.table.listed_hosts)
        )
        return registry

    async def _wait_until(self, condition: object) -> None:
        for _ in range(500):
            if condition():  # type: ignore[operator]
                return
            await asyncio.sleep(0.01)
        self.fail("condition not met within 5 s")

    async def _refused(self, registry: StoreClaimRegistry, claimed: KeyedCall) -> BoragetillerError:
        with self.assertRaises(BoragetillerError) as caught:
            await registry.claim(claimed)
        return caught.exception

    async def test_claim_of_finished_key_replays_its_response(self) -> None:
        self.assertIsNone(await self.registry.claim(build_call("k")))
        await self.registry.finish(build_call("k"), RESPONSE)
        self.assertEqual(await self.registry.claim(build_call("k", attempt=2)), RESPONSE)

    async def test_claim_with_other_body_is_refused(self) -> None:
        await self.registry.claim(build_call("k"))
        self.assertIsInstance(await self._refused(self.registry, build_call("k", "two")), KeyReused)

    async def test_claim_of_running_key_waits_for_its_response(self) -> None:
        await self.registry.claim(build_call("k"))
        second = asyncio.create_task(self.registry.claim(build_call("k", attempt=2)))
        await asyncio.sleep(0)
        await self.registry.finish(build_call("k"), RESPONSE)
        self.assertEqual(await second, RESPONSE)

    async def test_claim_after_lost_response_has_unknown_outcome(self) -> None:
        await self.registry.claim(build_call("k"))
        await self.registry.finish(build_call("k"), None)
        self.assertIsInstance(await self._refused(self.registry, build_call("k")), OutcomeUnknown)

    async def test_claim_of_abandoned_call_may_run_later(self) -> None:
        await self.registry.claim(build_call("k"))
        await self.registry.abandon(build_call("k"))
        self.assertIsNone(await self.registry.claim(build_call("k", attempt=2)))

    async def test_cancelled_call_releases_its_key(self) -> None:
        await self.registry.claim(build_call("first"))
        self.store.inject_faults(outage=True)
        waiting = asyncio.create_task(self.registry.claim(build_call("k")))
        await asyncio.sleep(0.05)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.store.inject_faults(outage=False)
        self.assertIsNone(await self.registry.claim(build_call("k", attempt=2)))

    async def test_claim_is_committed_after_lost_store_replies(self) -> None:
        self.store.inject_faults(lose_replies=3)
        self.assertIsNone(await self.registry.claim(build_call("k")))

    async def test_claim_is_served_from_memory_during_store_outage(self) -> None:
        await self.registry.claim(build_call("before"))
        self.store.inject_faults(outage=True)
        self.assertIsNone(await self.registry.claim(build_call("k")))
        await self.registry.finish(build_call("k"), RESPONSE)
        self.store.inject_faults(outage=False)
        self.assertEqual(await self.registry.claim(build_call("k", attempt=2)), RESPONSE)

    async def test_claim_after_restart_in_outage_has_unknown_outcome(self) -> None:
        await self.registry.claim(build_call("before"))
        self.store.inject_faults(outage=True)
        await self.registry.claim(build_call("k"))
        await self.registry.close()
        self.store.inject_faults(outage=False)
        restarted = await self._start("a-1", 2)
        self.assertIsInstance(await self._refused(restarted, build_call("k")), OutcomeUnknown)

    async def test_key_claimed_before_a_restore_replays_and_new_keys_run(self) -> None:
        copy = self.store.copy()
        self.assertIsNone(await self.registry.claim(build_call("k")))
        await self.registry.finish(build_call("k"), RESPONSE)
        self.store.restore(copy)
        self.assertIsNone(await self.registry.claim(build_call("new")))
        self.assertEqual(await self.registry.claim(build_call("k", attempt=2)), RESPONSE)

    async def test_agent_started_after_a_restore_runs_no_key_of_a_page_that_is_missing(
        self,
    ) -> None:
        copy = self.store.copy()
        await self.registry.claim(build_call("k"))
        await self.registry.close()
        self.hosts.remove("a-1")
        self.store.restore(copy)
        second = await self._start("a-2", 1)
        self.assertIsInstance(await self._refused(second, build_call("k")), OutcomeUnknown)
        horizon_ms = CLAIMS.retry_horizon_ms + CLAIMS.max_call_age_ms
        self.assertLess(await read_era_age_ms(self.store, WallClock().now_ms()), horizon_ms)

    async def test_unreadable_mark_of_an_era_is_replaced(self) -> None:
        await self.registry.close()
        self.store.restore(self.store.copy())
        entry = await self.store.get("claims/era")
        revision = entry.revision if entry is not None else 0
        for mark in (b"?", b"5", b'{"era": 1e999, "since_wall_ms": 1}', b"[" * 5_000):
            revision = await self.store.put("claims/era", mark, expected_revision=revision)
            self.assertEqual(await read_era_age_ms(self.store, 5_000), 0)
            self.assertEqual(await read_era_age_ms(self.store, 6_000), 1_000)
            entry = await self.store.get("claims/era")
            revision = entry.revision

    async def test_unreadable_number_of_shards_is_not_used(self) -> None:
        # Guards against an agent whose task ends at the number, or whose memory is filled by it.
        for value in (b"", b"x", b"-1", b"0", b"1_0", b"9" * 5_000, b"65537", b"\xb2"):
            key = f"claims/group-{value[:4].hex()}"
            await self.store.put(f"{key}/shards", value, expected_revision=0)
            with self.subTest(value=value[:9]), self.assertRaises(StoreUnavailable):
                await read_shard_count(self.store, key.removeprefix("claims/"), 16)

    async def test_drain_moves_finished_keys_to_the_next_owner(self) -> None:
        other = await self._start("a-2", 7)
        await self._wait_until(
            lambda: bool(other.owned_shards()) and bool(self.registry.owned_shards())
        )
        await self.registry.claim(self._find_owned_call(self.registry))
        await self.registry.finish(self._find_owned_call(self.registry), RESPONSE)
        moved_call = self._find_owned_call(self.registry)
        self.hosts.put(build_host("a-1", HostState.LEAVING))
        await self.registry.drain()
        self.assertIsInstance(await self._refused(self.registry, moved_call), NotOwner)
        await self._wait_until(lambda: len(other.owned_shards()) == 4)
        self.assertIsInstance(await self._refused(other, moved_call), ResponseNotStored)

    async def test_claim_at_other_agent_names_the_owner(self) -> None:
        other = await self._start("a-2", 7)
        await self._wait_until(
            lambda: bool(other.owned_shards()) and bool(self.registry.owned_shards())
        )
        error = await self._refused(other, self._find_owned_call(self.registry))
        self.assertEqual((error.code, error.owner), ("not_owner", "a-1"))

    def _find_owned_call(self, registry: StoreClaimRegistry) -> KeyedCall:
        for number in range(100):
            if (
                registry._build_shard_call(build_call(f"k-{number}")).shard
                in registry.owned_shards()
            ):
                return build_call(f"k-{number}")
        raise AssertionError("no shard is owned")


if __name__ == "__main__":
    unittest.main()
