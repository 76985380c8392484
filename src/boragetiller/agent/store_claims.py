"""Claims kept in the platform's store: the adapter around the systems of claims and shards."""

from __future__ import annotations

import asyncio
from hashlib import blake2b
from typing import TYPE_CHECKING

from boragetiller.agent.shard_store import ShardStore, read_shard_count
from boragetiller.clock import SystemClock, WallClock
from boragetiller.errors import NotOwner, OutcomeUnknown, StoreUnavailable
from boragetiller.platform.hosts import HostState
from boragetiller.systems import shards
from boragetiller.tables.claims import DIGEST_BYTES, FINGERPRINT_BYTES, ShardCall
from boragetiller.tables.shard_actions import RefuseCall, ReplayResponse, RunCall, ShardAction

if TYPE_CHECKING:

    from boragetiller.agent.claims import KeyedCall, StoredResponse
    from boragetiller.clock import Clock
    from boragetiller.metrics import Metrics
    from boragetiller.platform.hosts import Host, HostList
    from boragetiller.platform.store import Store
    from boragetiller.settings import Settings
    from boragetiller.tables.shards import ShardTable

DRAIN_CHECK_MS = 20


class StoreClaimRegistry:
    """Owns shards of one group and decides on their keys; see :class:`ClaimRegistry`."""

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
        Put the parts together.

        :param settings: settings of the agent
        :param store: the platform's store
        :param hosts: the platform's host list
        :param incarnation: number of this start of the process
        :param metrics: counters
        :param clock: monotonic time
        :param wall_clock: wall-clock time
        :param shard_count: shards of a group that has none yet
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
        self.table: ShardTable | None = None
        self._shard_store: ShardStore | None = None
        self._calls: dict[int, asyncio.Future[StoredResponse | None]] = {}
        self._running: dict[KeyedCall, ShardCall] = {}
        self._next_call = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin to own shards, as soon as the store and the host list answer."""
        self._tasks = [
            asyncio.create_task(self._run_ticks()),
            asyncio.create_task(self._run_host_list()),
        ]

    async def drain(self) -> None:
        """Commit what is left and release every shard, within the release timeout."""
        if self.table is None:
            return
        shards.begin_drain(self.table)
        rounds = max(1, self._settings.release_timeout_ms // DRAIN_CHECK_MS)
        for _ in range(rounds):
            self._tick()
            if shards.is_drained(self.table):
                return
            await asyncio.sleep(DRAIN_CHECK_MS / 1_000)
        self._metrics.increment("agent.claims.release_timeout")

    async def close(self) -> None:
        """Stop; calls that wait are refused."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._shard_store is not None:
            await self._shard_store.close()
        for future in self._calls.values():
            if not future.done():
                future.set_exception(OutcomeUnknown())

    def owned_shards(self) -> tuple[int, ...]:
        """:return: shards whose keys are decided here"""
        return self.table.owned_shards() if self.table is not None else ()

    async def claim(self, call: KeyedCall) -> StoredResponse | None:
        """See :class:`ClaimRegistry`."""
        if self.table is None:
            raise NotOwner
        entry = self._shard_call(call)
        future: asyncio.Future[StoredResponse | None] = asyncio.get_running_loop().create_future()
        self._calls[entry.call_id] = future
        self._apply(shards.submit_call(self.table, entry, self._settings, *self._now()))
        try:
            await asyncio.wait({future}, timeout=self._settings.commit_timeout_ms / 1_000)
        except asyncio.CancelledError:
            self._give_up(entry, future)
            raise
        finally:
            self._calls.pop(entry.call_id, None)
        return self._outcome(call, entry, future)

    async def finish(self, call: KeyedCall, answer: StoredResponse | None) -> None:
        """See :class:`ClaimRegistry`."""
        entry = self._running.pop(call, None)
        if entry is None or self.table is None:
            return
        size_bytes = len(answer.body) if answer is not None else 0
        self._apply(shards.finish_call(self.table, entry, answer, size_bytes, self._settings))

    async def abandon(self, call: KeyedCall) -> None:
        """See :class:`ClaimRegistry`."""
        entry = self._running.pop(call, None)
        if entry is not None and self.table is not None:
            self._apply(shards.abandon_call(self.table, entry))

    def _outcome(
        self, call: KeyedCall, entry: ShardCall, future: asyncio.Future[StoredResponse | None]
    ) -> StoredResponse | None:
        assert self.table is not None
        if not future.done():
            error = shards.withdraw_call(self.table, entry)
            self._metrics.increment(f"agent.claims.refused.{error.code}")
            raise error
        answer = future.result()
        if answer is None:
            self._running[call] = entry
        return answer

    def _give_up(self, entry: ShardCall, future: asyncio.Future[StoredResponse | None]) -> None:
        assert self.table is not None
        if not future.done():
            shards.withdraw_call(self.table, entry)
        elif future.exception() is None and future.result() is None:
            self._apply(shards.abandon_call(self.table, entry))

    def _shard_call(self, call: KeyedCall) -> ShardCall:
        assert self.table is not None
        self._next_call += 1
        arrived_ms = call.arrived_wall_ms
        name = f"{call.customer}\0{call.key}".encode()
        return ShardCall(
            call_id=self._next_call,
            shard=shards.shard_of(call.customer, call.key, len(self.table.shards)),
            digest=blake2b(name, digest_size=DIGEST_BYTES).digest(),
            fingerprint=_fingerprint_digest(call.fingerprint),
            age_ms=0 if arrived_ms is None else self._wall.now_ms() - arrived_ms,
        )

    def _apply(self, actions: list[ShardAction]) -> None:
        for action in actions:
            match action:
                case RunCall(call_id=call_id):
                    self._answer(call_id, None)
                case ReplayResponse(call_id=call_id, response=answer):
                    self._metrics.increment("agent.claims.replayed")
                    self._answer(call_id, answer)
                case RefuseCall(call_id=call_id, error=error):
                    self._refuse(call_id, error)
                case _:
                    assert self._shard_store is not None
                    self._shard_store.carry_out(action)

    def _answer(self, call_id: int, answer: StoredResponse | None) -> None:
        future = self._calls.get(call_id)
        if future is not None and not future.done():
            future.set_result(answer)

    def _refuse(self, call_id: int, error: Exception) -> None:
        future = self._calls.get(call_id)
        self._metrics.increment(f"agent.claims.refused.{getattr(error, 'code', 'internal')}")
        if future is not None and not future.done():
            future.set_exception(error)

    async def _run_ticks(self) -> None:
        await self._open_table()
        while True:
            self._tick()
            await asyncio.sleep(self._tick_s)

    async def _open_table(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._timeout_s):
                    count = await read_shard_count(self._store, self._group, self._shard_count)
                break
            except (StoreUnavailable, TimeoutError):
                await asyncio.sleep(self._poll_s)
        self.table = shards.new_shard_table(self._name, self._incarnation, count)
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
                    hosts = await self._hosts.hosts()
            except (StoreUnavailable, TimeoutError):
                self._metrics.increment("agent.claims.host_list_unavailable")
            else:
                self._update_hosts(hosts, began_ms)
            await asyncio.sleep(self._poll_s)

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


def _fingerprint_digest(fingerprint: str) -> bytes:
    return blake2b(fingerprint.encode(), digest_size=FINGERPRINT_BYTES).digest()


__all__ = ["StoreClaimRegistry"]
