"""The configuration in force at this node."""

from __future__ import annotations

import attrs

from boragetiller.records.model import BackendGroup, Customer, RequestClass
from boragetiller.records.references import ReferenceProblem


@attrs.define(kw_only=True)
class HeldPage:
    """One page as this node holds it; `data` is passed on to peers unchanged."""

    revision: int
    data: bytes
    applied_ms: int  # monotonic time at which the page came into force here
    record_revisions: dict[str, int] = attrs.Factory(dict)
    unreadable: dict[str, str] = attrs.Factory(dict)  # record -> reason
    problem: str = ""  # why the whole page could not be read, empty when it could


@attrs.define
class ConfigTable:
    """Records by name; `ready` once a whole configuration was seen."""

    ready: bool = False
    customers: dict[str, Customer] = attrs.Factory(dict)
    classes: dict[str, RequestClass] = attrs.Factory(dict)
    groups: dict[str, BackendGroup] = attrs.Factory(dict)
    customers_by_key: dict[str, str] = attrs.Factory(dict)
    page_revisions: dict[str, int] = attrs.Factory(dict)  # by store key
    pages: dict[int, HeldPage] = attrs.Factory(dict)
    reference_problems: tuple[ReferenceProblem, ...] = ()
    references_changed: bool = True  # the indexes have to be built again


__all__ = ["ConfigTable", "HeldPage"]
