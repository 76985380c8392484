"""Run interleaved writes of two offices under store faults and check every page version."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random
from typing import TYPE_CHECKING, Any

from bench.config_nodes import build_node_settings
from bench.config_write_checker import Outcome, RetriedWrite, check_writes
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
MAX_ATTEMPTS = 40
MAX_FAULT_PAUSE_S = 0.006
STORE_DELAY_MS = 1
WRITER_SETTINGS = WriterSettings(attempts=5, retry_base_ms=1, retry_max_ms=8)
FIELD_VALUES: dict[str, list[Any]] = {
    "tier": [0, 1, 2, 3],
    "deadline_ms": [1_000, 2_000, 3_000],
    "protected": [True, False],
    "first_token_target_ms": [500, 600, 700],
    "between_tokens_target_ms": [30, 40, 50],
    "weight": [1.0, 2.0, 3.0],
}
VERSION_1_NAMES = {"first_token_target_ms": "first_token_ms"}
VERSION_2_FIELDS = ("between_tokens_target_ms", "weight")


class RecordingStore(MemoryStore):
    """Store that keeps every version of each page."""

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
    """Writer that keeps each prepared write with its base revision."""

    prepared_writes: dict[str, PendingWrite]

    def _prepare_write(
        self, pages: dict[int, StoredPage], document: RecordDocument, at_ms: int
    ) -> PendingWrite:
        write = super()._prepare_write(pages, document, at_ms)
        self.prepared_writes[write.write_id] = write
        return write


async def run_interleaved(seed: int, writes: int) -> Outcome:
    """
    Write from two offices concurrently while faults are injected into the store.

    :param seed: seed of all random choices
    :param writes: number of writes, half of them from each office
    :return: results of the writes and the violations found
    """
    rng = Random(seed)
    store = RecordingStore()
    prepared_writes: dict[str, PendingWrite] = {}
    await _create_records(store, prepared_writes, rng)
    outcome = Outcome()
    nodes = [_WatchingNode(store, f"router-{number}", outcome, seed) for number in range(3)]
    for node in nodes:
        await node.sync.start()
    faults = asyncio.create_task(_inject_faults(store, Random(seed + 1)))
    old_pages = asyncio.create_task(_send_old_pages(store, nodes, Random(seed + 2)))
    writes_per_operator = writes // (2 * OPERATORS_PER_OFFICE)
    retried_writes: list[RetriedWrite] = []
    _clear_faults(store)
    operators = [
        _run_operator(
            _make_writer(store, office, prepared_writes, seed + number),
            retried_writes,
            version,
            writes_per_operator,
            Random(f"{seed}/{office}/{number}"),
        )
        for office, version in (("vesturland", 1), ("kalisz", 2))
        for number in range(OPERATORS_PER_OFFICE)
    ]
    await asyncio.gather(*operators)
    for task in (faults, old_pages):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    _clear_faults(store)
    await _wait_for_nodes(nodes, store)
    for node in nodes:
        await node.sync.close()
    check_writes(outcome, store.versions, prepared_writes, retried_writes)
    return outcome


class _WatchingNode:
    """Node that watches the store and records each decrease of a page revision."""

    def __init__(self, store: MemoryStore, name: str, outcome: Outcome, seed: int) -> None:
        self.table = ConfigTable()
        self._outcome = outcome
        self._revisions: dict[str, int] = {}
        self.changed = asyncio.Event()
        settings = build_node_settings(name, "http://127.0.0.1:1", seed)
        self.sync = ConfigSync(store, self.table, settings, SystemClock(), self._on_change)

    def _on_change(self) -> None:
        for key, revision in self.table.page_revisions.items():
            if revision < self._revisions.get(key, 0):
                self._outcome.reverts.append(f"{key}: {self._revisions[key]} -> {revision}")
            self._revisions[key] = revision
        self.changed.set()


def _make_writer(
    store: MemoryStore, office: str, prepared_writes: dict[str, PendingWrite], seed: int
) -> RecordingWriter:
    writer = RecordingWriter(store, office, Random(f"{office}/{seed}"), WRITER_SETTINGS)
    writer.prepared_writes = prepared_writes
    return writer


async def _create_records(
    store: MemoryStore, prepared_writes: dict[str, PendingWrite], rng: Random
) -> None:
    text = "kind: group\nname: pool\nschema_version: 2\n"
    for number in range(RECORDS):
        text += f"---\nkind: class\nname: c{number}\nschema_version: 2\ngroup: pool\n"
    writer = _make_writer(store, "kalisz", prepared_writes, rng.getrandbits(32))
    await writer.write(parse_documents(text), at_ms=0)


async def _run_operator(
    writer: RecordingWriter,
    retried_writes: list[RetriedWrite],
    version: int,
    count: int,
    rng: Random,
) -> None:
    for step in range(count):
        document = await _build_document(writer, version, rng)
        write_ids: list[str] = []
        unknown = 0
        for _ in range(MAX_ATTEMPTS):
            result = (await writer.write([document], at_ms=step))[0]
            write_ids.append(result.write_id)
            unknown += result.state is WriteState.UNKNOWN
            is_resolved = result.state not in (WriteState.UNKNOWN, WriteState.NOT_ACCEPTED)
            if is_resolved or not unknown:
                break
        retried_writes.append(RetriedWrite(write_ids, result, unknown))


async def _build_document(writer: RecordingWriter, version: int, rng: Random) -> RecordDocument:
    record_id = f"class/c{rng.randrange(RECORDS)}"
    names = [n for n in FIELD_VALUES if version > 1 or n not in VERSION_2_FIELDS]
    lines = [f"kind: class\nname: {record_id.partition('/')[2]}\nschema_version: {version}"]
    for name in rng.sample(names, rng.choice((1, 1, 2))):
        written_name = VERSION_1_NAMES.get(name, name) if version == 1 else name
        lines.append(f"{written_name}: {str(rng.choice(FIELD_VALUES[name])).lower()}")
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
        await asyncio.sleep(rng.uniform(0, MAX_FAULT_PAUSE_S))
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


async def _send_old_pages(store: RecordingStore, nodes: list[_WatchingNode], rng: Random) -> None:
    while True:
        await asyncio.sleep(rng.uniform(0, MAX_FAULT_PAUSE_S))
        entry = rng.choice(store.versions[rng.choice(sorted(store.versions))])
        index = parse_page_key(entry.key)
        if index is not None:
            rng.choice(nodes).sync.apply_page(index, entry.revision, entry.value)


def _clear_faults(store: MemoryStore) -> None:
    store.inject_faults(
        lose_replies=0,
        lose_requests=0,
        delay_ms=STORE_DELAY_MS,
        outage=False,
        stale_reads=False,
        watch_end=False,
        watch_repeat=False,
        watch_skip=False,
    )


async def _wait_for_nodes(nodes: list[_WatchingNode], store: MemoryStore) -> None:
    newest = {entry.key: entry.revision for entry in await store.list(PAGE_PREFIX)}
    async with asyncio.timeout(10):
        for node in nodes:
            while node.table.page_revisions != newest:
                node.changed.clear()
                await node.changed.wait()


__all__ = ["run_interleaved"]
