"""Interleaved writes from two offices under faults, judged against every version of each page."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random
from typing import TYPE_CHECKING, Any

from bench.config_nodes import node_settings
from bench.config_write_checker import WriteCheckResult, WriterReport, check_writes
from boragetiller.cli.writer import RecordWriter, WriterSettings
from boragetiller.clock import SystemClock
from boragetiller.platform_clients.memory_store import MemoryStore
from boragetiller.records.documents import RecordDocument, parse_documents
from boragetiller.records.pages import PAGE_PREFIX, decode_page, parse_page_key
from boragetiller.records.writes import WriteState
from boragetiller.router.config_sync import ConfigSync
from boragetiller.tables.config import ConfigTable

if TYPE_CHECKING:
    from boragetiller.cli.store_access import StoredPage
    from boragetiller.platform_clients.store import Entry
    from boragetiller.records.writes import PendingWrite

RECORDS = 24
OPERATORS_PER_OFFICE = 4
MAX_RERUNS = 40
MAX_FAULT_INTERVAL_S = 0.006
BASE_DELAY_MS = 1
WRITER_SETTINGS = WriterSettings(attempts=5, retry_base_ms=1, retry_max_ms=8)
VALUES: dict[str, list[Any]] = {
    "tier": [0, 1, 2, 3],
    "deadline_ms": [1_000, 2_000, 3_000],
    "protected": [True, False],
    "first_token_target_ms": [500, 600, 700],
    "between_tokens_target_ms": [30, 40, 50],
    "weight": [1.0, 2.0, 3.0],
}
STORED_NAMES_IN_VERSION_1 = {"first_token_target_ms": "first_token_ms"}
VERSION_2_ONLY_FIELDS = ("between_tokens_target_ms", "weight")


class RecordingStore(MemoryStore):
    """Keeps every version of each page."""

    def __init__(self) -> None:
        """Start empty."""
        super().__init__(SystemClock())
        self.versions: dict[str, list[Entry]] = {}

    def _append_change(self, key: str, value: bytes) -> Entry:
        entry = super()._append_change(key, value)
        if key.startswith(PAGE_PREFIX):
            self.versions.setdefault(key, []).append(entry)
        return entry


class RecordingWriter(RecordWriter):
    """Remembers the base of each write."""

    started_writes: dict[str, PendingWrite]

    def _prepare_write(
        self, pages: dict[int, StoredPage], document: RecordDocument, at_ms: int
    ) -> PendingWrite:
        write = super()._prepare_write(pages, document, at_ms)
        self.started_writes[write.write_id] = write
        return write


async def run_interleaved(seed: int, writes: int) -> WriteCheckResult:
    """
    Write from two offices at once while the store misbehaves.

    :param seed: seed of every choice
    :param writes: number of writes, half of them from each office
    :return: what the run showed
    """
    rng = Random(seed)
    store = RecordingStore()
    started_writes: dict[str, PendingWrite] = {}
    await _create_records(store, started_writes, rng)
    outcome = WriteCheckResult()
    nodes = [_RevertDetector(store, f"router-{number}", outcome, seed) for number in range(3)]
    for node in nodes:
        await node.sync.start()
    faults = asyncio.create_task(_inject_faults(store, Random(seed + 1)))
    peers = asyncio.create_task(_offer_old_pages(store, nodes, Random(seed + 2)))
    share = writes // (2 * OPERATORS_PER_OFFICE)
    reports: list[WriterReport] = []
    _clear_faults(store)
    operators = [
        _run_operator(
            _make_writer(store, office, started_writes, seed + number),
            reports,
            version,
            share,
            Random(f"{seed}/{office}/{number}"),
        )
        for office, version in (("vesturland", 1), ("kalisz", 2))
        for number in range(OPERATORS_PER_OFFICE)
    ]
    await asyncio.gather(*operators)
    for task in (faults, peers):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    _clear_faults(store)
    await _wait_for_nodes(nodes, store)
    for node in nodes:
        await node.sync.close()
    check_writes(outcome, store.versions, started_writes, reports)
    return outcome


class _RevertDetector:
    """A node that follows the store and notes each move back."""

    def __init__(self, store: MemoryStore, name: str, outcome: WriteCheckResult, seed: int) -> None:
        self.table = ConfigTable()
        self._outcome = outcome
        self._last_revisions: dict[str, int] = {}
        self.changed = asyncio.Event()
        settings = node_settings(name, "http://127.0.0.1:1", seed)
        self.sync = ConfigSync(store, self.table, settings, SystemClock(), self._on_change)

    def _on_change(self) -> None:
        for key, revision in self.table.page_revisions.items():
            if revision < self._last_revisions.get(key, 0):
                self._outcome.reverts.append(f"{key}: {self._last_revisions[key]} -> {revision}")
            self._last_revisions[key] = revision
        self.changed.set()


def _make_writer(
    store: MemoryStore, office: str, started_writes: dict[str, PendingWrite], seed: int
) -> RecordingWriter:
    writer = RecordingWriter(store, office, Random(f"{office}/{seed}"), WRITER_SETTINGS)
    writer.started_writes = started_writes
    return writer


async def _create_records(
    store: MemoryStore, started_writes: dict[str, PendingWrite], rng: Random
) -> None:
    text = "kind: group\nname: pool\nschema_version: 2\n"
    for number in range(RECORDS):
        text += f"---\nkind: class\nname: c{number}\nschema_version: 2\ngroup: pool\n"
    writer = _make_writer(store, "kalisz", started_writes, rng.getrandbits(32))
    await writer.write(parse_documents(text), at_ms=0)


async def _run_operator(
    writer: RecordingWriter, reports: list[WriterReport], version: int, count: int, rng: Random
) -> None:
    for step in range(count):
        document = await _make_edit(writer, version, rng)
        write_ids: list[str] = []
        unknown_results = 0
        for _ in range(MAX_RERUNS):
            result = (await writer.write([document], at_ms=step))[0]
            write_ids.append(result.write_id)
            unknown_results += result.state is WriteState.UNKNOWN
            settled = result.state not in (WriteState.UNKNOWN, WriteState.NOT_ACCEPTED)
            if settled or not unknown_results:
                break
        reports.append(WriterReport(write_ids, result, unknown_results))


async def _make_edit(writer: RecordingWriter, version: int, rng: Random) -> RecordDocument:
    record_id = f"class/c{rng.randrange(RECORDS)}"
    names = [n for n in VALUES if version > 1 or n not in VERSION_2_ONLY_FIELDS]
    lines = [f"kind: class\nname: {record_id.partition('/')[2]}\nschema_version: {version}"]
    for name in rng.sample(names, rng.choice((1, 1, 2))):
        shown = STORED_NAMES_IN_VERSION_1.get(name, name) if version == 1 else name
        lines.append(f"{shown}: {str(rng.choice(VALUES[name])).lower()}")
    revision = await _read_revision(writer, record_id)
    if revision is not None and rng.random() < 0.9:
        lines.append(f"base_revision: {max(1, revision - rng.choice((0, 0, 0, 1)))}")
    return parse_documents("\n".join(lines))[0]


async def _read_revision(writer: RecordingWriter, record_id: str) -> int | None:
    store = writer._store
    with contextlib.suppress(Exception):
        for entry in await store.list(PAGE_PREFIX):
            record = decode_page(entry.value).records.get(record_id)
            if record is not None:
                return record.revision
    return None


async def _inject_faults(store: MemoryStore, rng: Random) -> None:
    while True:
        await asyncio.sleep(rng.uniform(0, MAX_FAULT_INTERVAL_S))
        _clear_faults(store)
        fault = rng.choice(
            ("none", "reply", "reply", "request", "delay", "outage", "stale", "watch")
        )
        if fault == "reply":
            store.inject_faults(lose_replies=rng.randint(1, 4))
        elif fault == "request":
            store.inject_faults(lose_requests=rng.randint(1, 2))
        elif fault == "delay":
            store.inject_faults(delay_ms=rng.randint(2, 5))
        elif fault == "outage":
            store.inject_faults(outage=True)
        elif fault == "stale":
            store.inject_faults(stale_reads=True)
        elif fault == "watch":
            store.inject_faults(watch_end=True, watch_repeat=True, watch_skip=True)


async def _offer_old_pages(
    store: RecordingStore, nodes: list[_RevertDetector], rng: Random
) -> None:
    while True:
        await asyncio.sleep(rng.uniform(0, MAX_FAULT_INTERVAL_S))
        entry = rng.choice(store.versions[rng.choice(sorted(store.versions))])
        index = parse_page_key(entry.key)
        if index is not None:
            rng.choice(nodes).sync.apply_page(index, entry.revision, entry.value)


def _clear_faults(store: MemoryStore) -> None:
    store.inject_faults(
        lose_replies=0,
        lose_requests=0,
        delay_ms=BASE_DELAY_MS,
        outage=False,
        stale_reads=False,
        watch_end=False,
        watch_repeat=False,
        watch_skip=False,
    )


async def _wait_for_nodes(nodes: list[_RevertDetector], store: MemoryStore) -> None:
    newest = {entry.key: entry.revision for entry in await store.list(PAGE_PREFIX)}
    async with asyncio.timeout(10):
        for node in nodes:
            while node.table.page_revisions != newest:
                node.changed.clear()
                await node.changed.wait()


__all__ = ["run_interleaved"]
