"""Status of a node's configuration for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.cli.messages import ConfigStatus, NodePage, RecordStatus
from boragetiller.records.pages import get_page_index
from boragetiller.systems.config_pages import list_unreadable_records

if TYPE_CHECKING:
    from boragetiller.router.config_sync import ConfigSync
    from boragetiller.tables.config import ConfigTable


def build_config_status(sync: ConfigSync, table: ConfigTable) -> ConfigStatus:
    """
    Describe the configuration of this node: the field `config` of `GET /status`.

    :param sync: synchronization of the configuration
    :param table: the configuration in force
    :return: the message
    """
    unreadable = list_unreadable_records(table)
    return ConfigStatus(
        ready=table.ready,
        reason=sync.get_not_ready_reason(),
        store=sync.store_state.value,
        pages=len(table.pages),
        newest_revision=max((page.revision for page in table.pages.values()), default=0),
        customers=len(table.customers),
        classes=len(table.classes),
        groups=len(table.groups),
        unreadable=tuple(f"{name}: {why}" for name, why in unreadable.items()),
        reference_problems=tuple(map(str, table.reference_problems)),
    )


def build_record_status(
    sync: ConfigSync, table: ConfigTable, record_id: str, node: str, now_ms: int
) -> RecordStatus:
    """
    Describe which revision of a record this node and its peers hold: `GET /status/record/...`.

    :param sync: synchronization of the configuration, with the pages of the peers
    :param table: the configuration in force
    :param record_id: kind and name of the record
    :param node: name of this process
    :param now_ms: monotonic time in milliseconds
    :return: the message
    """
    index = get_page_index(record_id)
    held = table.pages.get(index)
    own = NodePage(
        node=node,
        page_revision=held.revision if held else 0,
        age_ms=now_ms - held.applied_ms if held else None,
    )
    return RecordStatus(
        record=record_id,
        page=index,
        record_revision=held.record_revisions.get(record_id) if held else None,
        problem=(held.problem or held.unreadable.get(record_id, "")) if held else "",
        nodes=(own, *sync.list_peer_pages(index)),
    )


__all__ = ["build_config_status", "build_record_status"]
