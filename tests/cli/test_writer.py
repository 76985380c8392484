"""Tests of the writer: its results are correct under lost replies, races and outages."""

from __future__ import annotations

import unittest
from random import Random
from typing import TYPE_CHECKING, Any

from boragetiller.cli.store_access import read_pages
from boragetiller.cli.writer import RecordWriter, WriterSettings
from boragetiller.clock import ManualClock
from boragetiller.errors import StoreUnavailable
from boragetiller.platform_clients.faults import CallKind
from boragetiller.platform_clients.memory_store import MemoryStore
from boragetiller.records.documents import parse_documents
from boragetiller.records.pages import build_page_key, get_page_index
from boragetiller.records.writes import WriteResult, WriteState
from tests.cli.sample_writes import write_fields, write_fleet
from tests.records.samples import FLEET, make_document

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

FAST = WriterSettings(attempts=3, retry_base_ms=1, retry_max_ms=1)


class ScriptedStore(MemoryStore):
    """Store that runs `before_put` once, before the next put."""

    before_put: Callable[[], Awaitable[Any]] | None = None
    delayed_put: tuple[str, bytes, int] | None = None

    async def put(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """See :class:`MemoryStore`."""
        step, self.before_put = self.before_put, None
        if step is not None:
            await step()
        return await super().put(key, value, expected_revision=expected_revision)


class WriterTest(unittest.IsolatedAsyncioTestCase):
    """Writes of two offices to a store with faults."""

    async def asyncSetUp(self) -> None:
        self.store = ScriptedStore(ManualClock())
        await write_fleet(self.store)

    async def test_lost_reply_is_resolved_as_accepted(self) -> None:
        self.store.drop_next_reply()
        result = await self._write(tier=2)
        self.assertEqual(
            (result.state, result.message), (WriteState.ACCEPTED, "was accepted before")
        )
        self.assertEqual(await self._read_stored_field("tier"), 2)
        self.assertEqual(self.store.counts[CallKind.PUT], 4)

    async def test_lost_request_is_retried(self) -> None:
        self.store.inject_faults(lose_requests=1)
        self.assertEqual((await self._write(tier=2)).state, WriteState.ACCEPTED)
        self.assertEqual(await self._read_stored_field("tier"), 2)

    async def test_lost_reply_then_outage_is_unknown_until_rerun(self) -> None:
        async def lose_reply_then_become_unavailable() -> None:
            self.store.inject_faults(lose_replies=1)
            self.store.before_put = raise_unavailable

        async def raise_unavailable() -> None:
            raise StoreUnavailable

        self.store.before_put = lose_reply_then_become_unavailable
        original_get = self.store.get

        async def get(key: str) -> Any:
            if self.store.before_put is raise_unavailable:
                raise StoreUnavailable
            return await original_get(key)

        self.store.get = get  # type: ignore[method-assign]
        result = await self._write(tier=2)
        self.assertEqual(result.state, WriteState.UNKNOWN)
        self.assertIn("run the same command again", result.message)
        self.store.get = original_get  # type: ignore[method-assign]
        self.store.before_put = None
        rerun = await self._write(tier=2)
        self.assertEqual(rerun.state, WriteState.UNCHANGED)
        self.assertEqual(rerun.revision, 2)

    async def test_delayed_request_does_not_overwrite_later_write(self) -> None:
        key = build_page_key(get_page_index("class/quote"))
        before = await self.store.get(key)
        assert before is not None
        await self._write(base_revision=1, tier=2)
        delayed = await self.store.get(key)
        assert delayed is not None
        await write_fields(self.store, "class", "quote", "kalisz", base_revision=2, tier=3)
        with self.assertRaises(Exception):  # noqa: B017
            await self.store.put(key, delayed.value, expected_revision=before.revision)
        result = await self._write(base_revision=1, tier=2)
        self.assertEqual(result.state, WriteState.ACCEPTED)
        self.assertEqual(await self._read_stored_field("tier"), 3)

    async def test_concurrent_writes_to_different_fields_merge(self) -> None:
        async def other_office() -> None:
            await write_fields(
                self.store, "class", "quote", "kalisz", base_revision=1, deadline_ms=5_000
            )

        self.store.before_put = other_office
        self.assertEqual((await self._write(tier=2)).state, WriteState.ACCEPTED)
        self.assertEqual(
            (await self._read_stored_field("tier"), await self._read_stored_field("deadline_ms")),
            (2, 5_000),
        )

    async def test_concurrent_writes_to_same_field_conflict(self) -> None:
        async def other_office() -> None:
            await write_fields(self.store, "class", "quote", "kalisz", base_revision=1, tier=3)

        self.store.before_put = other_office
        result = await self._write(tier=2)
        self.assertEqual(result.state, WriteState.CONFLICT)
        self.assertEqual((result.conflicts[0].base, result.conflicts[0].theirs), (0, 3))
        self.assertEqual(await self._read_stored_field("tier"), 3)

    async def test_lost_request_followed_by_other_write_conflicts(self) -> None:
        async def other_office() -> None:
            self.store.inject_faults(lose_requests=0)
            await write_fields(self.store, "class", "quote", "kalisz", base_revision=1, tier=3)
            self.store.inject_faults(lose_requests=1)

        self.store.before_put = other_office
        self.assertEqual((await self._write(tier=2)).state, WriteState.CONFLICT)

    async def test_outage_is_not_accepted(self) -> None:
        self.store.inject_faults(outage=True)
        result = await self._write(tier=2)
        self.store.inject_faults(outage=False)
        self.assertEqual(result.state, WriteState.NOT_ACCEPTED)
        self.assertEqual(await self._read_stored_field("tier"), 0)

    async def test_stale_reads_never_overwrite(self) -> None:
        self.store.inject_faults(stale_reads=True)
        await write_fields(self.store, "customer", "morgun", weight=2.0)
        result = await self._write(tier=2)
        self.store.inject_faults(stale_reads=False)
        self.assertIn(result.state, (WriteState.ACCEPTED, WriteState.NOT_ACCEPTED))
        stored_tier = await self._read_stored_field("tier")
        self.assertEqual(stored_tier, 2 if result.state is WriteState.ACCEPTED else 0)

    async def test_missing_reference_refuses_the_file(self) -> None:
        puts = self.store.counts[CallKind.PUT]
        result = await write_fields(self.store, "class", "note", group="nowhere")
        self.assertEqual(result.state, WriteState.REFUSED)
        self.assertIn("class/note: group: no group nowhere", result.message)
        removal = await write_fields(self.store, "group", "tiller-pool", absent=True)
        self.assertEqual(removal.state, WriteState.REFUSED)
        self.assertEqual(self.store.counts[CallKind.PUT], puts)

    async def test_shared_key_hash_is_refused(self) -> None:
        result = await write_fields(
            self.store, "customer", "other", key_hashes=["a" * 64], classes=["quote"]
        )
        self.assertEqual(result.state, WriteState.REFUSED)
        self.assertIn("already belongs to customer morgun", result.message)

    async def test_file_may_remove_records_that_it_stops_referring_to(self) -> None:
        text = FLEET.replace("classes: [quote]", "classes: []")
        text = text.replace("tier: 0", "absent: true").replace("backend: engine", "absent: true")
        results = await RecordWriter(self.store, "vesturland", Random(1), FAST).write(
            parse_documents(text), 1
        )
        self.assertEqual([r.state for r in results], [WriteState.ACCEPTED] * 3, results)

    async def test_reference_into_an_unreadable_page_is_accepted(self) -> None:
        key = build_page_key(get_page_index("group/tiller-pool"))
        self.assertNotEqual(get_page_index("group/tiller-pool"), get_page_index("class/note"))
        entry = await self.store.get(key)
        assert entry is not None
        await self.store.put(key, b"garbage", expected_revision=entry.revision)
        result = await write_fields(self.store, "class", "note", group="tiller-pool")
        self.assertEqual(result.state, WriteState.ACCEPTED)

    async def test_unreadable_page_is_refused(self) -> None:
        key = build_page_key(get_page_index("class/quote"))
        entry = await self.store.get(key)
        assert entry is not None
        await self.store.put(key, b"garbage", expected_revision=entry.revision)
        self.assertEqual((await self._write(tier=2)).state, WriteState.REFUSED)

    async def _write(self, **fields: Any) -> WriteResult:
        writer = RecordWriter(self.store, "vesturland", Random(1), FAST)
        return (await writer.write([make_document("class", "quote", **fields)], 2_000))[0]

    async def _read_stored_field(self, field: str) -> Any:
        pages = await read_pages(self.store)
        return pages[get_page_index("class/quote")].page.records["class/quote"].fields[field]


if __name__ == "__main__":
    unittest.main()
