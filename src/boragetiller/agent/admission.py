"""Admission queue of the agent: carries out decisions to start, refuse or preempt work."""

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
class AdmissionTicket:
    """One work item that waits for admission or runs."""

    work_id: str
    admitted: asyncio.Future[None]
    preempted: asyncio.Event = attrs.Factory(asyncio.Event)


class AdmissionQueue:
    """Queue that every request to the backend server passes."""

    def __init__(self, settings: AdmissionSettings, clock: Clock, metrics: Metrics) -> None:
        """
        Create an empty queue.

        :param settings: limits
        :param clock: monotonic time
        :param metrics: counters
        """
        self.table = WorkTable(max_running=settings.max_running)
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._tickets: dict[str, AdmissionTicket] = {}

    def submit(self, item: WorkItem) -> AdmissionTicket:
        """
        Put a work item into the queue.

        :param item: the work item; its request id is unique among queued and running work
        :return: a ticket whose future completes when the work may start or is refused
        """
        ticket = AdmissionTicket(item.request_id, asyncio.get_running_loop().create_future())
        self._tickets[item.request_id] = ticket
        self._apply(admission.submit(self.table, item, self._settings, self._clock.now_ms()))
        return ticket

    def record_tokens(self, ticket: AdmissionTicket, count: int) -> None:
        """
        Count tokens that the engine produced.

        :param ticket: ticket of the work
        :param count: number of tokens
        """
        admission.record_tokens(self.table, ticket.work_id, self._clock.now_ms(), count)

    def record_taken(self, ticket: AdmissionTicket) -> None:
        """
        Record that the router has taken the tokens that were counted last.

        :param ticket: ticket of the work
        """
        admission.record_taken(self.table, ticket.work_id, self._clock.now_ms())

    def finish(self, ticket: AdmissionTicket) -> None:
        """
        Remove work that ended for any reason.

        :param ticket: ticket of the work
        """
        self._tickets.pop(ticket.work_id, None)
        now_ms = self._clock.now_ms()
        self._apply(admission.finish(self.table, ticket.work_id, self._settings, now_ms))

    def tick(self) -> None:
        """Run the timers of admission."""
        self._apply(admission.run_tick(self.table, self._settings, self._clock.now_ms()))

    def _apply(self, actions: list[AdmissionAction]) -> None:
        for action in actions:
            ticket = self._tickets.get(action.request_id)
            if ticket is not None:
                self._apply_to_ticket(ticket, action)

    def _apply_to_ticket(self, ticket: AdmissionTicket, action: AdmissionAction) -> None:
        match action:
            case StartWork() if not ticket.admitted.done():
                ticket.admitted.set_result(None)
            case RefuseWork(error=error) if not ticket.admitted.done():
                self._metrics.increment(f"agent.refused.{error.code}")
                ticket.admitted.set_exception(error)
            case PreemptWork():
                self._metrics.increment("agent.preempted")
                ticket.preempted.set()


__all__ = ["AdmissionQueue", "AdmissionTicket"]
