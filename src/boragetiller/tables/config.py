"""The configuration in force at this node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from boragetiller.records.model import BackendGroup, Customer, RequestClass


@attrs.define
class ConfigTable:
    """Records by name; `ready` once a whole configuration was seen."""

    ready: bool = False
    customers: dict[str, Customer] = attrs.Factory(dict)
    classes: dict[str, RequestClass] = attrs.Factory(dict)
    groups: dict[str, BackendGroup] = attrs.Factory(dict)
    customers_by_key: dict[str, str] = attrs.Factory(dict)
    page_revisions: dict[str, int] = attrs.Factory(dict)


__all__ = ["ConfigTable"]
