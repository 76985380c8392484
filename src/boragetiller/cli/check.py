"""The commands `boragetiller validate` and `diff`, which check a file before it is applied."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.cli.apply import build_result_data, format_result
from boragetiller.cli.exit_codes import ExitCode, choose_exit_code
from boragetiller.cli.report import Report, print_report
from boragetiller.cli.store_access import StoredPage, open_store, read_pages
from boragetiller.cli.writer import build_refusal, find_new_reference_problems
from boragetiller.records.documents import parse_documents
from boragetiller.records.pages import Page, get_page_index
from boragetiller.records.writes import WriteState, apply_write, prepare_write

if TYPE_CHECKING:
    from boragetiller.cli.options import StoreOptions
    from boragetiller.cli.report import OutputFormat
    from boragetiller.records.documents import RecordDocument
    from boragetiller.records.writes import PendingWrite, WriteResult


async def validate_file(text: str, source: str, output: OutputFormat) -> ExitCode:
    """
    Check a file without access to the store.

    :param text: YAML documents
    :param source: name of the file for error messages
    :param output: output format
    :return: exit code
    """
    documents = parse_documents(text, source=source)
    rows = [(d.record_id, d.schema_version, d.line) for d in documents]
    columns = ("record", "schema_version", "line")
    writes = [prepare_write(Page(), document, "validate", at_ms=0) for document in documents]
    notes = tuple(
        f"{problem} in this file; `apply` looks it up in the store"
        for problem in find_new_reference_problems({}, [w for w in writes if not w.document.absent])
    )
    data = {
        "records": [dict(zip(columns, row, strict=True)) for row in rows],
        "notes": list(notes),
    }
    print_report(Report(columns=columns, rows=rows, data=data, notes=notes), output)
    return ExitCode.DONE


async def diff_file(text: str, source: str, office: str, options: StoreOptions) -> ExitCode:
    """
    Print what `apply` would change now, without writing anything.

    :param text: YAML documents
    :param source: name of the file for error messages
    :param office: name of the office that would write
    :param options: store and output
    :return: exit code, DIFFERENT if something would change
    """
    documents = parse_documents(text, source=source)
    async with open_store(options.store_url, options.timeout_ms) as store:
        pages = await read_pages(store)
    writes = [_prepare_write(pages, document, office) for document in documents]
    problems = find_new_reference_problems(pages, writes)
    results = [_simulate_write(pages, write) for write in writes]
    rows = [
        (result.record_id, _get_effect(result), "; ".join(format_result(result)))
        for result in results
    ]
    data = [{**build_result_data(result), "result": _get_effect(result)} for result in results]
    notes = tuple(f"apply would be refused: {problem}" for problem in problems)
    report = Report(columns=("record", "effect", "details"), rows=rows, data=data, notes=notes)
    print_report(report, options.output)
    if problems:
        return ExitCode.REFUSED
    code = choose_exit_code([result.state for result in results])
    if code is ExitCode.DONE and any(result.changes for result in results):
        return ExitCode.DIFFERENT
    return code


def _prepare_write(
    pages: dict[int, StoredPage], document: RecordDocument, office: str
) -> PendingWrite:
    return prepare_write(_get_page(pages, document).page, document, office, at_ms=0)


def _simulate_write(pages: dict[int, StoredPage], write: PendingWrite) -> WriteResult:
    stored = _get_page(pages, write.document)
    if stored.problem:
        return build_refusal(write, stored.problem)
    return apply_write(stored.page, write)


def _get_page(pages: dict[int, StoredPage], document: RecordDocument) -> StoredPage:
    empty = StoredPage(revision=0, data=b"", page=Page())
    return pages.setdefault(get_page_index(document.record_id), empty)


def _get_effect(result: WriteResult) -> str:
    if result.state is not WriteState.ACCEPTED:
        return result.state.value
    if result.created:
        return "create"
    return "change" if result.changes else WriteState.UNCHANGED.value


__all__ = ["diff_file", "validate_file"]
