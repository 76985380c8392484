"""Order queued requests by tier, weighted fair share of tokens and earliest feasible due time."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from boragetiller.systems.work_queues import (
    compute_order_key,
    find_queues,
    is_queued,
    push_to_order_heap,
    remove,
    remove_idle_queues,
)

if TYPE_CHECKING:
    from boragetiller.settings import AdmissionSettings
    from boragetiller.tables.agent_work import (
        ClassQueue,
        CustomerQueue,
        TierQueue,
        WorkItem,
        WorkTable,
    )


def find_next_in_tier(
    table: WorkTable, tier: TierQueue, settings: AdmissionSettings, now_ms: int
) -> WorkItem | None:
    """
    Find the request that a tier starts next.

    :param table: queued and running requests of this agent
    :param tier: queues of the tier
    :param settings: tokens per turn, and the share of overdue requests
    :param now_ms: monotonic time in milliseconds
    :return: a queued request, which stays in the queue, or None if the tier is empty
    """
    waiting = [queue for queue in tier.classes.values() if queue.count]
    if not waiting:
        return None
    lowest = min(queue.virtual_tokens for queue in waiting)
    eligible = [q for q in waiting if q.virtual_tokens <= lowest + settings.fair_turn_tokens]
    heads = [find_next_in_class(table, queue, settings, now_ms) for queue in eligible]
    return min(heads, key=lambda item: (_is_overdue(table, item, now_ms), item.due_ms()))


def find_next_in_class(
    table: WorkTable, queue: ClassQueue, settings: AdmissionSettings, now_ms: int
) -> WorkItem:
    """
    Find the request that a class starts next.

    :param table: queued and running requests of this agent
    :param queue: queue of the class
    :param settings: tokens per turn, and the share of overdue requests
    :param now_ms: monotonic time in milliseconds
    :return: a queued request, which stays in the queue
    :raises LookupError: the class has no queued request
    """
    on_time = _find_on_time_head(table, queue, settings, now_ms)
    overdue = _find_overdue_head(table, queue)
    if overdue is not None and (on_time is None or queue.overdue_credit >= 1.0):
        return overdue
    if on_time is None:
        raise LookupError(f"class {queue.name} has no queued request")
    return on_time


def record_start(
    table: WorkTable, item: WorkItem, settings: AdmissionSettings, now_ms: int
) -> None:
    """
    Move a queued request to the running ones, and charge its prompt.

    :param table: queued and running requests of this agent
    :param item: the queued request
    :param settings: cost of a prompt token, and the share of overdue requests
    :param now_ms: monotonic time in milliseconds
    """
    tier, queue, customer = find_queues(table, item)
    tier.last_served_virtual_tokens = max(tier.last_served_virtual_tokens, queue.virtual_tokens)
    queue.last_served_virtual_tokens = max(
        queue.last_served_virtual_tokens, customer.virtual_tokens
    )
    queue.waiting_since_ms = now_ms
    was_overdue = bool(queue.overdue) and queue.overdue[0] is item
    queue.overdue_credit = (
        0.0 if was_overdue else min(1.0, queue.overdue_credit + settings.late_share)
    )
    customer.running += 1
    queue.running += 1
    remove(table, item)
    item.started_ms = now_ms
    table.running[item.request_id] = item
    table.aged_running += item.started_by_aging
    table.unprotected_nonpreemptible_running += item.is_unprotected_nonpreemptible()
    table.protected_running += item.protected
    charge_tokens(
        table, item, settings.min_cost_tokens + item.prompt_tokens * settings.prompt_token_cost
    )


def record_end(table: WorkTable, item: WorkItem) -> None:
    """
    Remove a request from the running ones.

    :param table: queued and running requests of this agent
    :param item: the running request
    """
    tier, queue, customer = find_queues(table, item)
    del table.running[item.request_id]
    customer.running -= 1
    queue.running -= 1
    table.preempting -= item.preempting
    table.aged_running -= item.started_by_aging
    table.unprotected_nonpreemptible_running -= item.is_unprotected_nonpreemptible()
    table.protected_running -= item.protected
    remove_idle_queues(tier, queue, customer)


def charge_tokens(table: WorkTable, item: WorkItem, tokens: float) -> None:
    """
    Charge tokens to the class and the customer of a running request.

    :param table: queued and running requests of this agent
    :param item: the running request
    :param tokens: number of tokens, before division by the weights
    """
    _, queue, customer = find_queues(table, item)
    queue.virtual_tokens += tokens / item.class_weight
    customer.virtual_tokens += tokens / item.customer_weight


def _find_on_time_head(
    table: WorkTable, queue: ClassQueue, settings: AdmissionSettings, now_ms: int
) -> WorkItem | None:
    while queue.order_heap:  # keys only increase, so an outdated entry is pushed again with its key
        turn, due_ms, _, customer = queue.order_heap[0]
        _skip_removed_and_overdue(table, queue, customer, now_ms)
        if not customer.items:
            heapq.heappop(queue.order_heap)
            customer.in_order_heap = False
        elif (turn, due_ms) < compute_order_key(customer, settings):
            heapq.heappop(queue.order_heap)
            push_to_order_heap(table, queue, customer, settings)
        else:
            return customer.items[0]
    return None


def _skip_removed_and_overdue(
    table: WorkTable, queue: ClassQueue, customer: CustomerQueue, now_ms: int
) -> None:
    while customer.items:
        head = customer.items[0]
        if is_queued(table, head):
            if not _is_overdue(table, head, now_ms):
                return
            queue.overdue.append(head)
        customer.items.popleft()


def _find_overdue_head(table: WorkTable, queue: ClassQueue) -> WorkItem | None:
    while queue.overdue and not is_queued(table, queue.overdue[0]):
        queue.overdue.popleft()
    return queue.overdue[0] if queue.overdue else None


def _is_overdue(table: WorkTable, item: WorkItem, now_ms: int) -> bool:
    return not item.resumed_tokens and now_ms + table.first_token_ms > item.due_ms()


__all__ = ["charge_tokens", "find_next_in_class", "find_next_in_tier", "record_end", "record_start"]
