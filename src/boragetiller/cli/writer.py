"""Writer of documents to the store by compare-and-swap, which resolves lost replies."""

from __future__ import annotations

import asyncio
from copy import deepcopy
from typing import TYPE_CHECKING

import attrs

from boragetiller.cli.store_access import StoredPage, decode_entry, read_pages
from boragetiller.errors import BoragetillerError, RevisionConflict, StoreUnavailable
from boragetiller.records.pages import (
    MAX_RECENT_WRITES,
    Page,
    build_page_key,
    encode_page,
    get_page_index,
)
from boragetiller.records.schema import RecordKind
from boragetiller.records.writes import (
    PendingWrite,
    WriteResult,
    WriteState,
    apply_write,
    is_write_outcome_known,
    prepare_write,
)
from boragetiller.systems.config_pages import PageUpdate, apply_pages, mark_ready
from boragetiller.tables.config import ConfigTable

if TYPE_CHECKING:
    from random import Random

    from boragetiller.platform_clients.store import Store
    from boragetiller.records.documents import RecordDocument
    from boragetiller.records.references import ReferenceProblem

MS_PER_S = 1_000
MAX_BATCH_WRITES = MAX_RECENT_WRITES // 2
_KIND_ORDER = (RecordKind.GROUP, RecordKind.CLASS, RecordKind.CUSTOMER)


@attrs.frozen(kw_only=True)
class WriterSettings:
    """Retries of a writer."""

    attempts: int = 8
    retry_base_ms: int = 50
    retry_max_ms: int = 2_000


@attrs.frozen(kw_only=True)
class _LostReply:
    expected_revision: int
    write_count: int


class RecordWriter:
    """Writes the documents of one office, with retries."""

    def __init__(
        self, store: Store, office: str, rng: Random, settings: WriterSettings | None = None
    ) -> None:
        """
        Create a writer.

        :param store: the platform's store
        :param office: name of the writing office, stored in the history
        :param rng: source of the jitter of delays between attempts
        :param settings: number of attempts and their delays
        """
        self._store = store
        self._office = office
        self._rng = rng
        self._settings = settings or WriterSettings()

    async def write(self, documents: list[RecordDocument], at_ms: int) -> list[WriteResult]:
        """
        Write documents; those of one page are written by the same compare-and-swap.

        :param documents: the documents to write
        :param at_ms: wall-clock time in milliseconds since 1970 in UTC
        :return: a result for each document, in order
        """
        try:
            pages = await self._read_pages()
        except StoreUnavailable:
            return [_build_not_accepted(document.record_id) for document in documents]
        writes = [self._prepare_write(pages, document, at_ms) for document in documents]
        problems = find_new_reference_problems(pages, writes)
        if problems:
            text = "this run wrote nothing of the file: " + "; ".join(map(str, problems))
            return [build_refusal(write, text) for write in writes]
        results: dict[str, WriteResult] = {}
        for index, batch in _plan_batches(writes):
            for result in await self._write_page(index, batch):
                results[result.record_id] = result
        return [results[document.record_id] for document in documents]

    def _prepare_write(
        self, pages: dict[int, StoredPage], document: RecordDocument, at_ms: int
    ) -> PendingWrite:
        stored = pages.get(get_page_index(document.record_id))
        page = stored.page if stored else Page()
        return prepare_write(page, document, self._office, at_ms)

    async def _read_pages(self) -> dict[int, StoredPage]:
        for attempt in range(1, self._settings.attempts):
            try:
                return await read_pages(self._store)
            except StoreUnavailable:
                await self._back_off(attempt)
        return await read_pages(self._store)

    async def _write_page(self, index: int, writes: list[PendingWrite]) -> list[WriteResult]:
        lost_reply: _LostReply | None = None
        for attempt in range(self._settings.attempts):
            if attempt:
                await self._back_off(attempt)
            try:
                stored = decode_entry(await self._store.get(build_page_key(index)))
            except StoreUnavailable:
                continue
            if stored.problem:
                return [build_refusal(write, stored.problem) for write in writes]
            if lost_reply is not None and stored.revision < lost_reply.expected_revision:
                continue  # stale read
            if lost_reply is not None and stored.revision > lost_reply.expected_revision:
                unresolved = [
                    write
                    for write in writes
                    if not is_write_outcome_known(stored.page, write, lost_reply.write_count)
                ]
                if unresolved:
                    break
                lost_reply = None
            write_count = stored.page.write_count
            results = [apply_write(stored.page, write) for write in writes]
            if stored.page.write_count == write_count:
                return results
            try:
                await self._put(index, stored)
            except RevisionConflict:
                continue
            except StoreUnavailable:
                lost_reply = lost_reply or _LostReply(
                    expected_revision=stored.revision, write_count=write_count
                )
                continue
            except BoragetillerError as error:
                return [build_refusal(write, str(error)) for write in writes]
            return results
        return [_build_unresolved(write, lost_reply is not None) for write in writes]

    async def _put(self, index: int, stored: StoredPage) -> None:
        data = encode_page(stored.page)
        await self._store.put(build_page_key(index), data, expected_revision=stored.revision)

    async def _back_off(self, attempt: int) -> None:
        ceiling_ms = min(self._settings.retry_base_ms * 2**attempt, self._settings.retry_max_ms)
        await asyncio.sleep(self._rng.uniform(0, ceiling_ms) / MS_PER_S)


def find_new_reference_problems(
    pages: dict[int, StoredPage], writes: list[PendingWrite]
) -> list[ReferenceProblem]:
    """
    Find the reference problems that would arise if all writes were accepted.

    A record whose page cannot be decoded is assumed to exist.

    :param pages: pages as stored, by index
    :param writes: the writes to check
    :return: problems that the stored records do not have yet
    """
    before = _build_config_table(pages)
    after_pages = deepcopy(pages)
    for write in writes:
        index = get_page_index(write.document.record_id)
        stored = after_pages.setdefault(index, StoredPage(revision=0, data=b"", page=Page()))
        apply_write(stored.page, write)
    after = _build_config_table(after_pages)
    unreadable = {index for index, stored in pages.items() if stored.problem}
    return [
        problem
        for problem in after.reference_problems
        if problem not in before.reference_problems
        and not (problem.target_id and get_page_index(problem.target_id) in unreadable)
    ]


def find_missing_references(pages: dict[int, StoredPage]) -> list[ReferenceProblem]:
    """:return: the reference problems of the stored records"""
    return list(_build_config_table(pages).reference_problems)


def build_refusal(write: PendingWrite, message: str) -> WriteResult:
    """:return: the result of a refused write"""
    return WriteResult(
        record_id=write.document.record_id,
        state=WriteState.REFUSED,
        write_id=write.write_id,
        message=message,
    )


def _build_config_table(pages: dict[int, StoredPage]) -> ConfigTable:
    table = ConfigTable()
    updates = [
        PageUpdate(index=index, revision=1, data=encode_page(stored.page))
        for index, stored in pages.items()
    ]
    apply_pages(table, updates, now_ms=0)
    mark_ready(table)
    return table


def _plan_batches(writes: list[PendingWrite]) -> list[tuple[int, list[PendingWrite]]]:
    phases: list[list[PendingWrite]] = []
    for kind in _KIND_ORDER:
        phases.append([w for w in writes if w.document.kind is kind and not w.document.absent])
    for kind in reversed(_KIND_ORDER):
        phases.append([w for w in writes if w.document.kind is kind and w.document.absent])
    batches = []
    for phase in phases:
        by_page: dict[int, list[PendingWrite]] = {}
        for write in phase:
            by_page.setdefault(get_page_index(write.document.record_id), []).append(write)
        for index, batch in sorted(by_page.items()):
            starts = range(0, len(batch), MAX_BATCH_WRITES)
            batches += [(index, batch[start : start + MAX_BATCH_WRITES]) for start in starts]
    return batches


def _build_not_accepted(record_id: str, write_id: str = "") -> WriteResult:
    return WriteResult(
        record_id=record_id,
        write_id=write_id,
        state=WriteState.NOT_ACCEPTED,
        message="the store does not answer or is overloaded; this run wrote nothing, run it again",
    )


def _build_unresolved(write: PendingWrite, reply_lost: bool) -> WriteResult:
    if not reply_lost:
        return _build_not_accepted(write.document.record_id, write.write_id)
    return WriteResult(
        record_id=write.document.record_id,
        state=WriteState.UNKNOWN,
        write_id=write.write_id,
        message="a write was sent and its reply was lost; run the same command again to resolve it",
    )


__all__ = [
    "RecordWriter",
    "WriterSettings",
    "find_new_reference_problems",
    "find_missing_references",
    "build_refusal",
]
