"""Carry out admission decisions: wait in the queue, start, refuse, preempt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from boragetiller.systems import admission
from boragetiller.tables.admission_actions import (
    AdmissionAction,
    PreemptWork,
    RefuseWork,
    StartWork,
)
from boragetiller.tables.agent_work import WorkItem, WorkTable

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.metrics import Metrics
    from boragetiller.settings import AdmissionSettings


@attrs.define
class Ticket:
    """One piece of work at the gate."""

    work_id: str
    admitted: asyncio.Future[None]
    preempted: asyncio.Event = attrs.Factory(asyncio.Event)


class Gate:
    """The only way to the backend server."""

    def __init__(self, settings: AdmissionSettings, clock: Clock, metrics: Metrics) -> None:
        """
        Open the gate.

        :param settings: limits
        :param clock: monotonic time
        :param metrics: counters
        """
        self.table = WorkTable(max_running=settings.max_running)
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._tickets: dict[str, Ticket] = {}

    def enter(self, item: WorkItem) -> Ticket:
        """
        Put work into the queue.

        :param item: the work; its request id is unique among present work
        :return: a ticket whose future ends when the work may start or is refused
        """
        ticket = Ticket(item.request_id, asyncio.get_running_loop().create_future())
        self._tickets[item.request_id] = ticket
        self._apply(admission.submit(self.table, item, self._settings, self._clock.now_ms()))
        return ticket

    def note_tokens(self, ticket: Ticket, count: int) -> None:
        """
        Count tokens that the engine produced.

        :param ticket: the work
        :param count: number of tokens
        """
        admission.record_tokens(self.table, ticket.work_id, self._clock.now_ms(), count)

    def leave(self, ticket: Ticket) -> None:
        """
        Remove work that ended in any way.

        :param ticket: the work
        """
        self._tickets.pop(ticket.work_id, None)
        now_ms = self._clock.now_ms()
        self._apply(admission.finish(self.table, ticket.work_id, self._settings, now_ms))

    def tick(self) -> None:
        """Let timers of the admission system run."""
        self._apply(admission.run_tick(self.table, self._settings, self._clock.now_ms()))

    def _apply(self, actions: list[AdmissionAction]) -> None:
        for action in actions:
            ticket = self._tickets.get(action.request_id)
            if ticket is not None:
                self._apply_one(ticket, action)

    def _apply_one(self, ticket: Ticket, action: AdmissionAction) -> None:
        match action:
            case StartWork() if not ticket.admitted.done():
                ticket.admitted.set_result(None)
            case RefuseWork(error=error) if not ticket.admitted.done():
                self._metrics.increment(f"agent.refused.{error.code}")
                ticket.admitted.set_exception(error)
            case PreemptWork():
                self._metrics.increment("agent.preempted")
                ticket.preempted.set()


__all__ = ["Gate", "Ticket"]
