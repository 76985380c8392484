"""Compare versions of a record after the store was restored from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetiller.records.pages import StoredRecord


def find_newer_records(
    known: dict[str, StoredRecord], stored: dict[str, StoredRecord]
) -> dict[str, StoredRecord]:
    """
    Find the accepted records that a restored page has lost.

    :param known: records in force, by ID
    :param stored: records of the restored page, or of one written since the restore, by ID
    :return: known records of which the page has none or an earlier version
    """
    return {
        record_id: record
        for record_id, record in known.items()
        if _is_earlier_version(stored.get(record_id), record)
    }


def _is_earlier_version(stored: StoredRecord | None, known: StoredRecord) -> bool:
    """
    Check whether a stored record is an ancestor of a known one.

    A record with the same revision but another write was written after the restore. It is the
    newer one: its writer has been told that it was accepted.
    """
    if stored is None:
        return True
    if stored.revision >= known.revision:
        return False
    write_ids = {entry.revision: entry.write_id for entry in known.history}
    stored_ids = {entry.revision: entry.write_id for entry in stored.history}
    known_id, stored_id = write_ids.get(stored.revision), stored_ids.get(stored.revision)
    return known_id is None or stored_id is None or known_id == stored_id


__all__ = ["find_newer_records"]
