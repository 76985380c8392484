"""The command `boragetiller apply`, which writes records."""

from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING, Any

from boragetiller.cli.exit_codes import ExitCode, choose_exit_code
from boragetiller.cli.report import Report, format_value, print_report
from boragetiller.cli.store_access import open_store, read_pages
from boragetiller.cli.writer import RecordWriter, find_missing_references
from boragetiller.errors import StoreUnavailable
from boragetiller.records.documents import parse_documents
from boragetiller.records.writes import WriteState

if TYPE_CHECKING:
    from boragetiller.cli.options import StoreOptions
    from boragetiller.platform_clients.store import Store
    from boragetiller.records.writes import WriteResult

NS_PER_MS = 1_000_000


async def apply_records(text: str, source: str, office: str, options: StoreOptions) -> ExitCode:
    """
    Write every record of a file and print the result of each.

    :param text: YAML documents
    :param source: name of the file for error messages
    :param office: name of the writing office
    :param options: store and output
    :return: exit code
    """
    documents = parse_documents(text, source=source)
    async with open_store(options.store_url, options.timeout_ms) as store:
        writer = RecordWriter(store, office, Random())
        results = await writer.write(documents, time.time_ns() // NS_PER_MS)
        missing = await _find_missing_references(store, results)
    print_report(_build_report(results, missing), options.output)
    code = choose_exit_code([result.state for result in results])
    if code is ExitCode.DONE and missing:
        return ExitCode.REFERENCE_MISSING
    return code


async def _find_missing_references(store: Store, results: list[WriteResult]) -> list[str]:
    written = {r.record_id for r in results if r.state is WriteState.ACCEPTED}
    if not written:
        return []
    try:
        problems = find_missing_references(await read_pages(store))
    except StoreUnavailable:
        return []
    named = [str(problem) for problem in problems if problem.record_id in written]
    removed = [str(p) for p in problems if p.target_id in written]
    return sorted({*named, *removed})


def _build_report(results: list[WriteResult], missing: list[str]) -> Report:
    rows = []
    for result in results:
        details = format_result(result)
        rows.append(
            (result.record_id, result.state.value, result.revision or None, "; ".join(details))
        )
    notes = tuple(
        f"accepted, but a concurrent write removed the target of a reference: {text}; "
        "apply the missing record or change the reference"
        for text in missing
    )
    data = [{**build_result_data(result), "notes": list(notes)} for result in results]
    return Report(
        columns=("record", "result", "revision", "details"), rows=rows, data=data, notes=notes
    )


def format_result(result: WriteResult) -> list[str]:
    """:return: the message, changes, conflicts and unmerged fields of a result, a line each"""
    lines = [result.message] if result.message else []
    if result.created:
        return [*lines, "created"]
    lines += [
        f"{name}: {format_value(old)} -> {format_value(new)}"
        for name, (old, new) in result.changes.items()
    ]
    lines += [
        f"{c.field}: conflict: base {format_value(c.base)}, theirs {format_value(c.theirs)}, "
        f"yours {format_value(c.yours)}"
        for c in result.conflicts
    ]
    lines += [
        f"{c.field}: stays {format_value(c.theirs)}, changed by another writer since you "
        f"wrote {format_value(c.yours)}"
        for c in result.kept
    ]
    return lines


def build_result_data(result: WriteResult) -> dict[str, Any]:
    """:return: a result as an object for JSON output"""
    return {
        "record": result.record_id,
        "result": result.state.value,
        "revision": result.revision,
        "write_id": result.write_id,
        "changes": {name: list(pair) for name, pair in result.changes.items()},
        "conflicts": [_build_conflict_data(c) for c in result.conflicts],
        "kept": [_build_conflict_data(c) for c in result.kept],
        "message": result.message,
    }


def _build_conflict_data(conflict: Any) -> dict[str, Any]:
    return {
        "field": conflict.field,
        "base": conflict.base,
        "theirs": conflict.theirs,
        "yours": conflict.yours,
    }


__all__ = ["apply_records", "build_result_data", "format_result"]
