"""Sample records and helpers for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import yaml

from boragetiller.records.documents import RecordDocument, parse_documents
from boragetiller.records.writes import WriteResult, apply_write, prepare_write

if TYPE_CHECKING:
    from boragetiller.records.pages import Page

KEY_HASH = "a" * 64
FLEET = f"""
kind: group
name: tiller-pool
schema_version: 2
backend: engine
members: [vl-a-1, vl-b-1]
models: [kopar-7b]
---
kind: class
name: quote
schema_version: 2
group: tiller-pool
tier: 0
protected: true
---
kind: customer
name: morgun
schema_version: 2
key_hashes: [{KEY_HASH}]
classes: [quote]
"""


def make_document(kind: str, name: str, version: int = 2, **fields: Any) -> RecordDocument:
    """:return: one parsed document"""
    body = {"kind": kind, "name": name, "schema_version": version, **fields}
    return parse_documents(yaml.safe_dump(body))[0]


def write(page: Page, document: RecordDocument, office: str = "vesturland") -> WriteResult:
    """:return: the result of a write that is prepared and applied on the same page"""
    return apply_write(page, prepare_write(page, document, office, at_ms=1_000))


__all__ = ["FLEET", "KEY_HASH", "make_document", "write"]
