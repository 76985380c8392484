"""Pages: the stored form of records, with many records under one key of the store."""

from __future__ import annotations

import hashlib
import json
import zlib
from typing import Any

import attrs

from boragetiller.errors import SettingsInvalid
from boragetiller.records.schema import ABSENT_FIELD, RecordKind
from boragetiller.value_checks import check_count

PAGE_COUNT = 64
PAGE_PREFIX = "config/"
PAGE_FORMAT = 1
MAX_PAGE_BYTES = 16_000_000  # after decompression
COMPRESSION_LEVEL = 6
MAX_RECENT_WRITES = 256
MAX_TIME_MS = 253_402_300_799_999  # end of the year 9999, the last that datetime can show
MAX_RECORD_HISTORY = 8


@attrs.frozen(kw_only=True)
class HistoryEntry:
    """One accepted write of a record; `changes` maps each field to its old and new value."""

    write_id: str
    office: str
    at_ms: int  # wall clock of the writer, milliseconds since 1970 in UTC
    schema_version: int
    revision: int  # of the record, after the write
    changes: dict[str, tuple[Any, Any]]


@attrs.define(kw_only=True)
class StoredRecord:
    """One record in a page; `extra` preserves keys that this version does not know."""

    schema_version: int
    revision: int = 0
    fields: dict[str, Any] = attrs.Factory(dict)
    history: list[HistoryEntry] = attrs.Factory(list)
    extra: dict[str, Any] = attrs.Factory(dict)

    @property
    def absent(self) -> bool:
        """:return: whether the record was removed"""
        return bool(self.fields.get(ABSENT_FIELD))


@attrs.frozen(kw_only=True)
class RawRecord:
    """A record of a page that cannot be decoded; a write of the page stores it unchanged."""

    body: Any
    reason: str


@attrs.define(kw_only=True)
class Page:
    """The records under one store key, and the identifiers of the page's recent writes."""

    write_count: int = 0
    recent_writes: list[str] = attrs.Factory(list)  # oldest first
    records: dict[str, StoredRecord] = attrs.Factory(dict)
    raw_records: dict[str, RawRecord] = attrs.Factory(dict)
    extra: dict[str, Any] = attrs.Factory(dict)


def get_page_index(record_id: str) -> int:
    """
    Compute which page holds a record.

    :param record_id: kind and name, as in `customer/kopar`
    :return: index of the page, 0 to 63
    """
    return hashlib.sha256(record_id.encode()).digest()[0] % PAGE_COUNT


def build_page_key(index: int) -> str:
    """:return: the store key of a page"""
    return f"{PAGE_PREFIX}{index:02d}"


def parse_page_key(key: str) -> int | None:
    """:return: index of the page with this store key, None if the key is not that of a page"""
    digits = key.removeprefix(PAGE_PREFIX)
    if key == digits or len(digits) != 2 or not digits.isdigit():
        return None
    index = int(digits)
    return index if index < PAGE_COUNT else None


def split_record_id(record_id: str) -> tuple[RecordKind, str]:
    """
    Split a record ID into kind and name.

    :param record_id: kind and name, as in `customer/kopar`
    :return: kind and name
    :raises SettingsInvalid: the kind is unknown or the name is empty
    """
    kind_text, _, name = record_id.partition("/")
    try:
        kind = RecordKind(kind_text)
    except ValueError as error:
        allowed = ", ".join(k.value for k in RecordKind)
        raise SettingsInvalid(f"{record_id}: unknown kind; allowed: {allowed}") from error
    if not name:
        raise SettingsInvalid(f"{record_id}: name missing")
    return kind, name


def encode_page(page: Page) -> bytes:
    """:return: the page as compressed JSON"""
    records = {name: raw.body for name, raw in page.raw_records.items()}
    records |= {name: _encode_record(record) for name, record in page.records.items()}
    body = {
        **page.extra,
        "format": PAGE_FORMAT,
        "write_count": page.write_count,
        "recent_writes": page.recent_writes,
        "records": records,
    }
    text = json.dumps(body, separators=(",", ":"), sort_keys=True)
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decode_page(data: bytes) -> Page:
    """
    Decode a page; keys that this version does not know are preserved.

    :param data: stored bytes, compressed or plain JSON
    :return: the page; records that cannot be decoded are kept apart from the others
    :raises SettingsInvalid: the bytes are not a page, or the page format is not supported
    """
    try:
        body = json.loads(_decompress(data))
        if body["format"] != PAGE_FORMAT:
            raise SettingsInvalid(
                f"page format {body['format']} is not supported; must be {PAGE_FORMAT}"
            )
        known = ("format", "write_count", "recent_writes", "records")
        records, raw_records = _decode_records(body["records"])
        return Page(
            write_count=check_count(body["write_count"]),
            recent_writes=[str(write_id) for write_id in body["recent_writes"]],
            records=records,
            raw_records=raw_records,
            extra={key: value for key, value in body.items() if key not in known},
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        RecursionError,
        zlib.error,
    ) as error:
        raise SettingsInvalid(f"not a valid page: {type(error).__name__}") from error


def _decompress(data: bytes) -> bytes:
    if data.startswith(b"{"):
        return data
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, MAX_PAGE_BYTES)
    if not decompressor.eof:
        raise ValueError(f"truncated, or larger than {MAX_PAGE_BYTES} bytes decompressed")
    return text


def _encode_record(record: StoredRecord) -> dict[str, Any]:
    return {
        **record.extra,
        "schema_version": record.schema_version,
        "revision": record.revision,
        "fields": record.fields,
        "history": [attrs.asdict(entry) for entry in record.history],
    }


def _decode_records(
    bodies: dict[str, Any],
) -> tuple[dict[str, StoredRecord], dict[str, RawRecord]]:
    records: dict[str, StoredRecord] = {}
    raw_records: dict[str, RawRecord] = {}
    for record_id, body in bodies.items():
        try:
            records[record_id] = _decode_record(body)
        except (ValueError, LookupError, TypeError, AttributeError) as error:
            reason = f"{record_id}: not a valid record: {error!r}"
            raw_records[record_id] = RawRecord(body=body, reason=reason)
    return records, raw_records


def _check_text(value: Any) -> str:
    """:raises ValueError: not a text"""
    if not isinstance(value, str):
        raise ValueError(f"got {value!r:.40}; must be a text")
    return value


def _decode_record(body: dict[str, Any]) -> StoredRecord:
    known = ("schema_version", "revision", "fields", "history")
    return StoredRecord(
        schema_version=check_count(body["schema_version"]),
        revision=check_count(body["revision"]),
        fields=dict(body["fields"]),
        history=[_decode_entry(entry) for entry in body["history"]],
        extra={key: value for key, value in body.items() if key not in known},
    )


def _decode_entry(body: dict[str, Any]) -> HistoryEntry:
    changes = {name: (pair[0], pair[1]) for name, pair in body["changes"].items()}
    return HistoryEntry(
        write_id=_check_text(body["write_id"]),
        office=_check_text(body["office"]),
        at_ms=check_count(body["at_ms"], MAX_TIME_MS),
        schema_version=check_count(body["schema_version"]),
        revision=check_count(body["revision"]),
        changes=changes,
    )


__all__ = [
    "MAX_PAGE_BYTES",
    "MAX_RECENT_WRITES",
    "MAX_RECORD_HISTORY",
    "PAGE_COUNT",
    "PAGE_PREFIX",
    "Page",
    "RawRecord",
    "StoredRecord",
    "HistoryEntry",
    "decode_page",
    "encode_page",
    "parse_page_key",
    "get_page_index",
    "build_page_key",
    "split_record_id",
]
