"""Build the entities in force from stored records."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from boragetiller.errors import SettingsInvalid
from boragetiller.records.pages import split_record_id
from boragetiller.records.schema import FIELDS, MODELS, NEWEST_SCHEMA_VERSION, get_field_type

if TYPE_CHECKING:
    from boragetiller.records.model import Record
    from boragetiller.records.pages import StoredRecord


class UnreadableRecord(SettingsInvalid):
    """The stored record is of a newer schema version or does not fit its model."""

    code = "record_unreadable"


def build_record(record_id: str, stored: StoredRecord) -> Record | None:
    """
    Build the entity of a stored record.

    :param record_id: kind and name
    :param stored: the record as its page has it
    :return: the entity, None when the record was removed
    :raises UnreadableRecord: when this version cannot read it
    """
    if stored.schema_version > NEWEST_SCHEMA_VERSION:
        raise UnreadableRecord(f"{record_id}: schema version {stored.schema_version}")
    if stored.absent:
        return None
    try:
        kind, name = split_record_id(record_id)
        values = {
            spec.model_name: _decode_value(
                stored.fields[spec.stored_name], get_field_type(kind, spec)
            )
            for spec in FIELDS[kind]
            if spec.model_name is not None and spec.stored_name in stored.fields
        }
        record: Record = MODELS[kind](name=name, **values)
    except (ValueError, TypeError, SettingsInvalid) as error:
        raise UnreadableRecord(f"{record_id}: {error}") from error
    return record


def _decode_value(value: Any, target: Any) -> Any:
    if isinstance(value, list):
        return tuple(value)
    if target is float and type(value) is int:
        return float(value)
    if not isinstance(target, type):
        raise TypeError(f"a list is needed, not {type(value).__name__}")
    if not isinstance(value, target):
        return _convert_enum(value, target)
    if type(value) is bool and target is not bool:
        raise TypeError("a number is needed, not a truth value")
    return value


def _convert_enum(value: Any, target: Any) -> Any:
    if hasattr(target, "__members__"):
        return target(value)
    raise TypeError(f"{target.__name__} is needed, not {type(value).__name__}")


__all__ = ["UnreadableRecord", "build_record"]
