"""
Apply configuration pages to the configuration table.

The revision of a page never decreases, and a record never goes back to an earlier version, even
when the store is restored from an older copy.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.errors import SettingsInvalid
from boragetiller.records.build import UnreadableRecord, build_record
from boragetiller.records.pages import build_page_key, decode_page, split_record_id
from boragetiller.records.references import find_reference_problems
from boragetiller.records.restores import find_newer_records
from boragetiller.records.schema import RecordKind
from boragetiller.store_eras import get_era
from boragetiller.tables.config import HeldPage, LostPage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.records.model import Record
    from boragetiller.records.pages import Page, StoredRecord
    from boragetiller.tables.config import ConfigTable


@attrs.frozen(kw_only=True)
class PageUpdate:
    """A page received from the store or from a peer."""

    index: int
    revision: int
    data: bytes


def apply_pages(table: ConfigTable, updates: Iterable[PageUpdate], now_ms: int) -> list[PageUpdate]:
    """
    Apply the pages that are newer than those held.

    Once the table is ready, the indexes of keys and references are rebuilt whenever these change.

    :param table: the configuration of this node
    :param updates: pages in any order, including repeated and old ones
    :param now_ms: monotonic time in milliseconds
    :return: the updates that were applied
    """
    applied = [update for update in updates if _apply_page(table, update, now_ms)]
    if table.ready:
        _rebuild_indexes(table)
    return applied


def mark_ready(table: ConfigTable) -> None:
    """
    Mark the table as holding a complete configuration, and build its indexes.

    :param table: the configuration of this node
    """
    table.ready = True
    _rebuild_indexes(table)


def list_newer_pages(table: ConfigTable, revisions: dict[int, int]) -> list[PageUpdate]:
    """
    List the pages held in a newer revision than a peer's.

    :param table: the configuration of this node
    :param revisions: revisions of the peer's pages, by index
    :return: the newer pages, by index
    """
    return [
        PageUpdate(index=index, revision=page.revision, data=page.data)
        for index, page in sorted(table.pages.items())
        if page.revision > revisions.get(index, 0)
    ]


def list_lost_pages(table: ConfigTable) -> list[PageUpdate]:
    """:return: pages of earlier eras with records in force that a restored store lacks, by index"""
    return [
        PageUpdate(index=index, revision=lost.revision, data=lost.data)
        for index, page in sorted(table.pages.items())
        for lost in page.retained_from
    ]


def list_missing_pages(table: ConfigTable, revisions: dict[int, int]) -> list[int]:
    """:return: indexes of the pages that a peer with these revisions holds in a newer revision"""
    return sorted(
        index
        for index, revision in revisions.items()
        if index not in table.pages or table.pages[index].revision < revision
    )


def list_unreadable_records(table: ConfigTable) -> dict[str, str]:
    """:return: the reason for each record or page that this version cannot read"""
    reasons: dict[str, str] = {}
    for index, page in sorted(table.pages.items()):
        reasons.update(page.unreadable)
        if page.problem:
            reasons[build_page_key(index)] = page.problem
    return reasons


def _apply_page(table: ConfigTable, update: PageUpdate, now_ms: int) -> bool:
    held = table.pages.get(update.index)
    if held is not None and get_era(update.revision) < get_era(held.revision):
        return _retain_records(table, held, update)
    if held is not None and update.revision <= held.revision:
        return False
    known = _list_known_records(held, update.revision)
    applied = HeldPage(revision=update.revision, data=update.data, applied_ms=now_ms)
    table.pages[update.index] = applied
    table.page_revisions[build_page_key(update.index)] = update.revision
    try:
        page = decode_page(update.data)
    except SettingsInvalid as error:
        applied.problem = str(error)
        applied.record_revisions = held.record_revisions if held else {}
        applied.retained = known
        applied.retained_from = _list_lost_pages(held, applied)
        return True
    _keep_raw_records(applied, held, page)
    applied.retained = find_newer_records(known, page.records)
    applied.retained_from = _list_lost_pages(held, applied)
    _apply_records(table, page.records | applied.retained, applied)
    if set(applied.unreadable) != set(held.unreadable if held else ()):
        table.references_changed = True
    for record_id in set(held.record_revisions if held else ()) - set(applied.record_revisions):
        _set_record(table, record_id, None)
    return True


def _keep_raw_records(applied: HeldPage, held: HeldPage | None, page: Page) -> None:
    """Leave in force what is known of records that the applied page has in an unreadable form."""
    for record_id, raw in page.raw_records.items():
        applied.unreadable[record_id] = raw.reason
        if held is not None and record_id in held.record_revisions:
            applied.record_revisions[record_id] = held.record_revisions[record_id]


def _list_known_records(held: HeldPage | None, revision: int) -> dict[str, StoredRecord]:
    """:return: records that a page of this revision may have lost in a restore, by ID"""
    if held is None:
        return {}
    if get_era(revision) == get_era(held.revision) or held.problem:
        return held.retained
    return decode_page(held.data).records | held.retained


def _list_lost_pages(held: HeldPage | None, applied: HeldPage) -> tuple[LostPage, ...]:
    """:return: pages from which the records are that the applied page retains"""
    if held is None or not applied.retained:
        return ()
    if get_era(held.revision) == get_era(applied.revision):
        return held.retained_from
    return (*held.retained_from, LostPage(held.revision, held.data))


def _retain_records(table: ConfigTable, held: HeldPage, update: PageUpdate) -> bool:
    """
    Retain the records of a page of an earlier era that the held page has lost.

    :return: whether there are any
    """
    try:
        records = decode_page(update.data).records
        present = {} if held.problem else decode_page(held.data).records
    except SettingsInvalid:
        return False
    lost = find_newer_records(records, present | held.retained)
    if not lost:
        return False
    held.retained |= lost
    held.retained_from = (*held.retained_from, LostPage(update.revision, update.data))
    _apply_records(table, lost, held)
    return True


def _apply_records(table: ConfigTable, records: dict[str, StoredRecord], applied: HeldPage) -> None:
    for record_id, stored in records.items():
        applied.record_revisions[record_id] = stored.revision
        try:
            record = build_record(record_id, stored)
        except UnreadableRecord as error:
            applied.unreadable[record_id] = str(error)
            continue
        _set_record(table, record_id, record)


def _set_record(table: ConfigTable, record_id: str, record: Any) -> None:
    try:
        kind, name = split_record_id(record_id)
    except SettingsInvalid:
        return  # a kind of record introduced by a newer version
    by_kind: dict[RecordKind, dict[str, Any]] = {
        RecordKind.CUSTOMER: table.customers,
        RecordKind.CLASS: table.classes,
        RecordKind.GROUP: table.groups,
    }
    records = by_kind[kind]
    if _get_references(records.get(name)) != _get_references(record):
        table.references_changed = True
    if record is None:
        records.pop(name, None)
    else:
        records[name] = record


def _get_references(record: Record | None) -> tuple[object, ...] | None:
    if record is None:
        return None
    names = ("key_hashes", "classes", "group")
    return tuple(getattr(record, name, None) for name in names)


def _rebuild_indexes(table: ConfigTable) -> None:
    if not table.references_changed:
        return
    table.references_changed = False
    table.customers_by_key = {
        key_hash: name
        for name in sorted(table.customers, reverse=True)  # a shared key belongs to the first name
        for key_hash in table.customers[name].key_hashes
    }
    table.reference_problems = tuple(
        find_reference_problems(
            table.customers, table.classes, table.groups, list_unreadable_records(table)
        )
    )


__all__ = [
    "PageUpdate",
    "mark_ready",
    "list_lost_pages",
    "list_missing_pages",
    "list_newer_pages",
    "apply_pages",
    "list_unreadable_records",
]
