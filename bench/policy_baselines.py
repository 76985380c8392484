"""Admission and placement of the product and of the baselines that it is compared with."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

from boragetiller.errors import Overloaded
from boragetiller.systems import admission
from boragetiller.systems.agent_placement import choose_agent
from boragetiller.tables.admission_actions import AdmissionAction, RefuseWork, StartWork
from boragetiller.tables.agent_work import WorkItem, WorkTable

if TYPE_CHECKING:
    from random import Random

    from boragetiller.settings import AdmissionSettings, PlacementSettings
    from boragetiller.systems.agent_placement import AgentPlacementRequest
    from boragetiller.tables.agents import AgentEntry, LoadReport

FIXED_CONCURRENCY_LIMIT = 28  # largest batch of an engine of speed 1.0 with a step within 45 ms


class Admission(Protocol):
    """Interface of the admission at one agent."""

    def submit(self, item: WorkItem, now_ms: int) -> list[AdmissionAction]:
        """:return: actions for the agent"""
        ...

    def record_tokens(self, request_id: str, now_ms: int) -> None:
        """Record a token of a running request."""
        ...

    def finish(self, request_id: str, now_ms: int) -> list[AdmissionAction]:
        """:return: actions for the agent"""
        ...

    def run_tick(self, now_ms: int) -> list[AdmissionAction]:
        """:return: actions for the agent"""
        ...

    def build_load_report(self, now_ms: int) -> LoadReport | None:
        """:return: load report for the routers, None if the admission builds none"""
        ...


class ProductAdmission:
    """Admission of the product."""

    def __init__(self, settings: AdmissionSettings) -> None:
        """:param settings: limits"""
        self.table = WorkTable()
        self._settings = settings

    def submit(self, item: WorkItem, now_ms: int) -> list[AdmissionAction]:
        """See :class:`Admission`."""
        return admission.submit(self.table, item, self._settings, now_ms)

    def record_tokens(self, request_id: str, now_ms: int) -> None:
        """See :class:`Admission`."""
        admission.record_tokens(self.table, request_id, now_ms)

    def finish(self, request_id: str, now_ms: int) -> list[AdmissionAction]:
        """See :class:`Admission`."""
        return admission.finish(self.table, request_id, self._settings, now_ms)

    def run_tick(self, now_ms: int) -> list[AdmissionAction]:
        """See :class:`Admission`."""
        return admission.run_tick(self.table, self._settings, now_ms)

    def build_load_report(self, now_ms: int) -> LoadReport | None:
        """See :class:`Admission`."""
        return admission.build_load_report(self.table, now_ms)


class FixedLimitAdmission:
    """Fixed concurrency limit with one FIFO queue, or with one FIFO queue per tier."""

    def __init__(self, settings: AdmissionSettings, *, by_tier: bool) -> None:
        """
        Create an idle admission.

        :param settings: bound of the queue
        :param by_tier: whether upper tiers always precede lower ones
        """
        self._settings = settings
        self._by_tier = by_tier
        self._queues: dict[int, deque[str]] = {tier: deque() for tier in range(4)}
        self._queued: set[str] = set()
        self._running: set[str] = set()

    def submit(self, item: WorkItem, now_ms: int) -> list[AdmissionAction]:
        """See :class:`Admission`."""
        if len(self._queued) >= self._settings.max_queued:
            return [RefuseWork(item.request_id, Overloaded(retry_after_s=1))]
        self._queues[item.tier if self._by_tier else 0].append(item.request_id)
        self._queued.add(item.request_id)
        return self.run_tick(now_ms)

    def record_tokens(self, request_id: str, now_ms: int) -> None:
        """See :class:`Admission`."""

    def finish(self, request_id: str, now_ms: int) -> list[AdmissionAction]:
        """See :class:`Admission`."""
        self._queued.discard(request_id)
        self._running.discard(request_id)
        return self.run_tick(now_ms)

    def run_tick(self, now_ms: int) -> list[AdmissionAction]:  # noqa: ARG002
        """See :class:`Admission`."""
        actions: list[AdmissionAction] = []
        for queue in self._queues.values():
            while queue and len(self._running) < FIXED_CONCURRENCY_LIMIT:
                request_id = queue.popleft()
                if request_id in self._queued:
                    self._queued.discard(request_id)
                    self._running.add(request_id)
                    actions.append(StartWork(request_id))
        return actions

    def build_load_report(self, now_ms: int) -> LoadReport | None:  # noqa: ARG002
        """See :class:`Admission`."""
        return None


class Policy:
    """Admission and placement of one policy, selected by name."""

    def __init__(self, name: str) -> None:
        """:param name: ours, round_robin, least or strict"""
        self.name = name
        self._round_robin_count = 0

    def new_admission(self, settings: AdmissionSettings) -> Admission:
        """:return: the admission of one agent"""
        if self.name == "ours":
            return ProductAdmission(settings)
        return FixedLimitAdmission(settings, by_tier=self.name == "strict")

    def choose(
        self,
        agents: list[AgentEntry],
        request: AgentPlacementRequest,
        settings: PlacementSettings,
        rng: Random,
        now_ms: int,
    ) -> AgentEntry | None:
        """:return: the agent for a request"""
        if self.name == "ours":
            return choose_agent(agents, request, settings, rng, now_ms)
        usable = [a for a in agents if a.name not in request.excluded] or agents
        usable = [a for a in usable if not a.health.is_ejected(now_ms)] or usable
        if self.name == "round_robin":
            self._round_robin_count += 1
            return usable[self._round_robin_count % len(usable)]
        return min(usable, key=lambda agent: (agent.in_flight, rng.random()))


POLICIES = ("ours", "round_robin", "least", "strict")

__all__ = ["POLICIES", "Admission", "Policy"]
