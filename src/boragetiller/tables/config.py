"""The configuration in force at a node."""

from __future__ import annotations

import attrs

from boragetiller.records.model import BackendGroup, Customer, RequestClass
from boragetiller.records.pages import StoredRecord
from boragetiller.records.references import ReferenceProblem


@attrs.frozen
class LostPage:
    """A page of an earlier era with records that the restored store lacks."""

    revision: int
    data: bytes


@attrs.define(kw_only=True)
class HeldPage:
    """A configuration page held by this node; `data` is passed on to peers unchanged."""

    revision: int  # extended by the era; see boragetiller.store_eras
    data: bytes
    applied_ms: int  # monotonic time at which the page came into force here
    record_revisions: dict[str, int] = attrs.Factory(dict)
    unreadable: dict[str, str] = attrs.Factory(dict)  # reason by record id
    # Records in force of which the restored store has only earlier versions, by ID.
    retained: dict[str, StoredRecord] = attrs.Factory(dict)
    retained_from: tuple[LostPage, ...] = ()  # the pages that they are from
    problem: str = ""  # why the page as a whole is unreadable; empty if it is readable


@attrs.define
class ConfigTable:
    """Records by name; `ready` once a complete configuration is held."""

    ready: bool = False
    customers: dict[str, Customer] = attrs.Factory(dict)
    classes: dict[str, RequestClass] = attrs.Factory(dict)
    groups: dict[str, BackendGroup] = attrs.Factory(dict)
    customers_by_key: dict[str, str] = attrs.Factory(dict)
    page_revisions: dict[str, int] = attrs.Factory(dict)  # by store key
    pages: dict[int, HeldPage] = attrs.Factory(dict)
    reference_problems: tuple[ReferenceProblem, ...] = ()
    references_changed: bool = True  # the indexes are out of date


__all__ = ["ConfigTable", "HeldPage"]
