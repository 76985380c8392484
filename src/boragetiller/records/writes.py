"""Writes of documents to a page: base revision, merge, and detection of repeated writes."""

from __future__ import annotations

import hashlib
import json
from enum import Enum
from typing import Any

import attrs

from boragetiller.records.build import UnreadableRecord, build_record
from boragetiller.records.documents import RecordDocument
from boragetiller.records.merge import FieldConflict, merge_fields, reconstruct_fields
from boragetiller.records.pages import (
    MAX_RECENT_WRITES,
    MAX_RECORD_HISTORY,
    HistoryEntry,
    Page,
    StoredRecord,
)
from boragetiller.records.schema import NEWEST_SCHEMA_VERSION, get_field_default, get_fields


class WriteState(Enum):
    """Outcome of a write."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    REFUSED = "refused"
    NOT_ACCEPTED = "not_accepted"  # the store was unreachable or overloaded; nothing was written
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class WriteResult:
    """Result of a write for one record."""

    record_id: str
    state: WriteState
    write_id: str = ""
    revision: int = 0
    changes: dict[str, tuple[Any, Any]] = attrs.Factory(dict)
    conflicts: tuple[FieldConflict, ...] = ()
    kept: tuple[FieldConflict, ...] = ()
    message: str = ""

    @property
    def created(self) -> bool:
        """:return: whether the write created the record"""
        return bool(self.changes) and self.revision == 1


@attrs.frozen(kw_only=True)
class PendingWrite:
    """A document with its base, which stays the same when the write is retried."""

    document: RecordDocument
    office: str
    at_ms: int
    base_revision: int | None
    base: dict[str, Any] | None

    @property
    def write_id(self) -> str:
        """:return: an identifier that is the same for every retry of the same edit"""
        document = self.document
        parts = [
            self.office,
            document.record_id,
            self.base_revision,
            document.schema_version,
            document.fields,
        ]
        return hashlib.sha256(json.dumps(parts, sort_keys=True).encode()).hexdigest()[:16]


def prepare_write(page: Page, document: RecordDocument, office: str, at_ms: int) -> PendingWrite:
    """
    Determine the base of a write: the document's base revision, or the office's last write.

    :param page: the page as first read
    :param document: the document to write
    :param office: name of the writing office
    :param at_ms: wall-clock time in milliseconds since 1970 in UTC
    :return: the write; its base is None if it cannot be determined
    """
    record = page.records.get(document.record_id)
    base_revision = document.base_revision
    if base_revision is None:
        base_revision = _find_last_revision(record, office)
    base: dict[str, Any] | None = None
    if base_revision is not None:
        base = reconstruct_fields(record, base_revision) if record else {}
    return PendingWrite(
        document=document, office=office, at_ms=at_ms, base_revision=base_revision, base=base
    )


def apply_write(page: Page, write: PendingWrite) -> WriteResult:
    """
    Apply one write to a page, in place.

    :param page: the page as read; modified only if the result is ACCEPTED with changes
    :param write: the write
    :return: the result, valid once the page has been stored
    """
    document = write.document
    record = page.records.get(document.record_id)
    if was_accepted(page, write):
        revision = record.revision if record else 0
        return _build_result(write, WriteState.ACCEPTED, revision, message="was accepted before")
    raw = page.raw_records.get(document.record_id)
    if raw is not None:
        return _build_result(write, WriteState.REFUSED, 0, message=raw.reason)
    refusal = _find_refusal(record, write)
    if refusal is not None:
        return refusal
    stored = record or StoredRecord(schema_version=document.schema_version)
    given_fields = _add_defaults(document, stored)
    merged = merge_fields(document.kind, write.base or {}, stored.fields, given_fields)
    if merged.conflicts:
        return _build_result(
            write, WriteState.CONFLICT, stored.revision, conflicts=tuple(merged.conflicts)
        )
    kept = tuple(merged.kept)
    if not merged.changes or (document.absent and not stored.revision):
        return _build_result(write, WriteState.UNCHANGED, stored.revision, kept=kept)
    changed = _build_changed_record(stored, write, merged.changes)
    try:
        build_record(document.record_id, changed)
    except UnreadableRecord as error:
        return _build_result(write, WriteState.REFUSED, stored.revision, message=str(error))
    page.records[document.record_id] = changed
    page.write_count += 1
    page.recent_writes = [*page.recent_writes, write.write_id][-MAX_RECENT_WRITES:]
    revision = stored.revision + 1
    return _build_result(write, WriteState.ACCEPTED, revision, changes=merged.changes, kept=kept)


def was_accepted(page: Page, write: PendingWrite) -> bool:
    """:return: whether the page contains the identifier of the write, which was then accepted"""
    if write.write_id in page.recent_writes:
        return True
    record = page.records.get(write.document.record_id)
    return record is not None and any(entry.write_id == write.write_id for entry in record.history)


def is_write_outcome_known(page: Page, write: PendingWrite, sent_write_count: int) -> bool:
    """
    Check whether the page shows if a write whose reply was lost was accepted.

    :param page: a page with a higher store revision than the write expected
    :param write: the write that was sent
    :param sent_write_count: write count of the page that the write was applied to
    :return: False if so many writes followed that the write's identifier may have been dropped
    """
    if was_accepted(page, write):
        return True
    if page.write_count - sent_write_count <= MAX_RECENT_WRITES:
        return True
    record = page.records.get(write.document.record_id)
    if record is None or write.base_revision is None:
        return record is None
    return len(record.history) >= record.revision - write.base_revision


def _find_last_revision(record: StoredRecord | None, office: str) -> int | None:
    if record is None:
        return 0
    own_revisions = [entry.revision for entry in record.history if entry.office == office]
    return own_revisions[-1] if own_revisions else None


def _find_refusal(record: StoredRecord | None, write: PendingWrite) -> WriteResult | None:
    record_id = write.document.record_id
    if record is not None and record.schema_version > NEWEST_SCHEMA_VERSION:
        message = (
            f"stored in schema version {record.schema_version}, this command supports up to "
            f"{NEWEST_SCHEMA_VERSION}; install a newer boragetiller to change it"
        )
        return _build_result(write, WriteState.REFUSED, record.revision, message=message)
    revision = record.revision if record else 0
    if (write.base_revision or 0) > revision:
        message = (
            f"base_revision {write.base_revision} is newer than the stored revision {revision}; "
            f"run `boragetiller get {record_id}` again"
        )
        return _build_result(write, WriteState.REFUSED, revision, message=message)
    if _is_base_lost(record, write.document):
        message = (
            f"base_revision {write.base_revision} of this document was made by write "
            f"{write.document.base_write}, which is not in the store: the store was restored from "
            f"an older copy; run `boragetiller get {record_id}` and edit that document"
        )
        return _build_result(write, WriteState.CONFLICT, revision, message=message)
    if write.base is None:
        message = (
            "this run wrote nothing: the revision that your edit is based on is unknown or no "
            f"longer in the history; run `boragetiller get {record_id}`, check whether your "
            "change is already in it, else edit that document and apply it"
        )
        return _build_result(write, WriteState.CONFLICT, revision, message=message)
    return None


def _is_base_lost(record: StoredRecord | None, document: RecordDocument) -> bool:
    """:return: whether another write made the base revision than the document names"""
    if record is None or document.base_write is None:
        return False
    write_ids = {entry.revision: entry.write_id for entry in record.history}
    made_by = write_ids.get(document.base_revision or 0)
    return made_by is not None and made_by != document.base_write


def _add_defaults(document: RecordDocument, stored: StoredRecord) -> dict[str, Any]:
    if stored.revision and not (stored.absent and not document.absent):
        return document.fields
    version = NEWEST_SCHEMA_VERSION if stored.revision else document.schema_version
    defaults = {
        spec.stored_name: get_field_default(document.kind, spec)
        for spec in get_fields(document.kind, version).values()
    }
    optional_defaults = {name: value for name, value in defaults.items() if value is not None}
    return {**optional_defaults, **document.fields}


def _build_changed_record(
    stored: StoredRecord, write: PendingWrite, changes: dict[str, tuple[Any, Any]]
) -> StoredRecord:
    created = stored.revision == 0
    entry = HistoryEntry(
        write_id=write.write_id,
        office=write.office,
        at_ms=write.at_ms,
        schema_version=write.document.schema_version,
        revision=stored.revision + 1,
        changes={} if created else changes,  # a creation sets every field, so `fields` suffices
    )
    fields = {**stored.fields, **{name: new for name, (_, new) in changes.items()}}
    return attrs.evolve(
        stored,
        schema_version=max(stored.schema_version, write.document.schema_version),
        revision=stored.revision + 1,
        fields=fields,
        history=[*stored.history, entry][-MAX_RECORD_HISTORY:],
    )


def _build_result(
    write: PendingWrite, state: WriteState, revision: int, **details: Any
) -> WriteResult:
    return WriteResult(
        record_id=write.document.record_id,
        state=state,
        write_id=write.write_id,
        revision=revision,
        **details,
    )


__all__ = [
    "PendingWrite",
    "WriteResult",
    "WriteState",
    "apply_write",
    "prepare_write",
    "was_accepted",
    "is_write_outcome_known",
]
