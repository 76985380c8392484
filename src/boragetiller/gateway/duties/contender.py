"""Acquire one duty, run its task while it is held, and release it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.errors import EntryUnreadable, HistoryLost, StoreUnavailable
from boragetiller.events import Event, log_event
from boragetiller.gateway.duties.acquirer import DutyAcquirer
from boragetiller.gateway.supervisor import record_failure
from boragetiller.systems.duties.acquisition import build_holding, build_release
from boragetiller.systems.duties.validity import covers
from boragetiller.tables.duties import FormerDuty, HeldDuty, LossReason
from boragetiller.tables.store_writes import CommitStatus
from boragetiller.timeouts import wait_with_timeout

if TYPE_CHECKING:
    from boragetiller.gateway.duties.election import Election
    from boragetiller.gateway.duties.task import DutyTask
    from boragetiller.tables.duties import Duty, Holding

RUN_INTERVAL_MS = 200  # of the task of a held duty
RUN_TIMEOUT_MS = 5_000  # a task that hangs would keep the duty; each call of it takes 500 ms
LOST_TIMEOUT_MS = 1_000  # of a task that drops its state; a hanging one would delay the stop
RETRY_BASE_MS = 200
RETRY_MAX_MS = 1_600
RELEASE_ATTEMPTS = 3


class DutyContender:
    """Takes part in the election for one duty."""

    def __init__(self, duty: Duty, task: DutyTask, election: Election) -> None:
        """
        Create the contender; it is inactive until :meth:`run`.

        :param duty: the duty
        :param task: run while the duty is held
        :param election: what the contenders of this router share
        """
        self.held: HeldDuty | None = None
        self._duty = duty
        self._task = task
        self._election = election
        self._acquirer = DutyAcquirer(duty, election)
        self._retry_ms = RETRY_BASE_MS
        self._working = asyncio.Lock()  # held while the task runs
        self._stopping = False
        self._cut_off = False  # a run was cancelled, so a call of it may not be answered

    def get_valid(self, flight_ms: int) -> Holding | None:
        """See :meth:`DutyHolder.get_valid`."""
        held, lease = self.held, self._election.lease.held
        if held is None or lease is None or self._find_loss(held) is not None:
            return None
        if not covers(lease, flight_ms, self._election.clock.now_ms()):
            return None
        return build_holding(self._duty, held, lease)

    async def run(self) -> None:
        """Acquire the duty and run its task; runs until cancelled."""
        while True:
            if self.held is not None:
                await self._work(self.held)
                continue
            try:
                held = await self._acquirer.take_step()
                self._retry_ms = RETRY_BASE_MS
                if held is not None:
                    self._take(held)
            except (HistoryLost, StoreUnavailable):
                self._acquirer.reread()
                await asyncio.sleep(self._retry_ms / 1_000)
                self._retry_ms = min(RETRY_MAX_MS, 2 * self._retry_ms)
            except EntryUnreadable as error:
                log_event(Event.DUTY_RECORD_UNREADABLE, **self._describe(), reason=str(error))
                self._acquirer.reread()
                await asyncio.sleep(RETRY_MAX_MS / 1_000)

    async def stop_work(self, timeout_ms: int) -> bool:
        """
        Let the task finish what it does; it is not run again.

        :param timeout_ms: time limit in milliseconds
        :return: whether the task has finished, so all of its calls were answered
        """
        self._stopping = True
        try:
            async with asyncio.timeout(timeout_ms / 1_000), self._working:
                return not self._cut_off
        except TimeoutError:
            return False

    async def release(self, reason: LossReason, *, free: bool) -> None:
        """
        Give up the duty; :meth:`run` must have been cancelled.

        :param reason: why
        :param free: remove the key under the lease before the lease ends; only after all calls of
            the task were answered
        """
        held, self.held = self.held, None
        if held is not None:
            self._remember(held, freed=free)
            freed = free and await self._free(held)
            token = held.token.record.token
            log_event(
                Event.DUTY_RELEASED,
                **self._describe(),
                token=token,
                reason=reason.value,
                freed=freed,
            )
            await self._end(reason)
        self._election.lease.leave(self._duty)

    def _take(self, held: HeldDuty) -> None:
        self.held = held
        token = held.token.record.token
        log_event(Event.DUTY_ACQUIRED, **self._describe(), token=token, era=held.era)
        kind = self._duty.kind.value
        self._election.duty_metrics.held.labels(kind).inc()
        self._election.duty_metrics.changes.labels(kind, "acquired").inc()

    async def _work(self, held: HeldDuty) -> None:
        reason = self._find_loss(held)
        if reason is not None:
            await self._lose(held, reason)
            return
        async with self._working:
            holding = None if self._stopping else self.get_valid(0)
            if holding is not None:
                try:
                    await wait_with_timeout(RUN_TIMEOUT_MS / 1_000, self._task.run_once(holding))
                except Exception as error:  # noqa: BLE001
                    self._cut_off = self._cut_off or isinstance(error, TimeoutError)
                    record_failure(f"duty {self._duty.kind.value}", error, self._election.metrics)
        await asyncio.sleep(RUN_INTERVAL_MS / 1_000)

    def _find_loss(self, held: HeldDuty) -> LossReason | None:
        lease = self._election.lease.held
        if held.era != self._election.era:
            return LossReason.RESTORED
        if lease is None or lease.lease.lease_id != held.token.record.lease_id:
            return LossReason.LEASE_ENDED
        if not covers(lease, 0, self._election.clock.now_ms()):
            return LossReason.EXPIRED
        return None

    async def _lose(self, held: HeldDuty, reason: LossReason) -> None:
        self.held = None
        self._remember(held, freed=False)
        if reason is LossReason.EXPIRED:
            self._acquirer.regain()
        else:
            self._election.lease.leave(self._duty)
        held_ms = self._election.clock.now_ms() - held.acquired_ms
        token = held.token.record.token
        log_event(
            Event.DUTY_LOST, **self._describe(), token=token, reason=reason.value, held_ms=held_ms
        )
        await self._end(reason)

    def _remember(self, held: HeldDuty, *, freed: bool) -> None:
        now_ms = self._election.clock.now_ms()
        token = held.token.record.token
        self._election.former[self._duty] = FormerDuty(token=token, ended_ms=now_ms, freed=freed)

    async def _end(self, reason: LossReason) -> None:
        kind = self._duty.kind.value
        self._election.duty_metrics.held.labels(kind).dec()
        self._election.duty_metrics.changes.labels(kind, reason.value).inc()
        try:
            await wait_with_timeout(LOST_TIMEOUT_MS / 1_000, self._task.on_lost(reason))
        except Exception as error:  # noqa: BLE001
            record_failure(f"duty {kind}", error, self._election.metrics)

    async def _free(self, held: HeldDuty) -> bool:
        """Remove the key under the lease; return whether the store confirmed it."""
        for _ in range(RELEASE_ATTEMPTS):
            try:
                result = await self._election.store.commit(
                    build_release(self._duty, held.era, held.lease_revision)
                )
            except HistoryLost:
                return False
            except StoreUnavailable:
                continue
            return result.status is CommitStatus.COMMITTED
        return False

    def _describe(self) -> dict[str, str]:
        return {"duty": self._duty.kind.value, "subject": self._duty.subject}


__all__ = ["DutyContender"]
