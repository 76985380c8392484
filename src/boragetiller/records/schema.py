"""Schema versions of the record kinds, and their mapping to the stored form."""

from __future__ import annotations

import functools
from enum import Enum
from typing import Any

import attrs

from boragetiller.records.model import BackendGroup, Customer, RequestClass

NEWEST_SCHEMA_VERSION = 2
ABSENT_FIELD = "absent"


class RecordKind(Enum):
    """Kind of a record."""

    CUSTOMER = "customer"
    CLASS = "class"
    GROUP = "group"


@attrs.frozen(kw_only=True)
class FieldSpec:
    """
    One field of a record kind.

    A field is stored under the name that it was introduced with, so that a rename in a later
    schema version changes documents only.
    """

    stored_name: str
    model_name: str | None  # None if the newest schema version no longer has the field
    since_version: int = 1
    removed_in_version: int | None = None
    renamed_in_version: int | None = None
    removed_type: type = str
    removed_default: str = ""

    def in_version(self, version: int) -> bool:
        """:return: whether documents of this schema version have the field"""
        removed = self.removed_in_version is not None and version >= self.removed_in_version
        return version >= self.since_version and not removed

    def get_document_name(self, version: int) -> str:
        """:return: name of the field in documents of this schema version"""
        renamed = self.renamed_in_version is not None and version >= self.renamed_in_version
        return self.model_name if renamed and self.model_name else self.stored_name


MODELS: dict[RecordKind, type[Any]] = {
    RecordKind.CUSTOMER: Customer,
    RecordKind.CLASS: RequestClass,
    RecordKind.GROUP: BackendGroup,
}


def _unchanged_field(name: str, since_version: int = 1) -> FieldSpec:
    return FieldSpec(stored_name=name, model_name=name, since_version=since_version)


FIELDS: dict[RecordKind, tuple[FieldSpec, ...]] = {
    RecordKind.CUSTOMER: (
        _unchanged_field("key_hashes"),
        _unchanged_field("classes"),
        _unchanged_field("weight", since_version=2),
        _unchanged_field("max_concurrent"),
        _unchanged_field("requests_per_s"),
        FieldSpec(stored_name="contact", model_name=None, removed_in_version=2),
    ),
    RecordKind.CLASS: (
        _unchanged_field("group"),
        _unchanged_field("tier"),
        _unchanged_field("protected"),
        _unchanged_field("idempotent"),
        FieldSpec(
            stored_name="first_token_ms", model_name="first_token_target_ms", renamed_in_version=2
        ),
        _unchanged_field("between_tokens_target_ms", since_version=2),
        _unchanged_field("deadline_ms"),
        _unchanged_field("weight", since_version=2),
    ),
    RecordKind.GROUP: (
        FieldSpec(stored_name="backend", model_name="kind"),
        _unchanged_field("members"),
        _unchanged_field("models"),
        _unchanged_field("adapters", since_version=2),
        _unchanged_field("role", since_version=2),
        _unchanged_field("repeatable_methods"),
        _unchanged_field("shards"),
    ),
}


def get_fields(kind: RecordKind, version: int) -> dict[str, FieldSpec]:
    """
    Return the fields that documents of one kind and schema version have.

    :param kind: kind of record
    :param version: schema version
    :return: the fields by document name
    """
    return {f.get_document_name(version): f for f in FIELDS[kind] if f.in_version(version)}


def get_field_default(kind: RecordKind, spec: FieldSpec) -> Any:
    """
    Return the value of a field that is not set.

    :param kind: kind of record
    :param spec: the field
    :return: the default in stored form, None if the field is required
    """
    if spec.model_name is None:
        return spec.removed_default
    default = _get_model_attribute(kind, spec.model_name).default
    return None if default is attrs.NOTHING else encode_value(default)


def get_field_type(kind: RecordKind, spec: FieldSpec) -> Any:
    """:return: the type that the field's value in a document must have"""
    if spec.model_name is None:
        return spec.removed_type
    return _get_model_attribute(kind, spec.model_name).type


def check_value(kind: RecordKind, spec: FieldSpec, value: Any) -> None:
    """
    Check the range of a value whose type has been checked.

    :raises ValueError: the model does not allow the value
    """
    if spec.model_name is None:
        return
    attribute = _get_model_attribute(kind, spec.model_name)
    if attribute.validator is not None:
        attribute.validator(None, attribute, value)


def encode_value(value: Any) -> Any:
    """:return: the value in stored form, which is serializable as JSON"""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [encode_value(item) for item in value]
    return value


@functools.cache
def _get_model_attribute(kind: RecordKind, name: str) -> attrs.Attribute[Any]:
    model = attrs.resolve_types(MODELS[kind])
    return attrs.fields_dict(model)[name]


__all__ = [
    "ABSENT_FIELD",
    "FIELDS",
    "MODELS",
    "NEWEST_SCHEMA_VERSION",
    "FieldSpec",
    "RecordKind",
    "check_value",
    "get_field_default",
    "get_fields",
    "encode_value",
    "get_field_type",
]
