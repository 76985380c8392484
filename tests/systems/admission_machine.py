"""Stateful test that drives admission as an agent does and checks its invariants."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from boragetiller.settings import AdmissionSettings
from boragetiller.systems import admission
from boragetiller.tables.admission_actions import (
    AdmissionAction,
    PreemptWork,
    RefuseWork,
    StartWork,
)
from boragetiller.tables.agent_work import WorkItem, WorkTable
from boragetiller.verdict import Verdict

CLASSES = (("quote", 0, True), ("phone", 1, True), ("summary", 1, False), ("note", 3, False))
TICK_MS = 50


class AdmissionMachine(RuleBasedStateMachine):
    """Arrivals, tokens, ends and ticks in any order, at any overload."""

    def __init__(self) -> None:
        """Start without requests."""
        super().__init__()
        self.table = WorkTable()
        self.now_ms = 0
        self.count = 0
        self.items: dict[str, WorkItem] = {}
        self.state: dict[str, str] = {}  # queued, running or ended
        self.waiting_since_ms: dict[str, int] = {}

    @initialize(
        limit=st.integers(1, 4), queue=st.integers(1, 6), preempt_slack_ms=st.sampled_from([0, 700])
    )
    def configure(self, limit: int, queue: int, preempt_slack_ms: int) -> None:
        """Choose small bounds, so that most runs are overloaded."""
        self.settings = AdmissionSettings(
            min_running=1,
            initial_running=limit,
            max_running=limit + 2,
            max_queued=queue,
            aging_interval_ms=500,
            preempt_slack_ms=preempt_slack_ms,
        )

    @rule(
        kind=st.sampled_from(CLASSES),
        customer=st.sampled_from("abc"),
        preemptible=st.booleans(),
        resumed_tokens=st.sampled_from([0, 0, 5]),
        deadline_ms=st.sampled_from([0, 200, 3_000]),
        copies=st.integers(1, 4),
    )
    def submit(
        self,
        kind: tuple[str, int, bool],
        customer: str,
        preemptible: bool,
        resumed_tokens: int,
        deadline_ms: int,
        copies: int,
    ) -> None:
        """One or more requests arrive."""
        name, tier, protected = kind
        for _ in range(copies):
            self.count += 1
            item = WorkItem(
                request_id=f"{name}-{self.count}",
                attempt=1,
                customer=customer,
                class_name=name,
                tier=tier,
                protected=protected,
                preemptible=preemptible,
                resumed_tokens=resumed_tokens,
                arrived_ms=self.now_ms,
                deadline_ms=self.now_ms + deadline_ms if deadline_ms else 0,
            )
            self.items[item.request_id] = item
            self.state[item.request_id] = "queued"
            self.carry_out(admission.submit(self.table, item, self.settings, self.now_ms))

    @rule(step_ms=st.sampled_from([1, TICK_MS, 400]))
    def wait(self, step_ms: int) -> None:
        """Advance the time, with a tick at least every 50 ms."""
        while step_ms > 0:
            self.now_ms += min(step_ms, TICK_MS)
            step_ms -= TICK_MS
            self.carry_out(admission.run_tick(self.table, self.settings, self.now_ms))

    @precondition(lambda self: self.table.running)
    @rule(data=st.data(), gap_ms=st.sampled_from([5, 30, 200]), count=st.integers(1, 40))
    def tokens(self, data: st.DataObject, gap_ms: int, count: int) -> None:
        """A running request receives tokens after a short or long gap."""
        request_id = data.draw(st.sampled_from(sorted(self.table.running)))
        self.now_ms += gap_ms
        admission.record_tokens(self.table, request_id, self.now_ms, count)
        self.carry_out(admission.run_tick(self.table, self.settings, self.now_ms))

    @precondition(lambda self: self.present())
    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        """A request ends, or its caller disconnects."""
        self.finish(data.draw(st.sampled_from(self.present())))

    def present(self) -> list[str]:
        """:return: ids of the queued and running requests"""
        return sorted(name for name, state in self.state.items() if state != "ended")

    def finish(self, request_id: str) -> None:
        """End a request in the table and in the model."""
        self.state[request_id] = "ended"
        self.carry_out(admission.finish(self.table, request_id, self.settings, self.now_ms))

    def carry_out(self, actions: list[AdmissionAction]) -> None:
        """Check each action, and carry it out as the agent does."""
        for action in actions:
            item = self.items[action.request_id]
            match action:
                case StartWork():
                    assert self.state[action.request_id] == "queued"
                    self.state[action.request_id] = "running"
                    self.waiting_since_ms[item.class_name] = self.now_ms
                case RefuseWork():
                    self.check_refusal(action, item)
                    self.state[action.request_id] = "ended"
                case PreemptWork():
                    assert not item.protected, "a protected request was preempted"
                    assert item.preemptible
                    assert self.state[action.request_id] == "running"
        for action in actions:
            if isinstance(action, PreemptWork):
                self.finish(action.request_id)

    def check_refusal(self, action: RefuseWork, item: WorkItem) -> None:
        """A protected request is refused only if no request of a lower tier can be removed."""
        assert self.state[action.request_id] == "queued", "refused after it started"
        assert action.error.verdict is Verdict.NOT_RUN
        assert (action.error.retry_after_s or 0) >= 1
        if item.protected:
            removable = self.removable_requests(item.tier)
            assert not removable, f"{item.request_id} was refused before {removable}"

    def removable_requests(self, tier: int) -> list[str]:
        """:return: lower-tier requests that are preemptible, or queued after their class's first"""
        running = [
            other.request_id
            for other in self.table.running.values()
            if other.tier > tier and other.preemptible
            if not (other.protected or other.started_by_aging or other.preempting)
        ]
        queued: dict[str, list[str]] = {}
        for other in self.table.queued.values():
            if other.tier > tier:
                queued.setdefault(other.class_name, []).append(other.request_id)
        return running + [name for names in queued.values() for name in names[1:]]

    @invariant()
    def table_matches_model(self) -> None:
        """The counters and queues of the table match the model."""
        states = self.state.items()
        assert set(self.table.queued) == {name for name, s in states if s == "queued"}
        assert set(self.table.running) == {name for name, s in states if s == "running"}
        assert sum(t.count for t in self.table.tiers.values()) == len(self.table.queued)
        running = self.table.running.values()
        assert self.table.aged_running == sum(item.started_by_aging for item in running)
        assert self.table.protected_running == sum(item.protected for item in running)

    @invariant()
    def queue_is_bounded(self) -> None:
        """The queue exceeds its bound by at most one request per class and per preemption."""
        if hasattr(self, "settings"):
            most = self.settings.max_queued + len(CLASSES) + self.settings.max_running
            assert len(self.table.queued) <= most

    @invariant()
    def every_class_is_served(self) -> None:
        """No class waits longer than (waiting classes + 1) aging intervals and one tick."""
        if not hasattr(self, "settings"):
            return
        waiting = {item.class_name for item in self.table.queued.values()}
        for name in [n for n in self.waiting_since_ms if n not in waiting]:
            del self.waiting_since_ms[name]
        bound_ms = (len(CLASSES) + 1) * self.settings.aging_interval_ms + 200 + TICK_MS
        for name in waiting:
            since_ms = self.waiting_since_ms.setdefault(name, self.now_ms)
            assert self.now_ms - since_ms <= bound_ms, f"{name} was not served"


__all__ = ["AdmissionMachine"]
