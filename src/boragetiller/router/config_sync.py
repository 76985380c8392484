"""Synchronization of a process's configuration with the store and with its peers."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

from boragetiller.errors import BoragetillerError, HistoryLost
from boragetiller.events import Event, log_event
from boragetiller.records.pages import PAGE_COUNT, PAGE_PREFIX, parse_page_key
from boragetiller.router.config_peers import ConfigPeers
from boragetiller.settings import Role
from boragetiller.store_eras import get_era, get_store_revision
from boragetiller.systems.config_pages import (
    PageUpdate,
    apply_pages,
    list_lost_pages,
    list_missing_pages,
    list_newer_pages,
    list_unreadable_records,
    mark_ready,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragetiller.cli.messages import NodePage
    from boragetiller.clock import Clock
    from boragetiller.platform_clients.store import Entry, Store
    from boragetiller.settings import Settings
    from boragetiller.tables.config import ConfigTable

MS_PER_S = 1_000
MAX_BACKOFF_DOUBLINGS = 16


class StoreState(Enum):
    """Result of the last call to the store."""

    NOT_TRIED = "not_tried"
    REACHED = "reached"
    UNREACHABLE = "unreachable"


class ConfigSync:
    """
    Reads the configuration pages once, then receives their changes.

    A router watches the store. An agent receives newer pages from its peers and uses the store
    only while no peer sends heartbeats. Both apply a page from whichever source has it first.
    """

    def __init__(
        self,
        store: Store,
        table: ConfigTable,
        settings: Settings,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        """
        Prepare the synchronization; nothing is read before `start`.

        :param store: store of the accepted records
        :param table: configuration of this process, which only this object changes
        :param settings: settings of the process
        :param clock: monotonic time
        :param on_change: called after pages came into force and when the table becomes ready
        """
        self.store_state = StoreState.NOT_TRIED
        self._store = store
        self._table = table
        self._settings = settings
        self._clock = clock
        self._on_change = on_change
        self._rng = _make_rng(settings)
        self._peers = ConfigPeers(clock)
        self._pages_listed = False
        self._latest_revision = 0  # every change up to this revision was received
        self._next_watch_revision = 0  # the next watch starts where the running one started
        self._logged_problems: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start reading in the background; the table becomes ready when it is complete."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop reading; the table stays as it is."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
            self._task = None

    @property
    def ready(self) -> bool:
        """:return: whether a complete configuration is in force"""
        return self._table.ready

    def get_not_ready_reason(self) -> str:
        """:return: why the configuration is not complete, empty if it is"""
        if self._table.ready:
            return ""
        source = self._peers.find_complete_peer()
        if source is not None:
            return f"configuration: waiting for pages from peer {source}"
        count = len(self._peers)
        peers = f"none of {count} peers has it" if count else "no peer is connected"
        if self.store_state is StoreState.UNREACHABLE:
            return f"configuration: the store does not answer and {peers}"
        return f"configuration: the first read of the store has not finished and {peers}"

    def get_page_revisions(self) -> dict[int, int]:
        """:return: store revision of each page that this node holds, by index"""
        return {index: page.revision for index, page in self._table.pages.items()}

    def list_newer_pages(self, revisions: dict[int, int]) -> list[PageUpdate]:
        """:return: pages for a peer that holds these revisions"""
        return list_newer_pages(self._table, revisions)

    def list_lost_pages(self) -> list[PageUpdate]:
        """:return: pages with records in force that the store lost in a restore"""
        return list_lost_pages(self._table)

    def record_peer_revisions(
        self, peer: str, revisions: dict[int, int], *, complete: bool
    ) -> list[int]:
        """
        Record the pages that a peer holds.

        :param peer: name of the peer
        :param revisions: store revision of each of its pages, by index
        :param complete: whether the peer is ready and these are all its pages
        :return: indexes of the pages to request from it
        """
        self._peers.record_revisions(peer, revisions, complete)
        self._check_complete()
        return list_missing_pages(self._table, revisions)

    def record_peer_contact(self, peer: str) -> None:
        """Record a heartbeat of a peer whose pages have not changed."""
        self._peers.record_contact(peer)

    def remove_peer(self, peer: str) -> None:
        """Remove a peer that is no longer connected."""
        self._peers.remove(peer)

    def list_peer_pages(self, index: int) -> list[NodePage]:
        """:return: revision of one page at each connected peer, from its latest report"""
        return self._peers.list_page_revisions(index)

    def apply_page(self, index: int, revision: int, data: bytes) -> bool:
        """
        Apply a page that a peer sent.

        :param index: number of the page
        :param revision: store revision of the page
        :param data: stored bytes
        :return: whether the page was newer than the one held, or has records that the store lost
        """
        if not 0 <= index < PAGE_COUNT or revision <= 0:
            return False
        applied = self._apply([PageUpdate(index=index, revision=revision, data=data)])
        self._check_complete()
        return applied

    async def _run(self) -> None:
        failures = 0
        if self._is_agent():
            await self._sleep_ms(self._settings.config.peer_wait_ms * self._rng.uniform(0.5, 1.0))
        while True:
            if self._is_agent() and self._table.ready and self._has_recent_peer_contact():
                await self._sleep_ms(self._settings.config.peer_silence_ms)
                continue
            try:
                await self._read_and_watch()
                failures = 0
            except HistoryLost:
                self._pages_listed = False
            except (BoragetillerError, OSError, ValueError) as error:
                self._record_store_failure(error)
                failures += 1
            await self._sleep_ms(self._draw_backoff_ms(failures))

    async def _read_and_watch(self) -> None:
        if not self._pages_listed:
            entries = await self._store.list(PAGE_PREFIX)
            self._record_store_reached()
            self._latest_revision = 0
            self._apply_entries(entries)
            self._pages_listed = True
            self._next_watch_revision = self._latest_revision
            self._mark_ready("store")
        restart_ms = self._settings.config.watch_restart_ms * self._rng.uniform(0.8, 1.2)
        after_revision = self._next_watch_revision
        self._next_watch_revision = self._latest_revision
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(restart_ms / MS_PER_S):
                await self._watch(after_revision)

    async def _watch(self, after_revision: int) -> None:
        async with contextlib.aclosing(
            self._store.watch(PAGE_PREFIX, after_revision=after_revision)  # type: ignore[type-var]
        ) as entries:
            async for entry in entries:
                self._record_store_reached()
                self._apply_entries([entry])

    def _apply_entries(self, entries: Iterable[Entry]) -> None:
        updates = []
        for entry in entries:
            self._latest_revision = max(self._latest_revision, entry.revision)
            index = parse_page_key(entry.key)
            if index is not None:
                updates.append(PageUpdate(index=index, revision=entry.revision, data=entry.value))
        self._apply(updates)

    def _apply(self, updates: list[PageUpdate]) -> bool:
        applied = apply_pages(self._table, updates, self._clock.now_ms())
        for update in applied:
            log_event(
                Event.CONFIG_PAGE_TAKEN,
                page=update.index,
                era=get_era(update.revision),
                revision=get_store_revision(update.revision),
            )
        if applied:
            if self._table.ready:
                self._log_record_problems()
            self._on_change()
        return bool(applied)

    def _check_complete(self) -> None:
        if self._table.ready:
            return
        name = self._peers.find_matched_peer(self._table)
        if name is not None:
            self._mark_ready(f"peer {name}")

    def _mark_ready(self, source: str) -> None:
        if self._table.ready:
            return
        mark_ready(self._table)
        self._log_record_problems()
        log_event(Event.CONFIG_READY, source=source, pages=len(self._table.pages))
        self._on_change()

    def _log_record_problems(self) -> None:
        unreadable = {
            f"{name}: {why}" for name, why in list_unreadable_records(self._table).items()
        }
        missing = {str(problem) for problem in self._table.reference_problems}
        for text in sorted(unreadable - self._logged_problems):
            log_event(Event.CONFIG_UNREADABLE, reason=text)
        for text in sorted(missing - self._logged_problems):
            log_event(Event.CONFIG_REFERENCE_MISSING, reason=text)
        self._logged_problems = unreadable | missing

    def _record_store_reached(self) -> None:
        if self.store_state is StoreState.UNREACHABLE:
            log_event(Event.CONFIG_STORE_REACHED)
        self.store_state = StoreState.REACHED

    def _record_store_failure(self, error: Exception) -> None:
        if self.store_state is not StoreState.UNREACHABLE:
            log_event(Event.CONFIG_STORE_UNREACHABLE, reason=error)
        self.store_state = StoreState.UNREACHABLE

    def _is_agent(self) -> bool:
        return self._settings.role is Role.AGENT

    def _has_recent_peer_contact(self) -> bool:
        return self._peers.has_recent_contact(self._settings.config.peer_silence_ms)

    def _draw_backoff_ms(self, failures: int) -> float:
        config = self._settings.config
        ceiling_ms = config.retry_base_ms * 2 ** min(failures, MAX_BACKOFF_DOUBLINGS)
        return self._rng.uniform(0, min(ceiling_ms, config.retry_max_ms))

    async def _sleep_ms(self, wait_ms: float) -> None:
        await asyncio.sleep(wait_ms / MS_PER_S)


def _make_rng(settings: Settings) -> Random:
    if settings.seed is None:
        return Random()
    return Random(f"{settings.seed}/{settings.name}")


__all__ = ["ConfigSync", "StoreState"]
