"""Access of commands to the pages in the platform's store."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import SettingsInvalid
from boragetiller.platform_clients.http_store import HttpStore
from boragetiller.records.pages import (
    PAGE_PREFIX,
    Page,
    decode_page,
    get_page_index,
    parse_page_key,
    split_record_id,
)
from boragetiller.settings import PlatformSettings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from boragetiller.platform_clients.store import Entry, Store
    from boragetiller.records.pages import StoredRecord


@attrs.define(kw_only=True)
class StoredPage:
    """A page as read from the store; `problem` is the reason if it could not be decoded."""

    revision: int
    data: bytes
    page: Page
    problem: str = ""

    @property
    def problems(self) -> tuple[str, ...]:
        """:return: why the page, or records of it, cannot be decoded"""
        if self.problem:
            return (self.problem,)
        return tuple(raw.reason for raw in self.page.raw_records.values())


@contextlib.asynccontextmanager
async def open_store(store_url: str, timeout_ms: int) -> AsyncIterator[HttpStore]:
    """
    Open a client of the store and close it at the end.

    :param store_url: base URL of the store
    :param timeout_ms: time limit of one call in milliseconds
    :raises SettingsInvalid: the URL is not an HTTP URL
    """
    if not store_url.startswith(("http://", "https://")):
        raise SettingsInvalid(f"store URL {store_url!r}: must begin with http:// or https://")
    settings = PlatformSettings(store_url=store_url, host_list_url=store_url, timeout_ms=timeout_ms)
    store = HttpStore(settings)
    await store.start()
    try:
        yield store
    finally:
        await store.close()


async def read_pages(store: Store) -> dict[int, StoredPage]:
    """
    Read every page with one call to the store.

    :param store: the platform's store
    :return: pages by index
    :raises StoreUnavailable: the store did not respond in time
    """
    pages: dict[int, StoredPage] = {}
    for entry in await store.list(PAGE_PREFIX):
        index = parse_page_key(entry.key)
        if index is not None:
            pages[index] = decode_entry(entry)
    return pages


def decode_entry(entry: Entry | None) -> StoredPage:
    """:return: the page of a store entry, an empty page if there is no entry"""
    if entry is None:
        return StoredPage(revision=0, data=b"", page=Page())
    try:
        page = decode_page(entry.value)
    except SettingsInvalid as error:
        return StoredPage(
            revision=entry.revision, data=entry.value, page=Page(), problem=f"{entry.key}: {error}"
        )
    return StoredPage(revision=entry.revision, data=entry.value, page=page)


def find_record(pages: dict[int, StoredPage], record_id: str) -> StoredRecord:
    """
    Look up one record.

    :param pages: pages by index
    :param record_id: kind and name, as in `customer/kopar`
    :return: the stored record
    :raises SettingsInvalid: there is no such record, or its page cannot be decoded
    """
    split_record_id(record_id)
    stored_page = pages.get(get_page_index(record_id))
    if stored_page is not None and stored_page.problem:
        raise SettingsInvalid(f"{record_id}: {stored_page.problem}")
    raw = stored_page.page.raw_records.get(record_id) if stored_page else None
    if raw is not None:
        raise SettingsInvalid(raw.reason)
    record = stored_page.page.records.get(record_id) if stored_page else None
    if record is None:
        raise SettingsInvalid(f"{record_id}: no such record; `boragetiller list` shows all")
    return record


__all__ = ["StoredPage", "decode_entry", "find_record", "open_store", "read_pages"]
