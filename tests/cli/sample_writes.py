"""Helpers that write sample records with the command line's writer."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from boragetiller.cli.writer import RecordWriter
from boragetiller.records.documents import parse_documents
from boragetiller.records.writes import WriteResult, WriteState
from tests.records.samples import FLEET, make_document

if TYPE_CHECKING:
    from boragetiller.platform_clients.store import Store


async def write_fleet(store: Store, office: str = "vesturland") -> None:
    """Write a group, a class and a customer."""
    results = await RecordWriter(store, office, Random(1)).write(parse_documents(FLEET), 1_000)
    assert all(r.state is not WriteState.REFUSED for r in results), results


async def write_fields(
    store: Store, kind: str, name: str, office: str = "vesturland", **fields: Any
) -> WriteResult:
    """:return: the result of one write"""
    document = make_document(kind, name, **fields)
    return (await RecordWriter(store, office, Random(1)).write([document], 2_000))[0]


__all__ = ["write_fields", "write_fleet"]
