"""Maintain the queues of requests by tier, class and customer."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from boragetiller.tables.agent_work import ClassQueue, CustomerQueue, TierQueue

if TYPE_CHECKING:
    from boragetiller.settings import AdmissionSettings
    from boragetiller.tables.agent_work import WorkItem, WorkTable

_MAX_STALE_ENTRIES = 16  # beyond twice the live entries; with more, a deque or heap is rebuilt


def enqueue(table: WorkTable, item: WorkItem, settings: AdmissionSettings, now_ms: int) -> None:
    """
    Add a request to the queue of its tier, class and customer.

    :param table: queued and running requests of this agent
    :param item: the request
    :param settings: tokens per turn of fair queueing
    :param now_ms: monotonic time in milliseconds
    """
    tier, queue, customer = find_queues(table, item)
    if queue.count == 0:
        queue.virtual_tokens = max(queue.virtual_tokens, tier.last_served_virtual_tokens)
        queue.waiting_since_ms = now_ms
        table.backlogged_classes += 1
    if customer.count == 0:
        customer.virtual_tokens = max(customer.virtual_tokens, queue.last_served_virtual_tokens)
    table.queued[item.request_id] = item
    if item.resumed_tokens:
        customer.items.appendleft(item)
        customer.in_order_heap = False  # its key decreased, so the entry in the heap is invalid
    else:
        customer.items.append(item)
    _change_count(tier, queue, customer, 1)
    if not customer.in_order_heap:
        push_to_order_heap(table, queue, customer, settings)
    if item.can_expire():
        heapq.heappush(table.expiry_heap, (item.deadline_ms, table.next_sequence(), item))
    _compact(table, queue, customer)


def remove(table: WorkTable, item: WorkItem) -> None:
    """
    Remove a request from its queue.

    :param table: queued and running requests of this agent
    :param item: the queued request
    """
    tier, queue, customer = find_queues(table, item)
    del table.queued[item.request_id]
    _change_count(tier, queue, customer, -1)
    if queue.count == 0:
        table.backlogged_classes -= 1
        queue.overdue.clear()
        _clear_order(queue)
    _compact(table, queue, customer)
    remove_idle_queues(tier, queue, customer)


def find_newest_of_longest(table: WorkTable, queue: ClassQueue) -> WorkItem:
    """
    Find the newest request of the customer with the longest queue in a class.

    :param table: queued and running requests of this agent
    :param queue: queue of the class
    :return: a queued request, which stays in the queue
    :raises LookupError: the class has no queued request
    """
    customer = queue.customers[next(iter(queue.customers_by_length[queue.longest_length]))]
    for waiting in (customer.items, queue.overdue):
        while waiting:
            if is_queued(table, waiting[-1]):
                return waiting[-1]
            waiting.pop()
    raise LookupError(f"class {queue.name} has no queued request")


def count_customer_queued(table: WorkTable, item: WorkItem) -> int:
    """:return: number of queued requests of the item's customer in its class"""
    return find_queues(table, item)[2].count


def find_class_queue(table: WorkTable, item: WorkItem) -> ClassQueue:
    """:return: the queue of the item's class"""
    return find_queues(table, item)[1]


def find_queues(table: WorkTable, item: WorkItem) -> tuple[TierQueue, ClassQueue, CustomerQueue]:
    """
    Find the queues of a request, and create those that are missing.

    :param table: queued and running requests of this agent
    :param item: the request
    :return: queues of its tier, class and customer
    """
    tier = table.tiers.get(item.tier)
    if tier is None:
        tier = table.tiers[item.tier] = TierQueue()
    queue = tier.classes.get(item.class_name)
    if queue is None:
        queue = ClassQueue(name=item.class_name, tier=item.tier, protected=item.protected)
        tier.classes[item.class_name] = queue
    customer = queue.customers.get(item.customer)
    if customer is None:
        customer = queue.customers[item.customer] = CustomerQueue(customer=item.customer)
    return tier, queue, customer


def push_to_order_heap(
    table: WorkTable, queue: ClassQueue, customer: CustomerQueue, settings: AdmissionSettings
) -> None:
    """
    Add a customer to the order heap of the class.

    :param table: queued and running requests of this agent
    :param queue: queue of the class
    :param customer: queue of the customer, not empty
    :param settings: tokens per turn of fair queueing
    """
    turn, due_ms = compute_order_key(customer, settings)
    heapq.heappush(queue.order_heap, (turn, due_ms, table.next_sequence(), customer))
    customer.in_order_heap = True


def compute_order_key(customer: CustomerQueue, settings: AdmissionSettings) -> tuple[int, int]:
    """:return: turn, then due time, by which a class orders its customers; both only increase"""
    return int(customer.virtual_tokens / settings.fair_turn_tokens), customer.items[0].due_ms()


def is_queued(table: WorkTable, item: WorkItem) -> bool:
    """:return: whether the request is still queued"""
    return table.queued.get(item.request_id) is item


def remove_idle_queues(tier: TierQueue, queue: ClassQueue, customer: CustomerQueue) -> None:
    """
    Remove idle queues, except those charged more virtual tokens than the queue served last.

    A removed queue would be created again without that charge.

    :param tier: queues of the tier
    :param queue: queue of the class
    :param customer: queue of the customer
    """
    idle = customer.count == 0 and customer.running == 0
    if idle and customer.virtual_tokens <= queue.last_served_virtual_tokens:
        queue.customers.pop(customer.customer, None)
    if queue.count == 0 and queue.running == 0:
        queue.customers.clear()
        if queue.virtual_tokens <= tier.last_served_virtual_tokens:
            tier.classes.pop(queue.name, None)


def _change_count(tier: TierQueue, queue: ClassQueue, customer: CustomerQueue, change: int) -> None:
    same_length = queue.customers_by_length.get(customer.count)
    if same_length is not None:
        same_length.pop(customer.customer, None)
        if not same_length:
            del queue.customers_by_length[customer.count]
    customer.count += change
    queue.count += change
    tier.count += change
    if customer.count:
        queue.customers_by_length.setdefault(customer.count, {})[customer.customer] = None
    queue.longest_length = max(queue.longest_length, customer.count)
    while queue.longest_length and queue.longest_length not in queue.customers_by_length:
        queue.longest_length -= 1


def _clear_order(queue: ClassQueue) -> None:
    for entry in queue.order_heap:
        entry[3].in_order_heap = False
    queue.order_heap.clear()


def _compact(table: WorkTable, queue: ClassQueue, customer: CustomerQueue) -> None:
    if len(customer.items) > 2 * customer.count + _MAX_STALE_ENTRIES:
        kept = [item for item in customer.items if is_queued(table, item)]
        customer.items.clear()
        customer.items.extend(kept)
    if len(queue.overdue) > 2 * queue.count + _MAX_STALE_ENTRIES:
        overdue = [item for item in queue.overdue if is_queued(table, item)]
        queue.overdue.clear()
        queue.overdue.extend(overdue)
    if len(queue.order_heap) > 2 * queue.count + _MAX_STALE_ENTRIES:
        latest = {id(entry[3]): entry for entry in sorted(queue.order_heap, reverse=True)}
        _clear_order(queue)
        queue.order_heap.extend(entry for entry in latest.values() if entry[3].count)
        heapq.heapify(queue.order_heap)
        for entry in queue.order_heap:
            entry[3].in_order_heap = True
    if len(table.expiry_heap) > 2 * len(table.queued) + _MAX_STALE_ENTRIES:
        table.expiry_heap[:] = [entry for entry in table.expiry_heap if is_queued(table, entry[2])]
        heapq.heapify(table.expiry_heap)


__all__ = [
    "find_class_queue",
    "count_customer_queued",
    "enqueue",
    "find_queues",
    "remove_idle_queues",
    "is_queued",
    "find_newest_of_longest",
    "compute_order_key",
    "push_to_order_heap",
    "remove",
]
