"""Three-way merge of the fields of a record."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.records.schema import ABSENT_FIELD, FIELDS, RecordKind, get_field_default

if TYPE_CHECKING:
    from boragetiller.records.pages import StoredRecord


@attrs.frozen(kw_only=True)
class FieldConflict:
    """A field whose given value differs from the stored one, with the value in the base."""

    field: str
    base: Any
    theirs: Any
    yours: Any


@attrs.frozen(kw_only=True)
class MergeResult:
    """The changes of a write and the fields that cannot be merged."""

    changes: dict[str, tuple[Any, Any]]
    conflicts: list[FieldConflict]
    kept: list[FieldConflict]  # given as in the base and changed by another writer; not overwritten


def merge_fields(
    kind: RecordKind, base: dict[str, Any], theirs: dict[str, Any], yours: dict[str, Any]
) -> MergeResult:
    """
    Merge a writer's fields into the stored ones.

    :param kind: kind of record
    :param base: fields of the revision that the writer edited
    :param theirs: fields stored now
    :param yours: fields that the writer gave; all others stay as stored
    :return: the old and new value of each field that changes, and the conflicts
    """
    changes: dict[str, tuple[Any, Any]] = {}
    conflicts: list[FieldConflict] = []
    kept: list[FieldConflict] = []
    for name, given in yours.items():
        stored = theirs.get(name)
        old = base.get(name, _get_default(kind, name) if base else None)
        if stored is None:
            changes[name] = (None, given)
        elif given != stored:
            conflict = FieldConflict(field=name, base=old, theirs=stored, yours=given)
            if stored == old:
                changes[name] = (stored, given)
            elif given == old:
                kept.append(conflict)
            else:
                conflicts.append(conflict)
    conflicts += _find_removal_conflicts(base, theirs, changes)
    return MergeResult(changes=changes, conflicts=conflicts, kept=kept)


def reconstruct_fields(record: StoredRecord, revision: int) -> dict[str, Any] | None:
    """
    Reconstruct the fields that a record had at an earlier revision.

    :param record: the record as stored now
    :param revision: the earlier revision, 0 for the state before the record was created
    :return: the fields, None if the history does not reach back to that revision
    """
    if revision == record.revision:
        return dict(record.fields)
    if revision == 0:
        return {}
    if revision > record.revision:
        return None
    later_entries = [entry for entry in record.history if entry.revision > revision]
    if len(later_entries) != record.revision - revision:
        return None
    fields = dict(record.fields)
    for entry in reversed(later_entries):
        for name, (old, _) in entry.changes.items():
            fields[name] = old
    return {name: value for name, value in fields.items() if value is not None}


def _get_default(kind: RecordKind, name: str) -> Any:
    if name == ABSENT_FIELD:
        return False
    spec = next(spec for spec in FIELDS[kind] if spec.stored_name == name)
    return get_field_default(kind, spec)


def _find_removal_conflicts(
    base: dict[str, Any], theirs: dict[str, Any], changes: dict[str, tuple[Any, Any]]
) -> list[FieldConflict]:
    edited = {name for name in {*base, *theirs} if base.get(name) != theirs.get(name)}
    is_removal = changes.get(ABSENT_FIELD, (None, None))[1] is True
    already_removed = ABSENT_FIELD in edited and theirs.get(ABSENT_FIELD) is True
    if (is_removal and edited) or (already_removed and changes):
        return [
            FieldConflict(
                field=ABSENT_FIELD,
                base=base.get(ABSENT_FIELD, False),
                theirs=theirs.get(ABSENT_FIELD, False),
                yours=is_removal,
            )
        ]
    return []


__all__ = ["FieldConflict", "MergeResult", "reconstruct_fields", "merge_fields"]
