"""Check the reported results of writes against every stored version of their pages."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.records.pages import decode_page
from boragetiller.records.schema import RecordKind, get_field_default, get_fields
from boragetiller.records.writes import WriteResult, WriteState

if TYPE_CHECKING:
    from boragetiller.platform_clients.store import Entry
    from boragetiller.records.pages import StoredRecord
    from boragetiller.records.writes import PendingWrite

_NOT_WRITTEN = (WriteState.CONFLICT, WriteState.REFUSED, WriteState.UNCHANGED)
_UNRESOLVED = (WriteState.UNKNOWN, WriteState.NOT_ACCEPTED)


@attrs.define
class Outcome:
    """Results of the writes and the violations found."""

    state_counts: Counter[str] = attrs.Factory(Counter)
    unresolved: int = 0
    unknown: int = 0  # unknown results, resolved by a retry
    recognized: int = 0  # found in the page after a lost reply or by a retry
    lost_writes: list[str] = attrs.Factory(list)
    reverts: list[str] = attrs.Factory(list)
    false_results: list[str] = attrs.Factory(list)
    versions: int = 0


@attrs.define
class RetriedWrite:
    """Results of one write, which is retried while its result is unknown."""

    write_ids: list[str]
    final: WriteResult
    unknown: int


def check_writes(
    outcome: Outcome,
    versions: dict[str, list[Entry]],
    prepared_writes: dict[str, PendingWrite],
    retried_writes: list[RetriedWrite],
) -> None:
    """
    Compare the reported results with every version of each page.

    :param outcome: receives the counts and the violations
    :param versions: all versions of each page, in order
    :param prepared_writes: every write with its base revision, by identifier
    :param retried_writes: reported results of each write
    """
    applied_counts: Counter[str] = Counter()
    for pages in versions.values():
        applied_counts.update(_check_page(outcome, pages, prepared_writes))
    outcome.versions = sum(len(pages) for pages in versions.values())
    outcome.lost_writes += [
        f"{name} was applied twice" for name, n in applied_counts.items() if n > 1
    ]
    for retried_write in retried_writes:
        state = retried_write.final.state
        outcome.state_counts[state.value] += 1
        outcome.unknown += retried_write.unknown
        outcome.recognized += retried_write.final.message == "was accepted before"
        was_applied = any(
            applied_counts[write_id] for write_id in retried_write.write_ids if write_id
        )
        if state is WriteState.ACCEPTED and not was_applied:
            outcome.false_results.append(f"reported as accepted but not applied: {retried_write}")
        reports_no_effect = state in _NOT_WRITTEN or (
            state in _UNRESOLVED and not retried_write.unknown
        )
        if reports_no_effect and applied_counts[retried_write.final.write_id]:
            outcome.false_results.append(f"reported as {state.value} but applied: {retried_write}")
        outcome.unresolved += retried_write.unknown > 0 and state in _UNRESOLVED


def _check_page(
    outcome: Outcome, versions: list[Entry], prepared_writes: dict[str, PendingWrite]
) -> Counter[str]:
    applied_counts: Counter[str] = Counter()
    known: dict[str, dict[int, dict[str, Any]]] = {}
    before: dict[str, StoredRecord] = {}
    for entry in versions:
        after = decode_page(entry.value).records
        for record_id, record in after.items():
            old = before.get(record_id)
            if old is not None and old.revision == record.revision:
                if old.fields != record.fields:
                    outcome.lost_writes.append(f"{record_id} changed without a new revision")
                continue
            write = prepared_writes[record.history[-1].write_id]
            applied_counts[write.write_id] += 1
            states = known.setdefault(record_id, {0: {}})
            _check_write(outcome, write, states, old.fields if old else {}, record.fields)
            states[record.revision] = record.fields
        before = after
    return applied_counts


def _check_write(
    outcome: Outcome,
    write: PendingWrite,
    states: dict[int, dict[str, Any]],
    old: dict[str, Any],
    new: dict[str, Any],
) -> None:
    base = states.get(write.base_revision or 0, {})
    specs = {spec.stored_name: spec for spec in get_fields(RecordKind.CLASS, 2).values()}
    for name, stored in old.items():
        if new.get(name) == stored:
            continue
        default = get_field_default(RecordKind.CLASS, specs[name]) if name in specs else None
        if name not in write.document.fields or base.get(name, default) != stored:
            outcome.lost_writes.append(
                f"{write.document.record_id}: {name}={stored} overwritten or removed"
            )


__all__ = ["Outcome", "RetriedWrite", "check_writes"]
