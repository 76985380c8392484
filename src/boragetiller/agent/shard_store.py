"""Store calls for the pages and segments of shards."""

from __future__ import annotations

import asyncio
import json
import re
from contextlib import suppress
from typing import TYPE_CHECKING

from boragetiller.errors import ProtocolError, RevisionConflict, StoreUnavailable
from boragetiller.events import Event, log_event
from boragetiller.records.model import MAX_SHARDS
from boragetiller.store_eras import extend_revision
from boragetiller.systems import shards
from boragetiller.systems.shard_pages import (
    decode_claims,
    decode_page,
    encode_claims,
    encode_page,
)
from boragetiller.systems.shard_segments import handle_segment_written
from boragetiller.tables.shard_actions import (
    DeleteSegment,
    ReadPage,
    ReadSegments,
    ShardAction,
    WritePage,
    WriteSegment,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from boragetiller.clock import Clock
    from boragetiller.platform_clients.store import Store
    from boragetiller.settings import ClaimSettings
    from boragetiller.tables.shards import ShardTable, StoredClaim

KEY_PREFIX = "claims"
ERA_KEY = f"{KEY_PREFIX}/era"
NO_ERA = -1
_SHARD_COUNT = re.compile(rb"[0-9]{1,9}")


def page_key(group: str, shard: int) -> str:
    """:return: store key of the page of a shard"""
    return f"{KEY_PREFIX}/{group}/page/{shard}"


def segment_key(group: str, shard: int, number: int) -> str:
    """:return: store key of a sealed segment"""
    return f"{KEY_PREFIX}/{group}/segment/{shard}/{number}"


async def read_shard_count(store: Store, group: str, count: int) -> int:
    """
    Read the number of shards of a group, which the group's first agent writes.

    :param store: the platform's store
    :param group: backend group
    :param count: number to write when the store has none
    :return: the stored number
    :raises StoreUnavailable: the store cannot be reached, or holds no valid number after the write
    """
    key = f"{KEY_PREFIX}/{group}/shards"
    entry = await store.get(key)
    if entry is None:
        with suppress(RevisionConflict):
            await store.put(key, str(count).encode(), expected_revision=0)
        entry = await store.get(key)
    if entry is None:
        raise StoreUnavailable(f"no number of shards at {key}")
    if not _SHARD_COUNT.fullmatch(entry.value) or not 0 < int(entry.value) <= MAX_SHARDS:
        log_event(Event.SHARD_COUNT_UNREADABLE, key=key, value=f"{entry.value!r:.40}")
        raise StoreUnavailable(f"{key}: must be 1 to {MAX_SHARDS}")
    return int(entry.value)


async def read_era_age_ms(store: Store, wall_ms: int) -> int:
    """
    Read for how long the store has been in its present era, and mark the start of a new one.

    :param store: the platform's store
    :param wall_ms: wall-clock time in milliseconds
    :return: milliseconds since an agent first saw the era, 0 when this one is the first
    :raises StoreUnavailable: the store cannot be reached
    """
    entry = await store.get(ERA_KEY)
    era, since_ms = _decode_era_mark(entry.value) if entry is not None else (NO_ERA, 0)
    if store.era in (0, era):
        return wall_ms - since_ms
    mark = json.dumps({"era": store.era, "since_wall_ms": wall_ms}).encode()
    with suppress(RevisionConflict):  # another agent has marked it
        revision = entry.revision if entry is not None else 0
        await store.put(ERA_KEY, mark, expected_revision=revision)
    return 0


def _decode_era_mark(value: bytes) -> tuple[int, int]:
    """:return: era and wall-clock time in ms; an unreadable mark is one of no era, and replaced"""
    try:
        mark = json.loads(value)
        era, since_ms = mark["era"], mark["since_wall_ms"]
    except (ValueError, LookupError, TypeError, RecursionError):
        return NO_ERA, 0
    return (era, since_ms) if type(era) is type(since_ms) is int else (NO_ERA, 0)


class ShardStore:
    """Carries out store actions, each in a task, and applies their results to the shards."""

    def __init__(
        self,
        store: Store,
        group: str,
        table: ShardTable,
        settings: ClaimSettings,
        clock: Clock,
        wall_clock: Clock,
        apply: Callable[[list[ShardAction]], None],
        timeout_s: float,
    ) -> None:
        """
        Create an adapter between the shards and the store.

        :param store: the platform's store
        :param group: backend group
        :param table: shards of this agent
        :param settings: limits
        :param clock: monotonic time
        :param wall_clock: wall-clock time
        :param apply: carries out the actions that result from store replies
        :param timeout_s: timeout of one store call in seconds
        """
        self._store = store
        self._group = group
        self._table = table
        self._settings = settings
        self._clock = clock
        self._wall = wall_clock
        self._apply = apply
        self._timeout_s = timeout_s
        self._tasks: set[asyncio.Task[None]] = set()

    def carry_out(self, action: ShardAction) -> None:
        """
        Start a store action in a task.

        :param action: page or segment to read, write or delete
        """
        match action:
            case ReadPage():
                self._start_task(self._read_page(action))
            case WritePage():
                self._start_task(self._write_page(action))
            case ReadSegments():
                self._start_task(self._read_segments(action))
            case WriteSegment():
                self._start_task(self._write_segment(action))
            case DeleteSegment():
                self._start_task(self._delete_segment(action))

    async def close(self) -> None:
        """Cancel store calls in progress; the store may still apply their writes."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_page(self, action: ReadPage) -> None:
        key = page_key(self._group, action.shard)
        try:
            async with asyncio.timeout(self._timeout_s):
                entry = await self._store.get(key)
            page = decode_page(entry.value) if entry is not None else None
        except (StoreUnavailable, TimeoutError, ProtocolError):
            self._handle_read_failure(action.shard)
            return
        revision = extend_revision(self._store.era, 0) if entry is None else entry.revision
        self._apply(
            shards.handle_page_read(
                self._table, action.shard, page, revision, self._settings, *self._now()
            )
        )

    async def _write_page(self, action: WritePage) -> None:
        key = page_key(self._group, action.shard)
        value = encode_page(action.page)
        try:
            async with asyncio.timeout(self._timeout_s):
                revision = await self._store.put(
                    key, value, expected_revision=action.expected_revision
                )
        except RevisionConflict:
            self._handle_write_failure(action.shard, conflict=True)
        except (StoreUnavailable, TimeoutError):
            self._handle_write_failure(action.shard, conflict=False)
        else:
            now = self._now()
            self._apply(
                shards.handle_page_written(self._table, action, revision, self._settings, *now)
            )

    async def _read_segments(self, action: ReadSegments) -> None:
        segments: dict[int, tuple[StoredClaim, ...]] = {}
        try:
            for number in action.numbers:
                key = segment_key(self._group, action.shard, number)
                async with asyncio.timeout(self._timeout_s):
                    entry = await self._store.get(key)
                segments[number] = decode_claims(entry.value) if entry is not None else ()
        except (StoreUnavailable, TimeoutError, ProtocolError):
            self._handle_read_failure(action.shard)
            return
        shards.handle_segments_read(self._table, action.shard, segments)

    async def _write_segment(self, action: WriteSegment) -> None:
        key = segment_key(self._group, action.shard, action.number)
        value = encode_claims(action.claims)
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._store.put(key, value, expected_revision=0)
        except (RevisionConflict, StoreUnavailable, TimeoutError):
            self._handle_read_failure(action.shard)
            return
        handle_segment_written(self._table.shards[action.shard], action.number, action.claims)

    async def _delete_segment(self, action: DeleteSegment) -> None:
        key = segment_key(self._group, action.shard, action.number)
        with suppress(RevisionConflict, StoreUnavailable, TimeoutError):
            async with asyncio.timeout(self._timeout_s):
                entry = await self._store.get(key)
                if entry is not None:
                    await self._store.delete(key, expected_revision=entry.revision)

    def _handle_read_failure(self, shard: int) -> None:
        shards.handle_read_failure(self._table, shard, self._settings, self._clock.now_ms())

    def _handle_write_failure(self, shard: int, *, conflict: bool) -> None:
        now_ms = self._clock.now_ms()
        shards.handle_write_failure(self._table, shard, conflict=conflict, now_ms=now_ms)

    def _now(self) -> tuple[int, int]:
        return self._clock.now_ms(), self._wall.now_ms()


__all__ = ["ShardStore", "page_key", "read_era_age_ms", "read_shard_count", "segment_key"]
