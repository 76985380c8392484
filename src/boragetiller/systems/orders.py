"""Decide which order to send to an engine, and whether it may be sent now."""

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

MAX_BACKOFF_DOUBLINGS = 16


def next_order(wanted: EngineConfig, held: EngineConfig) -> Order | None:
    """
    Choose the order that removes the first difference between wanted and actual configuration.

    :param wanted: configuration in the records
    :param held: configuration that the engine reports
    :return: the order, None when the configurations match
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
    Delay the first step of a new order at random.

    A changed record reaches all engines of a group at once; the delay spreads their lease requests.

    :param table: state of the orders
    :param order: the order, None when the engine needs none
    :param members: size of the backend group
    :param settings: delay
    :param rng: seeded generator
    :param now_ms: monotonic time in milliseconds
    """
    if order is not None and not table.order_pending:
        table.retry_at_ms = now_ms + rng.randint(0, members * settings.spread_ms_per_member)
    table.order_pending = order is not None


def next_step(
    table: OrderTable, order: Order | None, settings: OrderSettings, now_ms: int
) -> OrderStep:
    """
    Choose the next step towards sending an order.

    :param table: leases held
    :param order: the order, None when the engine needs none
    :param settings: durations of leases and loads
    :param now_ms: monotonic time in milliseconds
    :return: the step
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
    """:return: whether the order makes the engine load weights"""
    return isinstance(order, LoadModel | LoadAdapter)


def build_held_lease(name: str, token: int, ttl_ms: int, requested_ms: int) -> HeldLease:
    """
    Build the holder's view of a granted lease.

    Its validity counts from before the request, so it ends here before it ends at the store.

    :param name: name of the lease
    :param token: its fencing token
    :param ttl_ms: its duration in milliseconds
    :param requested_ms: monotonic time just before the request was sent
    :return: the lease
    """
    return HeldLease(name=name, token=token, ttl_ms=ttl_ms, valid_until_ms=requested_ms + ttl_ms)


def adopt_lease(table: OrderTable, lease: HeldLease) -> bool:
    """
    Use a lease of the engine if its fencing token is newer than every token used before.

    :param table: leases held
    :param lease: the granted lease
    :return: whether the lease is used
    """
    if lease.token <= table.newest_token:
        return False
    table.newest_token = lease.token
    table.lease = lease
    return True


def lease_covers_send(table: OrderTable, settings: OrderSettings, now_ms: int) -> bool:
    """
    Check whether an order sent now reaches the engine while the lease is valid.

    :param table: leases held
    :param settings: maximum delivery time of an order
    :param now_ms: monotonic time in milliseconds
    :return: False also when no lease is held
    """
    if table.lease is None:
        return False
    return now_ms + settings.delivery_ms < table.lease.valid_until_ms


def slot_covers_load(table: OrderTable, settings: OrderSettings, now_ms: int) -> bool:
    """
    Check whether a load that starts now ends while the slot is valid.

    :param table: leases held
    :param settings: maximum delivery time of an order and maximum duration of a load
    :param now_ms: monotonic time in milliseconds
    :return: False also when no slot is held
    """
    if table.slot is None:
        return False
    return now_ms + settings.delivery_ms + settings.load_timeout_ms < table.slot.valid_until_ms


def may_send(table: OrderTable, step: SendOrder, settings: OrderSettings, now_ms: int) -> bool:
    """
    Check the lease and slot of an order again, immediately before the order is written.

    An expired lease is dropped.

    :param table: leases held
    :param step: the order with the fencing token that it was prepared with
    :param settings: durations of leases and loads
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
    Reset the retry delay after an order was carried out.

    :param table: state of the orders
    """
    table.failures = 0
    table.retry_at_ms = 0


def record_failure(
    table: OrderTable, settings: OrderSettings, rng: Random, now_ms: int, members: int = 0
) -> None:
    """
    Delay the next step after a failed one, with exponential back-off and jitter.

    :param table: state of the orders
    :param settings: delays
    :param rng: seeded generator
    :param now_ms: monotonic time in milliseconds
    :param members: number of agents that may try the same step at the store
    """
    base_ms = max(settings.retry_base_ms, members * settings.spread_ms_per_member)
    doublings = min(table.failures, MAX_BACKOFF_DOUBLINGS)
    ceiling_ms = min(base_ms * 2**doublings, settings.retry_max_ms)
    table.failures += 1
    table.retry_at_ms = now_ms + rng.randint(ceiling_ms // 2, ceiling_ms)


__all__ = [
    "adopt_lease",
    "delay_new_order",
    "lease_covers_send",
    "may_send",
    "needs_slot",
    "build_held_lease",
    "next_order",
    "next_step",
    "record_failure",
    "record_success",
    "slot_covers_load",
]
