"""Tests of the client of the platform's store against a scripted HTTP server."""

from __future__ import annotations

import asyncio
import base64
import json
import unittest

from aiohttp import web

import tests.platform_path  # noqa: F401
from boragetiller.errors import HistoryLost, StoreUnavailable
from boragetiller.gateway.settings import Endpoint
from boragetiller.store_eras import extend_revision
from boragetiller.tables.store_view import StoredItem, StoreView
from kv_store import KvStoreClient


def build_entry(key: str, value: bytes, revision: int) -> dict[str, object]:
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "revision": revision, "created": 1, "lease": 0}


class KvStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.requests: list[tuple[str, dict[str, str]]] = []
        self.responses: list[web.Response] = []
        runner = web.ServerRunner(web.Server(self.handle))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.store = KvStoreClient(Endpoint("127.0.0.1", runner.addresses[0][1]))
        self.addAsyncCleanup(self.store.close)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        self.requests.append((request.path, dict(request.query)))
        return self.responses.pop(0)

    def queue_response(self, document: object, status: int = 200, era: str | None = None) -> None:
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        headers = {} if era is None else {"Store-Era": era}
        self.responses.append(web.Response(status=status, body=body, headers=headers))

    async def test_list_prefix_reads_all_pages(self) -> None:
        first = {"entries": [build_entry("s/a", b"1", 3)], "has-more": True, "current-rev": 9}
        second = {"entries": [build_entry("s/b", b"2", 4)], "has-more": False, "current-rev": 11}
        self.queue_response(first)
        self.queue_response(second)
        listing = await self.store.list_prefix("s/")
        self.assertEqual(listing.revision, 9)
        self.assertEqual(listing.items, [StoredItem("s/a", b"1", 3), StoredItem("s/b", b"2", 4)])
        self.assertEqual(self.requests[1][1]["after"], "s/a")

    async def test_get_key_returns_no_item_for_a_missing_key(self) -> None:
        self.queue_response({"current-rev": 9}, status=404)
        listing = await self.store.get_key("op/config")
        self.assertEqual((listing.items, listing.revision), ([], 9))
        self.queue_response(build_entry("op/config", b"x", 5) | {"current-rev": 9})
        self.assertEqual((await self.store.get_key("op/config")).items[0].value, b"x")

    async def test_watch_prefix_returns_removed_keys(self) -> None:
        removed = {"key": "s/b", "revision": 8, "tombstone": True}
        self.queue_response({"events": [build_entry("s/a", b"1", 7), removed], "current-rev": 8})
        listing = await self.store.watch_prefix("s/", 6, 100)
        self.assertEqual(listing.items[1], StoredItem("s/b", None, 8))
        self.assertEqual(self.requests[0][1], {"path-prefix": "s/", "after": "6", "wait-ms": "100"})

    async def test_lost_history_and_error_statuses_raise_their_errors(self) -> None:
        self.queue_response({}, status=410)
        with self.assertRaises(HistoryLost):
            await self.store.watch_prefix("s/", 6, 100)
        for status in (429, 500, 503):
            self.queue_response({}, status=status)
            with self.assertRaises(StoreUnavailable):
                await self.store.list_prefix("s/")

    async def test_restore_between_two_pages_fails_the_listing(self) -> None:
        first = {"entries": [build_entry("s/a", b"1", 3)], "has-more": True, "current-rev": 9}
        second = {"entries": [build_entry("s/b", b"2", 4)], "has-more": False, "current-rev": 9}
        self.queue_response(first, era="1")
        self.queue_response(second, era="2")
        with self.assertRaises(HistoryLost):
            await self.store.list_prefix("s/")

    async def test_watch_position_of_an_earlier_era_counts_as_lost(self) -> None:
        position = extend_revision(1, 6)
        changes = {"events": [build_entry("s/a", b"1", 7)], "current-rev": 7}
        self.queue_response(changes, era="1")
        listing = await self.store.watch_prefix("s/", position, 100)
        self.assertEqual(listing.items, [StoredItem("s/a", b"1", extend_revision(1, 7))])
        self.queue_response(changes, era="2")
        with self.assertRaises(HistoryLost):
            await self.store.watch_prefix("s/", position, 100)
        self.assertEqual([query["after"] for _, query in self.requests], ["6", "6"])

    async def test_revision_out_of_range_counts_as_unavailable(self) -> None:
        for revision in (-1, 1 << 40):
            self.queue_response({"events": [], "current-rev": revision}, era="1")
            with self.subTest(revision=revision), self.assertRaises(StoreUnavailable):
                await self.store.watch_prefix("s/", 1, 100)

    async def test_malformed_responses_count_as_unavailable(self) -> None:
        malformed = (
            b"",
            b"[]",
            b"{}",
            b"\xff",
            b'{"entries": [], "has-more": false, "current-rev": 1e999}',
            b'{"entries": [], "has-more": false, "current-rev": ' + b"9" * 5_000 + b"}",
            {"entries": [], "has-more": False, "current-rev": "1"},
            {"entries": 1, "has-more": False, "current-rev": 1},
            {"entries": [{"key": 1}], "has-more": True, "current-rev": 1},
            b'{"entries": ' + b"[" * 5_000,
        )
        for document in malformed:
            self.queue_response(document)
            with self.subTest(document=document), self.assertRaises(StoreUnavailable):
                await self.store.list_prefix("s/")

    async def test_malformed_item_is_left_out_and_the_others_hold(self) -> None:
        # Guards against a store that counts as unavailable because of one item.
        good = build_entry("s/m", b"1", 3)
        malformed = (
            5,
            None,
            [],
            {},
            {"key": 1, "value": "", "revision": 1},
            {"key": "s/z\ud800", "value": "", "revision": 1},
            {"key": "s/z", "revision": 1},
            good | {"key": "s/z", "value": "%"},
            good | {"key": "s/z", "value": None},
            good | {"key": "s/z", "revision": None},
            good | {"key": "s/z", "revision": 1.5},
            good | {"key": "s/z", "revision": 10**400},
            good | {"key": "s/z", "revision": -1},
        )
        for entry in malformed:
            with self.subTest(entry=entry):
                self.queue_response({"entries": [good, entry], "has-more": True, "current-rev": 3})
                self.queue_response({"entries": [entry], "has-more": False, "current-rev": 3})
                listing = await self.store.list_prefix("s/")
                self.assertEqual(listing.items, [StoredItem("s/m", b"1", 3)])
                self.assertEqual(len(listing.unreadable), 2)
                self.queue_response({"events": [entry, good], "current-rev": 3})
                changes = await self.store.watch_prefix("s/", 1, 100)
                self.assertEqual(changes.items, [StoredItem("s/m", b"1", 3)])
                self.assertEqual(len(changes.unreadable), 1)
        self.assertEqual(changes.unreadable[0].key, "s/z")

    async def test_store_that_does_not_respond_counts_as_unavailable(self) -> None:
        released = asyncio.Event()

        async def never_respond(_request: web.BaseRequest) -> web.Response:
            await released.wait()
            return web.Response()

        runner = web.ServerRunner(web.Server(never_respond))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        store = KvStoreClient(Endpoint("127.0.0.1", runner.addresses[0][1]))
        with self.assertRaises(StoreUnavailable):
            await store.watch_prefix("s/", 1, 10)
        released.set()
        await store.close()
        await runner.cleanup()


class StoreViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = StoreView(lambda _key, _value: None)
        self.view.apply([StoredItem("s/a", b"1", 3), StoredItem("s/b", b"2", 4)])

    def test_older_revision_is_ignored(self) -> None:
        self.assertEqual(self.view.apply([StoredItem("s/a", b"0", 2)]), [])
        self.assertEqual(self.view.items["s/a"].value, b"1")

    def test_listing_removes_missing_keys(self) -> None:
        changes = self.view.apply_listing(
            "s/", [StoredItem("s/a", b"1", 3)], 9, keep_earlier_eras=True
        )
        self.assertEqual(changes, [StoredItem("s/b", None, 9)])
        self.assertEqual([item.key for item in self.view.list_entries("s/")], ["s/a"])

    def test_listing_keeps_keys_newer_than_the_listing(self) -> None:
        self.view.apply([StoredItem("s/c", b"3", 12)])
        self.view.apply_listing("s/", [], 9, keep_earlier_eras=True)
        self.assertEqual([item.key for item in self.view.list_entries("s/")], ["s/c"])

    def test_newer_items_include_removed_keys(self) -> None:
        self.view.apply([StoredItem("s/a", None, 10)])
        self.assertEqual([item.key for item in self.view.newer_than("s/", 3)], ["s/b", "s/a"])
        self.assertEqual(self.view.newest_revision("s/"), 10)


if __name__ == "__main__":
    unittest.main()
