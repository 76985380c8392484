"""State machine test of pages: writers, compare-and-swap, stale reads and nodes interleaved."""

from __future__ import annotations

import unittest
from typing import Any

import attrs
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from boragetiller.records.build import build_record
from boragetiller.records.pages import Page, decode_page, encode_page
from boragetiller.records.schema import RecordKind, get_field_default, get_fields
from boragetiller.records.writes import (
    PendingWrite,
    WriteState,
    apply_write,
    is_write_outcome_known,
    prepare_write,
)
from boragetiller.systems.config_pages import PageUpdate, apply_pages, list_newer_pages
from boragetiller.tables.config import ConfigTable
from tests.records.samples import make_document

RECORD_ID = "class/quote"
LAGS = st.sampled_from((0, 0, 0, 1, 2))  # number of versions that a read is behind
OFFICES = ("vesturland", "kalisz")
VALUES = {
    1: {"tier": (0, 1, 2), "deadline_ms": (1, 2), "first_token_ms": (5, 6)},
    2: {"tier": (0, 1, 2), "first_token_target_ms": (5, 6), "weight": (1.0, 2.0)},
}
EDITS = [
    (version, name, value)
    for version, fields in VALUES.items()
    for name, values in fields.items()
    for value in values
]


@attrs.define
class _WriterRun:
    write: PendingWrite
    reported_state: WriteState | None = None
    lost_revision: int | None = None
    lost_write_count: int = 0
    pending_request: _Request | None = None


@attrs.define(eq=False)
class _Request:
    run: _WriterRun
    expected: int
    data: bytes
    arrived: bool = False


class PagesMachine(RuleBasedStateMachine):
    """A store with every version of one page, writers of two offices, and two nodes."""

    def __init__(self) -> None:
        """Start with an empty page; the index of a version is its revision."""
        super().__init__()
        self.versions: list[bytes] = [encode_page(Page())]
        self.effects: list[PendingWrite | None] = [None]
        self.runs: list[_WriterRun] = []
        self.requests: list[_Request] = []
        self.nodes = [ConfigTable() for _ in range(2)]

    @rule(
        office=st.sampled_from(OFFICES),
        edits=st.lists(st.sampled_from(EDITS), min_size=1, max_size=2),
        absent=st.sampled_from([False] * 9 + [True]),
        lag=LAGS,
        named_base=st.booleans(),
        progress=st.sampled_from(("waits", "sent", "done", "done", "reply_lost")),
    )
    def begin(
        self,
        office: str,
        edits: list[tuple[int, str, Any]],
        absent: bool,
        lag: int,
        named_base: bool,
        progress: str,
    ) -> None:
        """A writer reads a page, which may be stale, and determines its base."""
        page = self._read(lag)
        version = edits[0][0]
        fields = {name: value for edit, name, value in edits if edit == version}
        record = page.records.get(RECORD_ID)
        if named_base and record is not None:
            fields["base_revision"] = record.revision
        if record is None:
            fields["group"] = "pool"
        document = make_document("class", "quote", version, absent=absent, **fields)
        run = _WriterRun(prepare_write(page, document, office, at_ms=len(self.runs)))
        self.runs.append(run)
        if progress != "waits":
            self._send(run, 0)
        if progress in ("done", "reply_lost") and run.pending_request is not None:
            self._arrive(run.pending_request, lose_reply=progress == "reply_lost")

    @precondition(lambda self: self._pick_run(0, has_pending_request=False) is not None)
    @rule(position=st.integers(0, 3), lag=LAGS)
    def write(self, position: int, lag: int) -> None:
        """A writer reads the page, resolves a lost reply if it can, and sends a swap."""
        run = self._pick_run(position, has_pending_request=False)
        assert run is not None
        self._send(run, lag)

    def _send(self, run: _WriterRun, lag: int) -> None:
        revision = max(0, len(self.versions) - 1 - lag)
        page = decode_page(self.versions[revision])
        if run.lost_revision is not None:
            if revision < run.lost_revision:
                return
            if revision > run.lost_revision:
                if not is_write_outcome_known(page, run.write, run.lost_write_count):
                    run.reported_state = WriteState.UNKNOWN
                    return
                run.lost_revision = None
        write_count = page.write_count
        result = apply_write(page, run.write)
        if page.write_count == write_count:
            run.reported_state = result.state
            return
        if run.lost_revision is None:
            run.lost_write_count = write_count
        run.pending_request = _Request(run, revision, encode_page(page))
        self.requests.append(run.pending_request)

    @precondition(lambda self: any(not request.arrived for request in self.requests))
    @rule(position=st.integers(0, 3), lose_reply=st.booleans())
    def arrive(self, position: int, lose_reply: bool) -> None:
        """A swap reaches the store, possibly after its writer timed out."""
        pending = [request for request in self.requests if not request.arrived]
        self._arrive(pending[-1 - position % len(pending)], lose_reply=lose_reply)

    def _arrive(self, request: _Request, *, lose_reply: bool) -> None:
        request.arrived = True
        fits = request.expected == len(self.versions) - 1
        if fits:
            self._check_effect(request)
            self.versions.append(request.data)
            self.effects.append(request.run.write)
        if request.run.pending_request is not request:
            return
        request.run.pending_request = None
        if lose_reply:
            self._mark_reply_lost(request)
        elif fits:
            request.run.reported_state = WriteState.ACCEPTED

    @precondition(lambda self: self._pick_run(0, has_pending_request=True) is not None)
    @rule(position=st.integers(0, 3))
    def time_out(self, position: int) -> None:
        """A writer stops waiting for a reply."""
        run = self._pick_run(position, has_pending_request=True)
        assert run is not None and run.pending_request is not None
        request, run.pending_request = run.pending_request, None
        self._mark_reply_lost(request)

    @precondition(lambda self: len(self.versions) > 1)
    @rule(node=st.integers(0, 1), lag=st.integers(0, 3))
    def follow(self, node: int, lag: int) -> None:
        """A node receives some version by a read or a watch."""
        revision = max(1, len(self.versions) - 1 - lag)
        update = PageUpdate(index=0, revision=revision, data=self.versions[revision])
        self._apply_updates(node, [update])

    @precondition(lambda self: any(0 in table.pages for table in self.nodes))
    @rule(sender=st.integers(0, 1), receiver=st.integers(0, 1), full=st.booleans())
    def relay(self, sender: int, receiver: int, full: bool) -> None:
        """A node sends a peer the pages that the peer lacks, or all pages."""
        held = {i: page.revision for i, page in self.nodes[receiver].pages.items()}
        self._apply_updates(receiver, list_newer_pages(self.nodes[sender], {} if full else held))

    @invariant()
    def reported_states_are_correct(self) -> None:
        """The state reported to a writer agrees with the versions of the page, also later."""
        for run in self.runs:
            took_effect = any(effect is run.write for effect in self.effects)
            if run.reported_state in (
                WriteState.CONFLICT,
                WriteState.REFUSED,
                WriteState.UNCHANGED,
            ):
                assert not took_effect, run
            if run.reported_state is WriteState.ACCEPTED:
                assert took_effect or self._same_write_took_effect(run.write), run

    @invariant()
    def node_tables_match_their_pages(self) -> None:
        """The table of each node agrees with the page that it holds."""
        for table in self.nodes:
            if 0 not in table.pages:
                assert not table.classes
                continue
            page = decode_page(self.versions[table.pages[0].revision])
            record = page.records.get(RECORD_ID)
            entity = build_record(RECORD_ID, record) if record else None
            assert table.classes.get("quote") == entity

    def _check_effect(self, request: _Request) -> None:
        write = request.run.write
        before = decode_page(self.versions[-1]).records.get(RECORD_ID)
        after = decode_page(request.data).records[RECORD_ID]
        assert not any(effect is write for effect in self.effects), "write took effect twice"
        old = before.fields if before else {}
        base = self._get_fields_at(write.base_revision or 0)
        recreated = before is not None and before.absent and not after.absent
        for name in {*old, *after.fields}:
            if old.get(name) == after.fields[name] or name not in old or recreated:
                continue
            assert name in write.document.fields, f"{name} changed without being given"
            assert self._get_value(base, name) == old[name], f"{name}: other change lost"

    def _get_fields_at(self, revision: int) -> dict[str, Any]:
        for data in self.versions:
            record = decode_page(data).records.get(RECORD_ID)
            if record is not None and record.revision == revision:
                return record.fields
        return {}

    def _get_value(self, fields: dict[str, Any], name: str) -> Any:
        specs = {s.stored_name: s for s in get_fields(RecordKind.CLASS, 2).values()}
        default = (
            get_field_default(RecordKind.CLASS, specs[name]) if name in specs and fields else None
        )
        return fields.get(name, default)

    def _same_write_took_effect(self, write: PendingWrite) -> bool:
        return any(
            effect is not None and effect.write_id == write.write_id for effect in self.effects
        )

    def _apply_updates(self, node: int, updates: list[PageUpdate]) -> None:
        table = self.nodes[node]
        before = table.pages[0].revision if 0 in table.pages else 0
        apply_pages(table, updates, now_ms=0)
        after = table.pages[0].revision if 0 in table.pages else 0
        assert after >= before, "page revision decreased"

    def _read(self, lag: int) -> Page:
        return decode_page(self.versions[max(0, len(self.versions) - 1 - lag)])

    def _pick_run(self, position: int, *, has_pending_request: bool) -> _WriterRun | None:
        runs = [
            r
            for r in self.runs
            if r.reported_state is None and (r.pending_request is not None) == has_pending_request
        ]
        return runs[-1 - position % len(runs)] if runs else None

    def _mark_reply_lost(self, request: _Request) -> None:
        if request.run.lost_revision is None:
            request.run.lost_revision = request.expected


PagesMachineTest = PagesMachine.TestCase
PagesMachineTest.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    phases=(Phase.generate, Phase.shrink),
)


if __name__ == "__main__":
    unittest.main()
