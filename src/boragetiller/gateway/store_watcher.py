"""Watch the configuration and the list of backend servers in the platform's store."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

from boragetiller.errors import HistoryLost, StoreUnavailable
from boragetiller.events import Event, log_event
from boragetiller.gateway.supervisor import run_supervised
from boragetiller.systems.watch_limits import compute_watch_wait_ms

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.platform_interface import Dialect, Listing, StoreClient
    from boragetiller.gateway.settings import GatewaySettings
    from boragetiller.gateway.state_sync import StateSync

WATCH_INTERVAL_SHARE = 0.2  # of drain_ms, in which all routers must know a draining server
REREAD_WAIT_MS = 1  # a change that comes in a longer wait would be sent twice
ELECTION_CHECK_MS = 200  # two report intervals of the peers
RETRY_BASE_MS = 100  # first delay of the exponential backoff of calls to the store
RETRY_MAX_MS = 1_000  # with the time limit of a call, within the time to reach the store again
RETRY_NOT_READY_MS = 200  # before the first configuration, when no call can be served


class StoreWatcher:
    """Two watches, with periodic polls in case that a watch misses changes."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: StoreClient,
        registry: BackendRegistry,
        dialect: Dialect,
        state_sync: StateSync,
        clock: Clock,
        metrics: GatewayMetrics,
        rng: Random,
    ) -> None:
        """
        Create the watcher; it is inactive until started.

        :param settings: settings of the process
        :param store: client of the platform's store
        :param registry: applies what was read
        :param dialect: keys of the store
        :param state_sync: polls and watches that are shared with peers
        :param clock: monotonic clock
        :param metrics: metrics of store calls
        :param rng: seeded random generator
        """
        self._store_polls = state_sync.store_polls
        self._config_exchange = state_sync.config
        self._watcher_election = state_sync.watcher_election
        self._watch_interval_ms = settings.drain_ms * WATCH_INTERVAL_SHARE
        self._watch_deadline_ms = min(settings.config_apply_ms, settings.drain_ms)
        self._clock = clock
        self._rng = rng
        self._recovered = asyncio.Event()  # set and replaced when the store recovers
        self._store = store
        self._registry = registry
        self._dialect = dialect
        self._metrics = metrics
        self._config_revision = 0  # up to which the configuration was read
        self._tasks: list[asyncio.Task[None]] = []
        self._store_reachable: bool | None = None
        store.eras.on_invalid = lambda reason: metrics.store_era_errors.labels(reason).inc()

    async def start(self) -> None:
        """Start the watches and polls."""
        for prefix in (self._dialect.config_key, self._dialect.servers_prefix):
            follow = partial(self._watch_with_retries, prefix)
            self._start_task(f"follow {prefix}", follow)
        self._start_task("reread", self._poll)

    async def close(self) -> None:
        """Stop the watches and polls, and close the client of the store."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._store.close()

    def _start_task(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(run_supervised(name, run, self._metrics)))

    async def _watch_with_retries(self, prefix: str) -> None:
        revision = 0
        retry_ms = RETRY_BASE_MS
        while True:
            try:
                is_servers = prefix == self._dialect.servers_prefix
                must_watch = self._must_watch if is_servers else self._config_exchange.must_follow
                if not must_watch():
                    revision = 0  # peers send changes meanwhile
                    await asyncio.sleep(ELECTION_CHECK_MS / 1_000)
                    continue
                if revision == 0 or (is_servers and self._compute_relist_wait_ms() == 0):
                    revision = await self._list_prefix(prefix, "read")
                revision = await self._watch_once(prefix, revision)
                retry_ms = RETRY_BASE_MS
            except HistoryLost:
                revision = 0
            except StoreUnavailable as error:
                self._set_store_reachable(False, str(error))
                revision = 0  # a listing returns at once when the store is back
                await self._wait_for_recovery(retry_ms)
                retry_ms = min(self._get_max_retry_ms(), 2 * retry_ms)

    def _get_max_retry_ms(self) -> int:
        return RETRY_MAX_MS if self._registry.is_ready else RETRY_NOT_READY_MS

    async def _wait_for_recovery(self, wait_ms: int) -> None:
        """Wait, but no longer than until another call to the store succeeds."""
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1_000):
                await self._recovered.wait()

    async def _poll(self) -> None:
        """Poll for changes that the watches may have missed, unless a peer polled recently."""
        self._store_polls.last_ms = self._clock.now_ms()
        jitter = self._rng.random()
        while True:
            await asyncio.sleep(
                max(0.0, self._store_polls.compute_wait_ms(jitter, self._clock.now_ms())) / 1_000
            )
            if self._store_polls.compute_wait_ms(jitter, self._clock.now_ms()) > 0:
                continue  # a peer has polled meanwhile
            jitter = self._rng.random()
            self._store_polls.last_ms = self._clock.now_ms()
            if not self._store_reachable:
                continue  # the watch detects when the store is back
            if self._store.is_receiving or not self._config_exchange.must_follow():
                continue  # a change arrives, or those poll that follow the configuration
            try:
                await self._reread_config()
                await self._list_prefix(self._dialect.servers_prefix, "reread")
            except HistoryLost:
                continue  # restored during the listing; the watches list again
            except StoreUnavailable as error:
                self._set_store_reachable(False, str(error))
            else:
                self._store_polls.record_own_poll(self._clock.now_ms())

    async def _reread_config(self) -> None:
        """Look for changes of the configuration that its watch has missed."""
        key, max_bytes = self._dialect.config_key, self._config_exchange.longest_change_bytes
        if max_bytes is None:
            await self._list_prefix(key, "reread")
            return
        # On a slow link, a watch without a wait: it returns nothing if nothing has changed.
        listing = await self._call(
            "reread",
            lambda: self._store.watch_prefix(
                key, self._config_revision, REREAD_WAIT_MS, max_bytes=max_bytes
            ),
        )
        self._registry.apply_changes(listing.items, "reread")

    async def _list_prefix(self, prefix: str, source: str) -> int:
        listing = await self._call("read", lambda: self._store.list_prefix(prefix))
        self._registry.apply_listing(prefix, listing.items, listing.revision, source)
        if prefix == self._dialect.servers_prefix:
            self._watcher_election.own_list_ms = self._clock.now_ms()
        else:
            self._config_revision = listing.revision
        return listing.revision

    def _must_watch(self) -> bool:
        # After a restore each router lists the servers itself: to send the whole list to all
        # others would cost the watchers more than the listings cost the store.
        restored = (self._store.eras.era or 0) > self._registry.store_entries.restore_grace.era
        return (
            not self._registry.servers_listed
            or self._registry.servers_outdated
            or restored
            or self._compute_relist_wait_ms() == 0
            or self._watcher_election.is_watcher(self._clock.now_ms())
        )

    def _compute_relist_wait_ms(self) -> int | None:
        grace = self._registry.store_entries.restore_grace
        return grace.compute_relist_wait_ms(self._clock.now_ms())

    def _compute_watch_wait_ms(self, *, is_servers: bool) -> int:
        wait_ms = compute_watch_wait_ms(self._watch_deadline_ms, self._rng.random())
        relist_wait_ms = self._compute_relist_wait_ms() if is_servers else None
        return wait_ms if relist_wait_ms is None else min(wait_ms, relist_wait_ms)

    async def _watch_once(self, prefix: str, revision: int) -> int:
        started_ms = self._clock.now_ms()
        is_servers = prefix == self._dialect.servers_prefix
        wait_ms = self._compute_watch_wait_ms(is_servers=is_servers)
        max_bytes = None if is_servers else self._config_exchange.longest_change_bytes
        listing = await self._call(
            "watch",
            lambda: self._store.watch_prefix(prefix, revision, wait_ms, max_bytes=max_bytes),
        )
        self._registry.apply_changes(listing.items, "watch")
        if is_servers:  # batch further changes
            self._watcher_election.own_list_ms = self._clock.now_ms()
            took_ms = self._clock.now_ms() - started_ms
            await asyncio.sleep(max(0.0, self._watch_interval_ms - took_ms) / 1_000)
        else:
            self._config_revision = max(revision, listing.revision)
        return max(revision, listing.revision)

    async def _call(self, name: str, call: Callable[[], Awaitable[Listing]]) -> Listing:
        self._metrics.store_calls.labels(name).inc()
        with self._metrics.store_call_seconds.labels(name).time():
            listing = await call()
        self._metrics.store_era.set(self._store.eras.era or 0)
        self._set_store_reachable(True, "")
        for item in listing.unreadable:
            log_event(Event.STORE_ITEM_UNREADABLE, key=item.key, reason=item.reason)
        return listing

    def _set_store_reachable(self, reachable: bool, reason: str) -> None:
        self._watcher_election.own_store_reachable = reachable
        if reachable == self._store_reachable:
            return
        self._store_reachable = reachable
        self._metrics.store_reachable.set(int(reachable))
        if reachable:
            self._recovered.set()
            self._recovered = asyncio.Event()
            log_event(Event.CONFIG_STORE_REACHED)
        else:
            log_event(Event.CONFIG_STORE_UNREACHABLE, reason=reason)


__all__ = ["StoreWatcher"]
