"""Claims of idempotency keys in the platform's store, shared by the agents of a group."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from hashlib import blake2b
from typing import TYPE_CHECKING

from boragetiller.agent.shard_store import ShardStore, read_era_age_ms, read_shard_count
from boragetiller.clock import SystemClock, WallClock
from boragetiller.errors import NotOwner, OutcomeUnknown, StoreUnavailable
from boragetiller.platform_clients.hosts import HostState
from boragetiller.systems import shards
from boragetiller.systems.shard_restores import get_uncertain_period_ms
from boragetiller.tables.claims import DIGEST_BYTES, FINGERPRINT_BYTES, ShardCall
from boragetiller.tables.shard_actions import RefuseCall, ReplayResponse, RunCall, ShardAction

if TYPE_CHECKING:

    from boragetiller.agent.claims import KeyedCall, StoredResponse
    from boragetiller.clock import Clock
    from boragetiller.metrics import Metrics
    from boragetiller.platform_clients.hosts import Host, HostList
    from boragetiller.platform_clients.store import Store
    from boragetiller.settings import Settings
    from boragetiller.tables.shards import ShardTable

DRAIN_POLL_MS = 20


class StoreClaimRegistry:
    """Owns shards of one group and claims their keys; see :class:`ClaimRegistry`."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        hosts: HostList,
        incarnation: int,
        metrics: Metrics,
        *,
        clock: Clock | None = None,
        wall_clock: Clock | None = None,
        shard_count: int = 16,
    ) -> None:
        """
        Create a registry that :meth:`start` runs.

        :param settings: settings of the agent
        :param store: the platform's store
        :param hosts: the platform's host list
        :param incarnation: incarnation of this process
        :param metrics: counters
        :param clock: monotonic time
        :param wall_clock: wall-clock time
        :param shard_count: number of shards of a group that has none yet
        """
        assert settings.backend is not None
        self._settings = settings.claims
        self._name = settings.name
        self._group = settings.backend.group
        self._tick_s = settings.tick_ms / 1_000
        self._poll_s = settings.platform.host_list_interval_ms / 1_000
        self._timeout_s = settings.platform.timeout_ms / 1_000
        self._store = store
        self._hosts = hosts
        self._incarnation = incarnation
        self._metrics = metrics
        self._clock = clock or SystemClock()
        self._wall = wall_clock or WallClock()
        self._shard_count = shard_count
        self._marked_era = 0  # newest era that is known to be marked in the store
        self.table: ShardTable | None = None
        self._shard_store: ShardStore | None = None
        self._calls: dict[int, asyncio.Future[StoredResponse | None]] = {}
        self._running: dict[KeyedCall, ShardCall] = {}
        self._next_call = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start to take ownership of shards once the store and the host list are available."""
        self._tasks = [
            asyncio.create_task(self._run_ticks()),
            asyncio.create_task(self._run_host_list()),
        ]

    async def drain(self) -> None:
        """Commit remaining claims and release every shard, within the release timeout."""
        if self.table is None:
            return
        shards.begin_drain(self.table)
        polls = max(1, self._settings.release_timeout_ms // DRAIN_POLL_MS)
        for _ in range(polls):
            self._tick()
            if shards.is_drained(self.table):
                return
            await asyncio.sleep(DRAIN_POLL_MS / 1_000)
        self._metrics.increment("agent.claims.release_timeout")

    async def close(self) -> None:
        """Stop and refuse waiting calls."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._shard_store is not None:
            await self._shard_store.close()
        for future in self._calls.values():
            if not future.done():
                future.set_exception(OutcomeUnknown())

    def owned_shards(self) -> tuple[int, ...]:
        """:return: shards that this agent owns and accepts keys for"""
        return self.table.owned_shards() if self.table is not None else ()

    async def claim(self, call: KeyedCall) -> StoredResponse | None:
        """See :class:`ClaimRegistry`."""
        if self.table is None:
            raise NotOwner
        shard_call = self._build_shard_call(call)
        future: asyncio.Future[StoredResponse | None] = asyncio.get_running_loop().create_future()
        self._calls[shard_call.call_id] = future
        self._apply(shards.submit_call(self.table, shard_call, self._settings, *self._now()))
        try:
            await asyncio.wait({future}, timeout=self._settings.commit_timeout_ms / 1_000)
        except asyncio.CancelledError:
            self._cancel(shard_call, future)
            raise
        finally:
            self._calls.pop(shard_call.call_id, None)
        return self._get_outcome(call, shard_call, future)

    async def finish(self, call: KeyedCall, response: StoredResponse | None) -> None:
        """See :class:`ClaimRegistry`."""
        shard_call = self._running.pop(call, None)
        if shard_call is None or self.table is None:
            return
        size_bytes = len(response.body) if response is not None else 0
        self._apply(
            shards.finish_call(self.table, shard_call, response, size_bytes, self._settings)
        )

    async def abandon(self, call: KeyedCall) -> None:
        """See :class:`ClaimRegistry`."""
        shard_call = self._running.pop(call, None)
        if shard_call is not None and self.table is not None:
            self._apply(shards.abandon_call(self.table, shard_call))

    def _get_outcome(
        self, call: KeyedCall, shard_call: ShardCall, future: asyncio.Future[StoredResponse | None]
    ) -> StoredResponse | None:
        assert self.table is not None
        if not future.done():
            error = shards.withdraw_call(self.table, shard_call)
            self._metrics.increment(f"agent.claims.refused.{error.code}")
            raise error
        response = future.result()
        if response is None:
            self._running[call] = shard_call
        return response

    def _cancel(self, shard_call: ShardCall, future: asyncio.Future[StoredResponse | None]) -> None:
        assert self.table is not None
        if not future.done():
            shards.withdraw_call(self.table, shard_call)
        elif future.exception() is None and future.result() is None:
            self._apply(shards.abandon_call(self.table, shard_call))

    def _build_shard_call(self, call: KeyedCall) -> ShardCall:
        assert self.table is not None
        self._next_call += 1
        arrived_ms = call.arrived_wall_ms
        scoped_key = f"{call.customer}\0{call.key}".encode()
        return ShardCall(
            call_id=self._next_call,
            shard=shards.shard_of(call.customer, call.key, len(self.table.shards)),
            digest=blake2b(scoped_key, digest_size=DIGEST_BYTES).digest(),
            fingerprint=_hash_fingerprint(call.fingerprint),
            age_ms=0 if arrived_ms is None else self._wall.now_ms() - arrived_ms,
        )

    def _apply(self, actions: list[ShardAction]) -> None:
        for action in actions:
            match action:
                case RunCall(call_id=call_id):
                    self._resolve(call_id, None)
                case ReplayResponse(call_id=call_id, response=response):
                    self._metrics.increment("agent.claims.replayed")
                    self._resolve(call_id, response)
                case RefuseCall(call_id=call_id, error=error):
                    self._refuse(call_id, error)
                case _:
                    assert self._shard_store is not None
                    self._shard_store.carry_out(action)

    def _resolve(self, call_id: int, response: StoredResponse | None) -> None:
        future = self._calls.get(call_id)
        if future is not None and not future.done():
            future.set_result(response)

    def _refuse(self, call_id: int, error: Exception) -> None:
        future = self._calls.get(call_id)
        self._metrics.increment(f"agent.claims.refused.{getattr(error, 'code', 'internal')}")
        if future is not None and not future.done():
            future.set_exception(error)

    async def _run_ticks(self) -> None:
        await self._create_table()
        while True:
            self._tick()
            await asyncio.sleep(self._tick_s)

    async def _create_table(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._timeout_s):
                    count = await read_shard_count(self._store, self._group, self._shard_count)
                    era_age_ms = await read_era_age_ms(self._store, self._wall.now_ms())
                break
            except (StoreUnavailable, TimeoutError):
                await asyncio.sleep(self._poll_s)
        self.table = shards.new_shard_table(self._name, self._incarnation, count)
        self.table.era, self.table.era_since_ms = self._store.era, self._clock.now_ms()
        self.table.era_is_old = era_age_ms >= get_uncertain_period_ms(self._settings)
        self._marked_era = self._store.era
        self._shard_store = ShardStore(
            self._store,
            self._group,
            self.table,
            self._settings,
            self._clock,
            self._wall,
            self._apply,
            self._timeout_s,
        )

    async def _run_host_list(self) -> None:
        while True:
            began_ms = self._clock.now_ms()
            try:
                async with asyncio.timeout(self._timeout_s):
                    hosts = await self._hosts.list_hosts()
            except (StoreUnavailable, TimeoutError):
                self._metrics.increment("agent.claims.host_list_unavailable")
            else:
                self._update_hosts(hosts, began_ms)
            await self._mark_new_era()
            await asyncio.sleep(self._poll_s)

    async def _mark_new_era(self) -> None:
        """Let agents that start later know since when the store is in its era."""
        if self.table is None or self.table.era <= self._marked_era:
            return
        with suppress(StoreUnavailable, TimeoutError):
            async with asyncio.timeout(self._timeout_s):
                await read_era_age_ms(self._store, self._wall.now_ms())
            self._marked_era = self.table.era

    def _update_hosts(self, hosts: list[Host], began_ms: int) -> None:
        if self.table is None:
            return
        members = [host for host in hosts if host.group == self._group]
        live = tuple(sorted(host.name for host in members if host.state is HostState.LIVE))
        listed = frozenset(host.name for host in hosts)
        shards.update_hosts(self.table, live, listed, began_ms)

    def _tick(self) -> None:
        assert self.table is not None
        self._apply(shards.run_tick(self.table, self._settings, *self._now()))

    def _now(self) -> tuple[int, int]:
        return self._clock.now_ms(), self._wall.now_ms()


def _hash_fingerprint(fingerprint: str) -> bytes:
    return blake2b(fingerprint.encode(), digest_size=FINGERPRINT_BYTES).digest()


__all__ = ["StoreClaimRegistry"]
