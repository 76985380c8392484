"""Interleaved writes from two offices under faults, judged against every version of each page."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Any

import attrs

from bench.config_nodes import node_settings
from boragetiller.cli.writer import RecordWriter, WriterSettings
from boragetiller.clock import SystemClock
from boragetiller.platform.memory import MemoryStore
from boragetiller.records.documents import RecordDocument, parse_documents
from boragetiller.records.pages import PAGE_PREFIX, decode_page
from boragetiller.records.schema import RecordKind, default_of, fields_of
from boragetiller.records.writes import WriteState
from boragetiller.router.config_sync import ConfigSync
from boragetiller.tables.config import ConfigTable

if TYPE_CHECKING:
    from boragetiller.cli.store_access import StoredPage
    from boragetiller.platform.store import Entry
    from boragetiller.records.pages import StoredRecord
    from boragetiller.records.writes import PendingWrite, WriteResult

RECORDS = 24
OPERATORS_PER_OFFICE = 4
MAX_RERUNS = 40
FAULT_PAUSE_S = 0.004
WRITER = WriterSettings(attempts=5, retry_base_ms=1, retry_max_ms=8)
VALUES: dict[str, list[Any]] = {
    "tier": [0, 1, 2, 3],
    "deadline_ms": [1_000, 2_000, 3_000],
    "protected": [True, False],
    "first_token_target_ms": [500, 600, 700],
    "between_tokens_target_ms": [30, 40, 50],
    "weight": [1.0, 2.0, 3.0],
}
OLD_NAMES = {"first_token_target_ms": "first_token_ms"}
NEW_ONLY = ("between_tokens_target_ms", "weight")
NOT_WRITTEN = (WriteState.CONFLICT, WriteState.REFUSED, WriteState.UNCHANGED)


class RecordingStore(MemoryStore):
    """Keeps every version of each page."""

    def __init__(self) -> None:
        """Start empty."""
        super().__init__(SystemClock())
        self.versions: dict[str, list[bytes]] = {}

    def _append(self, key: str, value: bytes) -> Entry:
        if key.startswith(PAGE_PREFIX):
            self.versions.setdefault(key, []).append(value)
        return super()._append(key, value)


class RecordingWriter(RecordWriter):
    """Remembers the base of each write."""

    begun: dict[str, PendingWrite]

    def _begin(
        self, pages: dict[int, StoredPage], document: RecordDocument, at_ms: int
    ) -> PendingWrite:
        write = super()._begin(pages, document, at_ms)
        self.begun[write.write_id] = write
        return write


@attrs.define
class Outcome:
    """What the run showed."""

    answers: Counter[str] = attrs.Factory(Counter)
    unsettled: int = 0
    lost_writes: list[str] = attrs.Factory(list)
    reverts: list[str] = attrs.Factory(list)
    false_answers: list[str] = attrs.Factory(list)
    versions: int = 0


@attrs.define
class _Told:
    """The answers to one writer, who ran again after an unknown."""

    write_ids: list[str]
    final: WriteResult


async def run_interleaved(seed: int, writes: int) -> Outcome:
    """
    Write from two offices at once while the store misbehaves.

    :param seed: seed of every choice
    :param writes: number of writes, half of them from each office
    :return: what the run showed
    """
    rng = Random(seed)
    store = RecordingStore()
    begun: dict[str, PendingWrite] = {}
    await _create_records(store, begun, rng)
    outcome = Outcome()
    nodes = [_Node(store, f"router-{number}", outcome, seed) for number in range(3)]
    for node in nodes:
        await node.sync.start()
    faults = asyncio.create_task(_inject_faults(store, Random(seed + 1)))
    share = writes // (2 * OPERATORS_PER_OFFICE)
    told: list[_Told] = []
    operators = [
        _operate(_make_writer(store, office, begun, seed + number), told, version, share, number)
        for office, version in (("vesturland", 1), ("kalisz", 2))
        for number in range(OPERATORS_PER_OFFICE)
    ]
    await asyncio.gather(*operators)
    faults.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await faults
    _clear_faults(store)
    await _wait_for_nodes(nodes, store)
    for node in nodes:
        await node.sync.close()
    _judge(outcome, store, begun, told)
    return outcome


class _Node:
    """A node that follows the store and notes each move back."""

    def __init__(self, store: MemoryStore, name: str, outcome: Outcome, seed: int) -> None:
        self.table = ConfigTable()
        self._outcome = outcome
        self._seen: dict[str, int] = {}
        self.changed = asyncio.Event()
        settings = node_settings(name, "http://127.0.0.1:1", seed)
        self.sync = ConfigSync(store, self.table, settings, SystemClock(), self._on_change)

    def _on_change(self) -> None:
        for key, revision in self.table.page_revisions.items():
            if revision < self._seen.get(key, 0):
                self._outcome.reverts.append(f"{key}: {self._seen[key]} -> {revision}")
            self._seen[key] = revision
        self.changed.set()


def _make_writer(
    store: MemoryStore, office: str, begun: dict[str, PendingWrite], seed: int
) -> RecordingWriter:
    writer = RecordingWriter(store, office, Random(f"{office}/{seed}"), WRITER)
    writer.begun = begun
    return writer


async def _create_records(store: MemoryStore, begun: dict[str, PendingWrite], rng: Random) -> None:
    text = "kind: group\nname: pool\nschema_version: 2\n"
    for number in range(RECORDS):
        text += f"---\nkind: class\nname: c{number}\nschema_version: 2\ngroup: pool\n"
    writer = _make_writer(store, "kalisz", begun, rng.getrandbits(32))
    await writer.write(parse_documents(text), at_ms=0)


async def _operate(
    writer: RecordingWriter, told: list[_Told], version: int, count: int, number: int
) -> None:
    rng = Random(f"{version}/{number}")
    for step in range(count):
        document = await _edit(writer, version, rng)
        write_ids: list[str] = []
        for _ in range(MAX_RERUNS):
            result = (await writer.write([document], at_ms=step))[0]
            write_ids.append(result.write_id)
            if result.state not in (WriteState.UNKNOWN, WriteState.NOT_ACCEPTED):
                break
        told.append(_Told(write_ids, result))


async def _edit(writer: RecordingWriter, version: int, rng: Random) -> RecordDocument:
    record_id = f"class/c{rng.randrange(RECORDS)}"
    names = [n for n in VALUES if version > 1 or n not in NEW_ONLY]
    lines = [f"kind: class\nname: {record_id.partition('/')[2]}\nschema_version: {version}"]
    for name in rng.sample(names, rng.choice((1, 1, 2))):
        shown = OLD_NAMES.get(name, name) if version == 1 else name
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
        await asyncio.sleep(rng.uniform(0, FAULT_PAUSE_S))
        _clear_faults(store)
        fault = rng.choice(
            ("none", "reply", "reply", "request", "delay", "outage", "stale", "watch")
        )
        if fault == "reply":
            store.inject(lose_replies=rng.randint(1, 4))
        elif fault == "request":
            store.inject(lose_requests=rng.randint(1, 2))
        elif fault == "delay":
            store.inject(delay_ms=rng.randint(1, 3))
        elif fault == "outage":
            store.inject(outage=True)
        elif fault == "stale":
            store.inject(stale_reads=True)
        elif fault == "watch":
            store.inject(watch_end=True, watch_repeat=True, watch_skip=True)


def _clear_faults(store: MemoryStore) -> None:
    store.inject(
        lose_replies=0,
        lose_requests=0,
        delay_ms=0,
        outage=False,
        stale_reads=False,
        watch_end=False,
        watch_repeat=False,
        watch_skip=False,
    )


async def _wait_for_nodes(nodes: list[_Node], store: MemoryStore) -> None:
    newest = {entry.key: entry.revision for entry in await store.list(PAGE_PREFIX)}
    async with asyncio.timeout(10):
        for node in nodes:
            while node.table.page_revisions != newest:
                node.changed.clear()
                await node.changed.wait()


def _judge(
    outcome: Outcome, store: RecordingStore, begun: dict[str, PendingWrite], told: list[_Told]
) -> None:
    effects: Counter[str] = Counter()
    for key in sorted(store.versions):
        effects.update(_judge_page(outcome, store.versions[key], begun))
    outcome.versions = sum(len(versions) for versions in store.versions.values())
    outcome.lost_writes += [f"{name} took effect twice" for name, n in effects.items() if n > 1]
    for each in told:
        state = each.final.state
        outcome.answers[state.value] += 1
        took_effect = any(effects[write_id] for write_id in each.write_ids if write_id)
        if state is WriteState.ACCEPTED and not took_effect:
            outcome.false_answers.append(f"accepted without effect: {each}")
        if state in NOT_WRITTEN and effects[each.final.write_id]:
            outcome.false_answers.append(f"{state.value} with effect: {each}")
        outcome.unsettled += state in (WriteState.UNKNOWN, WriteState.NOT_ACCEPTED)


def _judge_page(
    outcome: Outcome, versions: list[bytes], begun: dict[str, PendingWrite]
) -> Counter[str]:
    effects: Counter[str] = Counter()
    known: dict[str, dict[int, dict[str, Any]]] = {}
    before: dict[str, StoredRecord] = {}
    for data in versions:
        after = decode_page(data).records
        for record_id, record in after.items():
            old = before.get(record_id)
            if old is not None and old.revision == record.revision:
                if old.fields != record.fields:
                    outcome.lost_writes.append(f"{record_id} changed without a write")
                continue
            write = begun[record.history[-1].write_id]
            effects[write.write_id] += 1
            states = known.setdefault(record_id, {0: {}})
            _judge_write(outcome, write, states, old.fields if old else {}, record.fields)
            states[record.revision] = record.fields
        before = after
    return effects


def _judge_write(
    outcome: Outcome,
    write: PendingWrite,
    states: dict[int, dict[str, Any]],
    old: dict[str, Any],
    new: dict[str, Any],
) -> None:
    base = states.get(write.base_revision or 0, {})
    specs = {spec.stored_name: spec for spec in fields_of(RecordKind.CLASS, 2).values()}
    for name, stored in old.items():
        if new.get(name) == stored:
            continue
        default = default_of(RecordKind.CLASS, specs[name]) if name in specs else None
        if name not in write.document.fields or base.get(name, default) != stored:
            outcome.lost_writes.append(f"{write.document.record_id}: {name} of {stored} lost")


__all__ = ["Outcome", "run_interleaved"]
