"""Conversion of stored records to entities."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from boragetiller.errors import SettingsInvalid
from boragetiller.records.pages import split_record_id
from boragetiller.records.schema import FIELDS, MODELS, NEWEST_SCHEMA_VERSION, get_field_type
from boragetiller.value_checks import is_encodable

if TYPE_CHECKING:
    from boragetiller.records.model import Record
    from boragetiller.records.pages import StoredRecord


class UnreadableRecord(SettingsInvalid):
    """The stored record has a newer schema version or does not fit its model."""

    code = "record_unreadable"


def build_record(record_id: str, stored: StoredRecord) -> Record | None:
    """
    Build the entity of a stored record.

    :param record_id: kind and name, as in `customer/kopar`
    :param stored: the record as stored in its page
    :return: the entity, None if the record was removed
    :raises UnreadableRecord: this version cannot read the record
    """
    if stored.schema_version > NEWEST_SCHEMA_VERSION:
        raise UnreadableRecord(
            f"{record_id}: schema version {stored.schema_version}, "
            f"newer than the newest supported {NEWEST_SCHEMA_VERSION}"
        )
    if stored.absent:
        return None
    try:
        kind, name = split_record_id(record_id)
        _check_text(name)
        values = {
            spec.model_name: _decode_value(
                stored.fields[spec.stored_name], get_field_type(kind, spec)
            )
            for spec in FIELDS[kind]
            if spec.model_name is not None and spec.stored_name in stored.fields
        }
        record: Record = MODELS[kind](name=name, **values)
    except (ValueError, TypeError, OverflowError, SettingsInvalid) as error:
        raise UnreadableRecord(f"{record_id}: {error}") from error
    return record


def _decode_value(value: Any, target: Any) -> Any:
    if isinstance(value, list):
        return tuple(_check_text(item) for item in value)
    if target is float and type(value) is int:
        return float(value)
    if not isinstance(target, type):
        raise TypeError(f"must be a list, got {type(value).__name__}")
    if not isinstance(value, target):
        return _convert_enum(value, target)
    if type(value) is bool and target is not bool:
        raise TypeError("must be a number, got bool")
    return _check_text(value) if isinstance(value, str) else value


def _check_text(value: Any) -> str:
    """:raises ValueError: not a text, or one that UTF-8 cannot encode"""
    if not isinstance(value, str):
        raise TypeError(f"must be a text, got {type(value).__name__}")
    if not is_encodable(value):
        raise ValueError(f"got {value!r:.40}; lone surrogates are not allowed")
    return value


def _convert_enum(value: Any, target: Any) -> Any:
    if hasattr(target, "__members__"):
        return target(value)
    raise TypeError(f"must be {target.__name__}, got {type(value).__name__}")


__all__ = ["UnreadableRecord", "build_record"]
