"""Record documents: the YAML form in which operators write and read records."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any, NoReturn

import attrs
import yaml

from boragetiller.errors import SettingsInvalid
from boragetiller.records.schema import (
    ABSENT_FIELD,
    NEWEST_SCHEMA_VERSION,
    RecordKind,
    check_value,
    encode_value,
    get_field_default,
    get_field_type,
    get_fields,
)
from boragetiller.structure import structure_node

if TYPE_CHECKING:
    from boragetiller.records.pages import StoredRecord

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
MAX_FILE_CHARACTERS = 16_000_000
_HEADER_KEYS = ("kind", "name", "schema_version", "base_revision", "base_write", ABSENT_FIELD)


@attrs.frozen(kw_only=True)
class RecordDocument:
    """One record as an operator wrote it; `fields` holds only the given fields, in stored form."""

    kind: RecordKind
    name: str
    schema_version: int
    fields: dict[str, Any]
    base_revision: int | None = None
    base_write: str | None = None  # the write that made the base revision, None if not given
    line: int = 1

    @property
    def record_id(self) -> str:
        """:return: kind and name, unique over all records"""
        return f"{self.kind.value}/{self.name}"

    @property
    def absent(self) -> bool:
        """:return: whether the document removes the record"""
        return bool(self.fields[ABSENT_FIELD])


def parse_documents(text: str, *, source: str = "input") -> list[RecordDocument]:
    """
    Parse every YAML document of a file.

    :param text: one or more YAML documents
    :param source: name of the file for error messages
    :return: the documents in order
    :raises SettingsInvalid: the text is invalid; names the line, the key and what is allowed
    """
    if len(text) > MAX_FILE_CHARACTERS:
        raise SettingsInvalid(
            f"{source}: {len(text)} characters, at most {MAX_FILE_CHARACTERS} are allowed"
        )
    try:
        nodes = [n for n in yaml.compose_all(text, Loader=yaml.SafeLoader) if not _is_null(n)]
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise SettingsInvalid(f"{source}: not YAML: {str(error)[:200]}") from error
    if not nodes:
        raise SettingsInvalid(f"{source}: contains no record")
    documents = [_parse_node(node, source) for node in nodes]
    _check_unique(documents, source)
    return documents


def build_document(
    kind: RecordKind, name: str, record: StoredRecord, *, schema_version: int
) -> dict[str, Any]:
    """
    Build the document of a stored record.

    :param kind: kind of record
    :param name: name of the record
    :param record: the record; its revision is the base of the next edit
    :param schema_version: schema version of the document
    :return: the document, with the default of each field that is not set
    """
    document: dict[str, Any] = {
        "kind": kind.value,
        "name": name,
        "schema_version": schema_version,
        "base_revision": record.revision,
    }
    if record.history:
        document["base_write"] = record.history[-1].write_id
    stored = record.fields
    if stored.get(ABSENT_FIELD):
        document[ABSENT_FIELD] = True
    for document_name, spec in get_fields(kind, schema_version).items():
        document[document_name] = stored.get(spec.stored_name, get_field_default(kind, spec))
    return document


def format_document(document: dict[str, Any]) -> str:
    """:return: the document as YAML text"""
    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True, explicit_start=True)


def _is_null(node: yaml.Node | None) -> bool:
    return node is None or node.tag == "tag:yaml.org,2002:null"


def _parse_node(node: yaml.Node, source: str) -> RecordDocument:
    if not isinstance(node, yaml.MappingNode):
        _raise_invalid(node, source, "document: must be a mapping")
    entries = _collect_entries(node, source)
    kind = _parse_header_value(entries, "kind", RecordKind, node, source)
    version = _parse_header_value(entries, "schema_version", int, node, source)
    if not 1 <= version <= NEWEST_SCHEMA_VERSION:
        _raise_invalid(
            entries["schema_version"],
            source,
            f"schema_version: {version}, must be 1 to {NEWEST_SCHEMA_VERSION}; "
            "a newer schema version needs a newer boragetiller",
        )
    name = _parse_header_value(entries, "name", str, node, source)
    if not NAME_PATTERN.fullmatch(name):
        _raise_invalid(entries["name"], source, f"name: must match {NAME_PATTERN.pattern}")
    base_revision = None
    if "base_revision" in entries:
        base_revision = _parse_header_value(entries, "base_revision", int, node, source)
    base_write = None
    if "base_write" in entries:
        base_write = _parse_header_value(entries, "base_write", str, node, source)
    fields = _parse_fields(entries, kind, version, source)
    return RecordDocument(
        kind=kind,
        name=name,
        schema_version=version,
        fields=fields,
        base_revision=base_revision,
        base_write=base_write,
        line=node.start_mark.line + 1,
    )


def _collect_entries(node: yaml.MappingNode, source: str) -> dict[str, yaml.Node]:
    entries: dict[str, yaml.Node] = {}
    for key_node, value_node in node.value:
        if not isinstance(key_node, yaml.ScalarNode):
            _raise_invalid(key_node, source, "document: each key must be a scalar")
        if key_node.value in entries:
            _raise_invalid(key_node, source, f"{key_node.value}: key given twice")
        entries[key_node.value] = value_node
    return entries


def _parse_header_value(
    entries: dict[str, yaml.Node], key: str, target: Any, node: yaml.Node, source: str
) -> Any:
    if key not in entries:
        _raise_invalid(node, source, f"missing keys: {key}")
    return structure_node(entries[key], target, source=source, path=f"{key}.")


def _parse_fields(
    entries: dict[str, yaml.Node], kind: RecordKind, version: int, source: str
) -> dict[str, Any]:
    known = get_fields(kind, version)
    fields: dict[str, Any] = {ABSENT_FIELD: False}
    for key, value_node in entries.items():
        if key == ABSENT_FIELD:
            fields[key] = structure_node(value_node, bool, source=source, path=f"{key}.")
        if key in _HEADER_KEYS:
            continue
        if key not in known:
            allowed = ", ".join([*_HEADER_KEYS, *known])
            _raise_invalid(value_node, source, f"{key}: unknown key; allowed: {allowed}")
        spec = known[key]
        value = structure_node(
            value_node, get_field_type(kind, spec), source=source, path=f"{key}."
        )
        try:
            check_value(kind, spec, value)
        except ValueError as error:
            _raise_invalid(value_node, source, f"{key}: {error.args[0] if error.args else error}")
        fields[spec.stored_name] = encode_value(value)
    return fields


def _check_unique(documents: list[RecordDocument], source: str) -> None:
    seen: dict[str, int] = {}
    for document in documents:
        if document.record_id in seen:
            raise SettingsInvalid(
                f"{source}:{document.line}: {document.record_id}: "
                f"given twice, first on line {seen[document.record_id]}"
            )
        seen[document.record_id] = document.line


def _raise_invalid(node: yaml.Node, source: str, problem: str) -> NoReturn:
    raise SettingsInvalid(f"{source}:{node.start_mark.line + 1}: {problem}")


__all__ = [
    "NAME_PATTERN",
    "RecordDocument",
    "build_document",
    "format_document",
    "parse_documents",
]
