"""Order the number of servers of a group in a failure domain, while this router holds the duty."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from boragetiller.errors import (
    DutyApiBusy,
    DutyApiUnavailable,
    HistoryLost,
    StoreUnavailable,
)
from boragetiller.events import Event, log_event
from boragetiller.hashing import stable_hash
from boragetiller.systems.duties.server_targets import decide_servers, observe, record_call
from boragetiller.tables.duties import ServerOrder
from boragetiller.tables.server_targets import ServerTarget
from boragetiller.tables.store_writes import (
    NO_REVISION,
    CommitStatus,
    ExpectedRevision,
    KeyWrite,
    Transaction,
)

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.duties.group_loads import GroupLoads
    from boragetiller.gateway.duties.holder import DutyHolder
    from boragetiller.gateway.duties.metrics import ServerOrderMetrics
    from boragetiller.gateway.duty_interface import DutyApi, LeaseStore
    from boragetiller.tables.duties import Duty, Holding, LossReason
    from boragetiller.tables.routes import ScalingPolicy
    from boragetiller.tables.server_targets import DomainLoad, TargetDecision

ORDERS_PREFIX = "boragetiller/servers/"
FLIGHT_MS = 500  # longest time until a call arrives: connecting and delivery
BUSY_DELAY_MS = 1_000  # after a call that was not executed
MAX_NAME_CHARS = 80  # of a key, which has at most 200 bytes


class ServerController:
    """The duty of the number of servers of one group in one failure domain."""

    def __init__(
        self,
        duty: Duty,
        group: str,
        domain: str,
        loads: GroupLoads,
        holder: DutyHolder,
        store: LeaseStore,
        api: DutyApi,
        clock: Clock,
        metrics: ServerOrderMetrics,
    ) -> None:
        """
        Create the task of the duty.

        :param duty: the duty
        :param group: name of the backend group
        :param domain: failure domain
        :param loads: reads the load of the servers
        :param holder: checks that the duty is held
        :param store: keeps the last order, for a successor
        :param api: receives the orders
        :param clock: monotonic clock
        :param metrics: counter of orders
        """
        self._duty = duty
        self._group = group
        self._domain = domain
        self._loads = loads
        self._holder = holder
        self._store = store
        self._api = api
        self._clock = clock
        self._metrics = metrics
        self._key = _build_key(group, domain)
        self._target = ServerTarget()
        self._stored_revision: int | None = None  # of the key; None until it was read
        self._stored: int | None = None  # servers in the store
        self._away_ms: int | None = None  # monotonic time of the last failure of store or API
        self._retry_at_ms = 0

    async def run_once(self, holding: Holding) -> None:
        """See :class:`boragetiller.gateway.duties.holder.DutyTask`."""
        now_ms = self._clock.now_ms()
        policy = self._loads.get_policy(self._group)
        load = self._loads.read(self._group, self._domain, now_ms)
        if policy is None or load is None:
            return
        observe(self._target, load, now_ms)
        if self._stored_revision is None and not await self._read_order():
            return
        if not self._loads.is_store_reachable():
            self._away_ms = now_ms
        decision = self._decide(load, policy, now_ms)
        if decision.is_due and now_ms >= self._retry_at_ms:
            await self._order(decision, load, holding)

    async def on_lost(self, reason: LossReason) -> None:  # noqa: ARG002
        """See :class:`boragetiller.gateway.duties.holder.DutyTask`."""
        self._target = ServerTarget()
        self._stored_revision = self._stored = None

    def _decide(self, load: DomainLoad, policy: ScalingPolicy, now_ms: int) -> TargetDecision:
        away_ms = None if self._away_ms is None else now_ms - self._away_ms
        conditions = self._loads.read_conditions(self._group, self._domain, away_ms, now_ms)
        return decide_servers(self._target, load, policy, conditions, now_ms)

    async def _read_order(self) -> bool:
        try:
            listing = await self._store.get_key(self._key)
        except (StoreUnavailable, HistoryLost):
            self._away_ms = self._clock.now_ms()
            return False
        self._stored_revision = NO_REVISION
        for item in listing.items:
            if item.key == self._key and item.value is not None:
                self._stored_revision = item.revision
                self._stored = _decode_order(item.value)
        self._target.ordered = self._stored
        return True

    async def _order(self, decision: TargetDecision, load: DomainLoad, holding: Holding) -> None:
        if self._stored != decision.servers and not await self._store_order(
            decision.servers, holding
        ):
            return
        held = self._holder.get_valid(self._duty, FLIGHT_MS)
        if held is None:
            return
        result = "confirmed"
        order = ServerOrder(
            group=self._group, failure_domain=self._domain, servers=decision.servers
        )
        try:
            await self._api.order_servers(order, held)
        except DutyApiBusy:
            result = "busy"
            self._retry_at_ms = self._clock.now_ms() + BUSY_DELAY_MS
        except DutyApiUnavailable:
            result = "unavailable"
            self._away_ms = self._clock.now_ms()
        before = self._target.ordered
        if result != "busy":
            record_call(
                self._target,
                decision.servers,
                self._clock.now_ms(),
                is_confirmed=result == "confirmed",
            )
        self._metrics.orders.labels(result).inc()
        log_event(
            Event.SERVERS_ORDERED,
            group=self._group,
            failure_domain=self._domain,
            servers=decision.servers,
            before=before,
            reason=decision.reason,
            result=result,
            token=held.token,
            ready=load.ready,
            warming=load.warming,
            draining=load.draining,
            ejected=load.ejected,
            slots=round(load.slots, 2),
            memory=round(load.memory, 2),
            prefill=round(load.prefill, 2),
            late=load.late,
            refused=load.refused,
            age_ms=load.age_ms,
        )

    async def _store_order(self, servers: int, holding: Holding) -> bool:
        """Store an order before it is sent, so that a successor starts from it."""
        held = self._holder.get_valid(holding.duty, FLIGHT_MS)
        if held is None or self._stored_revision is None:
            return False
        transaction = Transaction(
            era=held.era,
            expected=(held.condition, ExpectedRevision(self._key, self._stored_revision)),
            writes=(KeyWrite(self._key, json.dumps({"servers": servers}).encode()),),
        )
        try:
            result = await self._store.commit(transaction)
        except (StoreUnavailable, HistoryLost) as error:
            self._away_ms = self._clock.now_ms()
            self._stored_revision = None  # it may have been executed; read again
            self._retry_at_ms = self._away_ms + BUSY_DELAY_MS
            log_event(
                Event.SERVER_ORDER_NOT_STORED,
                group=self._group,
                failure_domain=self._domain,
                reason=str(error),
            )
            return False
        if result.status is not CommitStatus.COMMITTED:
            self._stored_revision = None
            return False
        self._stored, self._stored_revision = servers, result.revision
        return True


def _build_key(group: str, domain: str) -> str:
    names = [
        name if len(name.encode()) <= MAX_NAME_CHARS else f"{stable_hash(name):x}"
        for name in (group, domain)
    ]
    return ORDERS_PREFIX + "/".join(names)


def _decode_order(value: bytes) -> int | None:
    """:return: number of servers in a stored order, None if it cannot be decoded"""
    try:
        return int(json.loads(value)["servers"])
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None


__all__ = ["ServerController"]
