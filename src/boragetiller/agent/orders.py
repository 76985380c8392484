"""Reconcile an engine with the record of its group, by orders with fencing tokens."""

from __future__ import annotations

import asyncio
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from boragetiller.errors import (
    BoragetillerError,
    LeaseExpired,
    OrderRefused,
    StaleFencingToken,
    StoreUnavailable,
)
from boragetiller.events import Event, log_event
from boragetiller.platform_clients.store import Lease
from boragetiller.systems.orders import (
    adopt_lease,
    build_held_lease,
    delay_new_order,
    may_send,
    next_order,
    next_step,
    record_failure,
    record_success,
)
from boragetiller.tables.orders import (
    AcquireLease,
    AcquireSlot,
    EngineConfig,
    HeldLease,
    OrderTable,
    SendOrder,
    Wait,
)
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from boragetiller.agent.order_client import OrderClient
    from boragetiller.clock import Clock
    from boragetiller.metrics import Metrics
    from boragetiller.platform_clients.clients import PlatformClients
    from boragetiller.records.model import BackendGroup
    from boragetiller.settings import Settings
    from boragetiller.tables.config import ConfigTable

MAX_STEPS = 32  # per reconciliation
STORE_RETRY_REASONS = frozenset({"lease", "lease_taken", "slot_taken"})


class OrderReconciler:
    """Sends the orders that make one engine match its record; one process at a time, by lease."""

    def __init__(
        self,
        settings: Settings,
        platform: PlatformClients,
        order_client: OrderClient,
        config: ConfigTable,
        clock: Clock,
        metrics: Metrics,
        incarnation: int,
    ) -> None:
        """
        Create a reconciler that :meth:`start` runs.

        :param settings: settings of the agent
        :param platform: store for leases, weight store for the number of slots
        :param order_client: client for orders to the engine
        :param config: records in force
        :param clock: monotonic time
        :param metrics: counters
        :param incarnation: incarnation of this process
        """
        assert settings.backend is not None
        self._settings = settings.orders
        self._backend = settings.backend
        self._platform = platform
        self._order_client = order_client
        self._config = config
        self._clock = clock
        self._metrics = metrics
        self._holder = f"{settings.name}/{incarnation}"
        self._rng = Random(f"{settings.seed}/{settings.name}" if settings.seed else None)
        self._table = OrderTable()
        self._slot_index: int | None = None
        self._members = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to reconcile the engine periodically."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop; a load in progress continues at the engine, and its slot is left to expire."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def reconcile(self) -> None:
        """Compare the engine with the record of its group and send the missing orders."""
        group = self._config.groups.get(self._backend.group)
        if group is None or self._clock.now_ms() < self._table.retry_at_ms:
            return
        self._members = len(group.members)
        wanted = build_wanted_config(group)
        for _ in range(MAX_STEPS):
            try:
                order = next_order(wanted, await self._order_client.read_config())
            except BoragetillerError as error:
                self._fail("read", error)
                return
            now_ms = self._clock.now_ms()
            delay_new_order(
                self._table, order, len(group.members), self._settings, self._rng, now_ms
            )
            step = next_step(self._table, order, self._settings, now_ms)
            if isinstance(step, Wait) or not await self._run_step(step):
                return

    async def _run(self) -> None:
        while True:
            await self.reconcile()
            wait_ms = self._settings.check_interval_ms * self._rng.uniform(0.5, 1.5)
            await asyncio.sleep(wait_ms / 1_000)

    async def _run_step(self, step: AcquireSlot | AcquireLease | SendOrder) -> bool:
        try:
            if isinstance(step, AcquireSlot):
                return await self._acquire_slot()
            if isinstance(step, AcquireLease):
                return await self._acquire_lease()
            return await self._send(step)
        except StoreUnavailable as error:
            self._fail("lease", error)
            return False

    async def _acquire_slot(self) -> bool:
        if self._platform.weights is None:
            limit = 1
        else:
            limit = max(1, await self._platform.weights.get_load_limit())
        await self._release_slot()
        if self._slot_index is None or self._slot_index >= limit:
            self._slot_index = self._rng.randrange(limit)
        name = f"slots/weights/{self._slot_index}"
        self._table.slot = await self._acquire(name, self._settings.slot_ttl_ms)
        if self._table.slot is None:
            self._slot_index = None
            self._back_off("slot_taken")
        return self._table.slot is not None

    async def _acquire_lease(self) -> bool:
        name = f"leases/engines/{self._backend.name}"
        lease = await self._acquire(name, self._settings.lease_ttl_ms)
        if lease is None or not adopt_lease(self._table, lease):
            log_event(Event.ORDER_LEASE_REFUSED, name=name)
            self._back_off("lease_taken")
            await self._release_slot()
            return False
        log_event(Event.ORDER_LEASE_TAKEN, name=name, token=lease.token)
        return True

    async def _acquire(self, name: str, ttl_ms: int) -> HeldLease | None:
        requested_ms = self._clock.now_ms()
        lease = await self._platform.store.acquire_lease(name, self._holder, ttl_ms)
        if lease is None:
            return None
        return build_held_lease(name, lease.token, ttl_ms, requested_ms)

    async def _send(self, step: SendOrder) -> bool:
        log_event(Event.ORDER_SENT, order=step.order, token=step.token)
        try:
            await self._order_client.send(step.order, step.token, partial(self._may_send, step))
        except LeaseExpired:
            self._metrics.increment("agent.orders.withheld")
            log_event(Event.ORDER_WITHHELD, order=step.order, token=step.token)
            return True  # the next step acquires the expired lease or slot again
        except BoragetillerError as error:
            await self._handle_send_error(error)
            return False
        record_success(self._table)
        self._metrics.increment("agent.orders.done")
        log_event(Event.ORDER_DONE, order=step.order, token=step.token)
        await self._release_slot()
        return True

    async def _handle_send_error(self, error: BoragetillerError) -> None:
        self._fail("refused" if isinstance(error, OrderRefused) else "not_carried_out", error)
        if isinstance(error, StaleFencingToken):
            self._table.lease = None
        if error.verdict is Verdict.NOT_RUN:
            await self._release_slot()
        self._table.slot = None  # a load may continue, so a slot not released is left to expire

    def _may_send(self, step: SendOrder) -> bool:
        return may_send(self._table, step, self._settings, self._clock.now_ms())

    async def _release_slot(self) -> None:
        slot, self._table.slot = self._table.slot, None
        if slot is not None:
            lease = Lease(slot.name, self._holder, slot.token, slot.ttl_ms)
            await self._platform.store.release_lease(lease)

    def _fail(self, reason: str, error: BoragetillerError) -> None:
        log_event(Event.ORDER_FAILED, reason=reason, code=error.code, detail=error)
        self._back_off(reason)

    def _back_off(self, reason: str) -> None:
        self._metrics.increment(f"agent.orders.retry.{reason}")
        members = self._members if reason in STORE_RETRY_REASONS else 0
        now_ms = self._clock.now_ms()
        record_failure(self._table, self._settings, self._rng, now_ms, members)


def build_wanted_config(group: BackendGroup) -> EngineConfig:
    """
    Build the configuration that each engine of a group should have.

    :param group: record of the group
    :return: models, adapters and role
    """
    return EngineConfig(models=group.models, adapters=group.adapters, role=group.role)


__all__ = ["OrderReconciler", "build_wanted_config"]
