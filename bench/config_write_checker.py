"""Judge writes against every version of the pages they went to."""

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
_OPEN = (WriteState.UNKNOWN, WriteState.NOT_ACCEPTED)


@attrs.define
class Outcome:
    """What the run showed."""

    answers: Counter[str] = attrs.Factory(Counter)
    unsettled: int = 0
    unknown: int = 0  # answers that a further run then settled
    recognized: int = 0  # writes found in the page after a lost reply or by a further run
    lost_writes: list[str] = attrs.Factory(list)
    reverts: list[str] = attrs.Factory(list)
    false_answers: list[str] = attrs.Factory(list)
    versions: int = 0


@attrs.define
class Told:
    """The answers to one writer, who ran again after an unknown."""

    write_ids: list[str]
    final: WriteResult
    unknown: int


def judge(
    outcome: Outcome,
    versions: dict[str, list[Entry]],
    begun: dict[str, PendingWrite],
    told: list[Told],
) -> None:
    """
    Compare what writers were told with every version of each page.

    :param outcome: filled in
    :param versions: all versions of each page in order
    :param begun: every write with its base, by identifier
    :param told: the answers
    """
    effects: Counter[str] = Counter()
    for pages in versions.values():
        effects.update(_judge_page(outcome, pages, begun))
    outcome.versions = sum(len(pages) for pages in versions.values())
    outcome.lost_writes += [f"{name} took effect twice" for name, n in effects.items() if n > 1]
    for each in told:
        state = each.final.state
        outcome.answers[state.value] += 1
        outcome.unknown += each.unknown
        outcome.recognized += each.final.message == "was accepted before"
        took_effect = any(effects[write_id] for write_id in each.write_ids if write_id)
        if state is WriteState.ACCEPTED and not took_effect:
            outcome.false_answers.append(f"accepted without effect: {each}")
        claims_nothing = state in _NOT_WRITTEN or (state in _OPEN and not each.unknown)
        if claims_nothing and effects[each.final.write_id]:
            outcome.false_answers.append(f"{state.value} with effect: {each}")
        outcome.unsettled += each.unknown > 0 and state in _OPEN


def _judge_page(
    outcome: Outcome, versions: list[Entry], begun: dict[str, PendingWrite]
) -> Counter[str]:
    effects: Counter[str] = Counter()
    known: dict[str, dict[int, dict[str, Any]]] = {}
    before: dict[str, StoredRecord] = {}
    for entry in versions:
        after = decode_page(entry.value).records
        for record_id, record in after.items():
            old = before.get(record_id)
            if old is not None and old.revision == record.revision:
                if old.fields != record.fields:
                    outcome.lost_writes.append(f"{record_id} changed without a write")
                continue
            write = begun[record.history[-1].write_id]
            effects[write.write_id] += 1
            states = known.setdefault(record_id, {0: {}})
            _judge_write(outcome, write, states, old.fields if old else {}, record.fields)
            states[record.revision] = record.fields
        before = after
    return effects


def _judge_write(
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
            outcome.lost_writes.append(f"{write.document.record_id}: {name} of {stored} lost")


__all__ = ["Outcome", "Told", "judge"]
