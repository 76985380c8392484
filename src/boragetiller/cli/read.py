"""The commands `boragetiller get`, `list` and `history`, which print stored records."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

from boragetiller.cli.exit_codes import ExitCode
from boragetiller.cli.report import OutputFormat, Report, format_value, print_report
from boragetiller.cli.store_access import find_record, open_store, read_pages
from boragetiller.errors import SettingsInvalid
from boragetiller.records.documents import build_document, format_document
from boragetiller.records.pages import split_record_id
from boragetiller.records.schema import NEWEST_SCHEMA_VERSION, RecordKind

if TYPE_CHECKING:
    from boragetiller.cli.options import StoreOptions
    from boragetiller.records.pages import HistoryEntry, StoredRecord

MS_PER_S = 1_000


async def get_record(record_id: str, schema_version: int, options: StoreOptions) -> ExitCode:
    """
    Print one record as a document that `apply` accepts.

    :param record_id: kind and name, as in `customer/kopar`
    :param schema_version: schema version of the document
    :param options: store and output
    :return: exit code
    """
    kind, name = split_record_id(record_id)
    if not 1 <= schema_version <= NEWEST_SCHEMA_VERSION:
        raise SettingsInvalid(
            f"--schema-version {schema_version}: allowed: 1 to {NEWEST_SCHEMA_VERSION}"
        )
    async with open_store(options.store_url, options.timeout_ms) as store:
        record = find_record(await read_pages(store), record_id)
    if record.schema_version > NEWEST_SCHEMA_VERSION:
        raise SettingsInvalid(
            f"{record_id}: stored in schema version {record.schema_version}; "
            "install a newer boragetiller to read it"
        )
    document = build_document(kind, name, record, schema_version=schema_version)
    if options.output is OutputFormat.JSON:
        print(json.dumps(document, indent=2, ensure_ascii=False))
    else:
        print(format_document(document), end="")
    return ExitCode.DONE


async def list_records(kind: str | None, options: StoreOptions) -> ExitCode:
    """
    Print one line for each record.

    :param kind: only records of this kind, None for all
    :param options: store and output
    :return: exit code
    """
    wanted = _parse_kind(kind).value if kind is not None else None
    async with open_store(options.store_url, options.timeout_ms) as store:
        pages = await read_pages(store)
    records = {
        record_id: record
        for stored in pages.values()
        for record_id, record in stored.page.records.items()
        if not record.absent and wanted in (None, record_id.partition("/")[0])
    }
    summaries = [_build_summary(record_id, records[record_id]) for record_id in sorted(records)]
    columns = ("record", "revision", "schema_version", "office", "at")
    problems = tuple(
        f"cannot be read: {problem}" for stored in pages.values() for problem in stored.problems
    )
    report = Report(
        columns=columns,
        rows=[tuple(summary[column] for column in columns) for summary in summaries],
        data=summaries,
        notes=problems,
    )
    print_report(report, options.output)
    return ExitCode.DONE


async def show_history(record_id: str, options: StoreOptions) -> ExitCode:
    """
    Print the writes of a record that are still in its history.

    :param record_id: kind and name, as in `customer/kopar`
    :param options: store and output
    :return: exit code
    """
    async with open_store(options.store_url, options.timeout_ms) as store:
        record = find_record(await read_pages(store), record_id)
    rows = []
    for entry in record.history:
        rows.append(
            (
                entry.revision,
                format_time(entry.at_ms),
                entry.office,
                entry.schema_version,
                entry.write_id,
            )
            + (_format_changes(entry),)
        )
    data = [_build_entry_data(entry) for entry in record.history]
    oldest = record.history[0].revision if record.history else 0
    notes = (f"{oldest - 1} earlier writes are no longer stored",) if oldest > 1 else ()
    columns = ("revision", "at", "office", "schema_version", "write_id", "changes")
    print_report(Report(columns=columns, rows=rows, data=data, notes=notes), options.output)
    return ExitCode.DONE


def format_time(at_ms: int) -> str:
    """:return: a wall-clock time in UTC, as ISO 8601 text"""
    return datetime.fromtimestamp(at_ms / MS_PER_S, tz=UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def _parse_kind(text: str) -> RecordKind:
    return split_record_id(f"{text}/any")[0]


def _build_summary(record_id: str, record: StoredRecord) -> dict[str, Any]:
    last = record.history[-1] if record.history else None
    return {
        "record": record_id,
        "revision": record.revision,
        "schema_version": record.schema_version,
        "office": last.office if last else None,
        "at": format_time(last.at_ms) if last else None,
    }


def _format_changes(entry: HistoryEntry) -> str:
    if entry.revision == 1:
        return "created"
    return "; ".join(
        f"{name}: {format_value(old)} -> {format_value(new)}"
        for name, (old, new) in entry.changes.items()
    )


def _build_entry_data(entry: HistoryEntry) -> dict[str, Any]:
    return {
        "revision": entry.revision,
        "at": format_time(entry.at_ms),
        "office": entry.office,
        "schema_version": entry.schema_version,
        "write_id": entry.write_id,
        "changes": {name: list(pair) for name, pair in entry.changes.items()},
    }


__all__ = ["get_record", "list_records", "show_history", "format_time"]
