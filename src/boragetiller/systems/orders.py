"""Decide which order an engine gets, and whether it may be sent now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.orders import (
    AcquireLease,
    AcquireSlot,
    EngineConfig,
    HeldLease,
    LoadAdapter,
    LoadModel,
    Order,
    OrderStep,
    OrderTable,
    SendOrder,
    SetRole,
    Wait,
)

if TYPE_CHECKING:
    from random import Random

    from boragetiller.settings import OrderSettings

MAX_DOUBLINGS = 16


def next_order(wanted: EngineConfig, held: EngineConfig) -> Order | None:
    """
    Pick the first difference between what an engine should hold and what it holds.

    :param wanted: what the records say
    :param held: what the engine reports
    :return: the order that removes it, None when there is none
    """
    if wanted.role and wanted.role != held.role:
        return SetRole(wanted.role)
    for model in wanted.models:
        if model not in held.models:
            return LoadModel(model)
    for adapter in wanted.adapters:
        if adapter not in held.adapters:
            return LoadAdapter(adapter)
    return None


def delay_new_order(
    table: OrderTable,
    order: Order | None,
    members: int,
    settings: OrderSettings,
    rng: Random,
    now_ms: int,
) -> None:
    """
    Delay the first step of a new order at random, so that a large group does not ask at once.

    :param table: state of the orders
    :param order: the order, None when the engine is as it should be
    :param members: size of the backend group, which a change of its record reaches at once
    :param settings: delay
    :param rng: seeded generator
    :param now_ms: monotonic time in milliseconds
    """
    if order is not None and not table.waiting:
        table.retry_at_ms = now_ms + rng.randint(0, members * settings.spread_ms_per_member)
    table.waiting = order is not None


def next_step(
    table: OrderTable, order: Order | None, settings: OrderSettings, now_ms: int
) -> OrderStep:
    """
    Tell what has to be done before an order can be sent.

    :param table: leases held
    :param order: the order, None when the engine is as it should be
    :param settings: lengths of leases and loads
    :param now_ms: monotonic time in milliseconds
    :return: one step
    """
    if order is None:
        return Wait()
    if now_ms < table.retry_at_ms:
        return Wait(table.retry_at_ms)
    if needs_slot(order) and not slot_covers_load(table, settings, now_ms):
        return AcquireSlot()
    if not lease_covers_send(table, settings, now_ms) or table.lease is None:
        return AcquireLease()
    return SendOrder(order, table.lease.token)


def needs_slot(order: Order) -> bool:
    """:return: whether the order makes the engine fetch weights"""
    return isinstance(order, LoadModel | LoadAdapter)


def new_held_lease(name: str, token: int, ttl_ms: int, asked_ms: int) -> HeldLease:
    """
    Note a granted lease; it is counted from before the request, so it ends here first.

    :param name: name of the lease
    :param token: its fencing number
    :param ttl_ms: its length
    :param asked_ms: monotonic time just before the request was sent
    :return: the lease
    """
    return HeldLease(name=name, token=token, ttl_ms=ttl_ms, valid_until_ms=asked_ms + ttl_ms)


def adopt_lease(table: OrderTable, lease: HeldLease) -> bool:
    """
    Begin to use a lease of the engine, if its number is newer than every one used before.

    :param table: leases held
    :param lease: the granted lease
    :return: whether it is used
    """
    if lease.token <= table.newest_token:
        return False
    table.newest_token = lease.token
    table.lease = lease
    return True


def lease_covers_send(table: OrderTable, settings: OrderSettings, now_ms: int) -> bool:
    """
    Tell whether an order sent now reaches the engine while the lease is held.

    :param table: leases held
    :param settings: longest time that a sent order is on its way
    :param now_ms: monotonic time in milliseconds
    :return: False also when there is no lease
    """
    if table.lease is None:
        return False
    return now_ms + settings.delivery_ms < table.lease.valid_until_ms


def slot_covers_load(table: OrderTable, settings: OrderSettings, now_ms: int) -> bool:
    """
    Tell whether a load that begins now ends while the slot is held.

    :param table: leases held
    :param settings: longest time of a load
    :param now_ms: monotonic time in milliseconds
    :return: False also when there is no slot
    """
    if table.slot is None:
        return False
    return now_ms + settings.delivery_ms + settings.load_timeout_ms < table.slot.valid_until_ms


def may_send(table: OrderTable, step: SendOrder, settings: OrderSettings, now_ms: int) -> bool:
    """
    Check once more, immediately before the bytes are written; a lapsed lease is given up.

    :param table: leases held
    :param step: the order with the number that it was prepared with
    :param settings: lengths of leases and loads
    :param now_ms: monotonic time in milliseconds
    :return: whether the order may be sent
    """
    if not lease_covers_send(table, settings, now_ms):
        table.lease = None
        return False
    if needs_slot(step.order) and not slot_covers_load(table, settings, now_ms):
        return False
    return table.lease is not None and table.lease.token == step.token


def record_success(table: OrderTable) -> None:
    """
    Note an order that was carried out.

    :param table: state of the orders
    """
    table.failures = 0
    table.retry_at_ms = 0


def record_failure(
    table: OrderTable, settings: OrderSettings, rng: Random, now_ms: int, members: int = 0
) -> None:
    """
    Note a step that failed and delay the next one, exponentially and with jitter.

    :param table: state of the orders
    :param settings: delays
    :param rng: seeded generator
    :param now_ms: monotonic time in milliseconds
    :param members: how many agents may try the same step at the store
    """
    base_ms = max(settings.retry_base_ms, members * settings.spread_ms_per_member)
    doublings = min(table.failures, MAX_DOUBLINGS)
    ceiling_ms = min(base_ms * 2**doublings, settings.retry_max_ms)
    table.failures += 1
    table.retry_at_ms = now_ms + rng.randint(ceiling_ms // 2, ceiling_ms)


__all__ = [
    "new_held_lease",
    "lease_covers_send",
    "may_send",
    "needs_slot",
    "next_order",
    "next_step",
    "delay_new_order",
    "record_failure",
    "record_success",
    "slot_covers_load",
    "adopt_lease",
]
