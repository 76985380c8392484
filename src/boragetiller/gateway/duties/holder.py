"""Acquire, renew and release the duties of this router."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.clock import new_incarnation
from boragetiller.events import Event, log_event
from boragetiller.gateway.duties.contender import RUN_TIMEOUT_MS, DutyContender
from boragetiller.gateway.duties.election import Election
from boragetiller.gateway.duties.router_lease import RouterLease
from boragetiller.gateway.duties.task import DutyTask
from boragetiller.gateway.supervisor import record_failure, run_supervised
from boragetiller.systems.duties.validity import FLIGHT_MS
from boragetiller.tables.duties import LossReason, SeenEra

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.clock import Clock
    from boragetiller.gateway.duties.metrics import DutyMetrics
    from boragetiller.gateway.duties.settings import DutySettings
    from boragetiller.gateway.duty_interface import LeaseStore
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.tables.duties import Duty, Holding
    from boragetiller.tables.known_routers import KnownRouters

CLOSE_TIMEOUT_MS = 1_500  # of the last calls of all tasks; a call times out after 500 ms


class DutyHolder:
    """Holds duties while this router is a candidate for them and acquired them in the store."""

    def __init__(
        self,
        name: str,
        settings: DutySettings,
        store: LeaseStore,
        get_routers: Callable[[], KnownRouters],
        clock: Clock,
        metrics: GatewayMetrics,
        duty_metrics: DutyMetrics,
    ) -> None:
        """
        Create the holder; it is inactive until started.

        :param name: name of this router
        :param settings: settings of duties
        :param store: the platform's store
        :param get_routers: returns the known routers
        :param clock: clock that includes suspended time
        :param metrics: counter of failures of tasks
        :param duty_metrics: metrics of duties
        """
        self._settings = settings
        self._metrics = metrics
        self._contenders: dict[Duty, DutyContender] = {}
        self._tasks: dict[Duty, asyncio.Task[None]] = {}
        self._lease = RouterLease(settings, store, clock)
        self._lease_task: asyncio.Task[None] | None = None
        self._election = Election(
            name=name,
            incarnation=new_incarnation(),
            settings=settings,
            store=store,
            lease=self._lease,
            clock=clock,
            get_routers=get_routers,
            metrics=metrics,
            duty_metrics=duty_metrics,
            seen_era=SeenEra(store.eras.era or 0, clock.now_ms()),
        )

    @property
    def duty_count(self) -> int:
        """:return: number of registered duties, which is the same at all routers"""
        return len(self._contenders)

    def register(self, duty: Duty, task: DutyTask) -> None:
        """
        Take part in the election for a duty; all routers register the same duties.

        :param duty: the duty; ignored if it is registered already
        :param task: run while the duty is held
        """
        if duty in self._contenders:
            return
        self._contenders[duty] = DutyContender(duty, task, self._election)
        if self._lease_task is not None:
            self._start_contender(duty)

    async def unregister(self, duty: Duty) -> None:
        """
        Release a duty and no longer take part in the election for it.

        :param duty: the duty; unknown ones are ignored
        """
        contender = self._contenders.get(duty)
        if contender is None:
            return
        finished = await contender.stop_work(RUN_TIMEOUT_MS)
        await self._cancel(self._tasks.pop(duty, None))
        if not finished:
            await asyncio.sleep(FLIGHT_MS / 1_000)  # of a call that was cut off
        # No wait between this and the release: a contender that is registered in between would hold
        # the duty again by the key that the release removes.
        if self._contenders.get(duty) is contender:
            del self._contenders[duty]
        await contender.release(LossReason.UNREGISTERED, free=True)

    def get_valid(self, duty: Duty, flight_ms: int) -> Holding | None:
        """
        Check that a duty is held; to be called immediately before each send.

        :param duty: the duty
        :param flight_ms: longest time until the call arrives, in milliseconds
        :return: the held duty, None if it is not held or ends before the call would arrive
        """
        contender = self._contenders.get(duty)
        return contender.get_valid(flight_ms) if contender is not None else None

    def list_candidates(self, duty: Duty) -> tuple[str, ...]:
        """:return: addresses of the routers that may acquire the duty, best first"""
        return self._election.list_candidates(duty)

    async def start(self) -> None:
        """Start to acquire duties."""
        if self._settings.unknown_kinds:
            log_event(Event.DUTY_KIND_UNKNOWN, kinds=self._settings.unknown_kinds)
        self._lease_task = asyncio.create_task(
            run_supervised("renew lease", self._lease.maintain, self._metrics)
        )
        for duty in self._contenders:
            self._start_contender(duty)

    async def close(self) -> None:
        """Let running tasks finish, then release all duties."""
        closing = [self._close_contender(duty) for duty in list(self._contenders)]
        for result in await asyncio.gather(*closing, return_exceptions=True):
            if isinstance(result, Exception):  # which must not keep the process from stopping
                record_failure("release duty", result, self._metrics)
        await self.abort()

    async def abort(self) -> None:
        """Stop at once; duties that are still held stay so until the lease ends."""
        self._contenders.clear()
        tasks = [*self._tasks.values(), self._lease_task]
        self._tasks.clear()
        for task in tasks:
            await self._cancel(task)

    async def _close_contender(self, duty: Duty) -> None:
        contender = self._contenders[duty]
        finished = await contender.stop_work(CLOSE_TIMEOUT_MS)
        await self._cancel(self._tasks.pop(duty, None))
        await contender.release(LossReason.STOPPED, free=finished)

    def _start_contender(self, duty: Duty) -> None:
        self._tasks[duty] = asyncio.create_task(
            run_supervised(f"duty {duty.kind.value}", self._contenders[duty].run, self._metrics)
        )

    async def _cancel(self, task: asyncio.Task[None] | None) -> None:
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


__all__ = ["DutyHolder", "DutyTask"]
