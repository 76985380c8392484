"""Order queued work: tier, then weighted fair shares in tokens, then earliest feasible due time."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from boragetiller.tables.work import ClassQueue, CustomerQueue, TierQueue

if TYPE_CHECKING:
    from boragetiller.settings import AdmissionSettings
    from boragetiller.tables.work import WorkItem, WorkTable

_SLACK = 16  # entries of departed work kept before a structure is rebuilt


def enqueue(table: WorkTable, item: WorkItem, settings: AdmissionSettings, now_ms: int) -> None:
    """
    Add a request to the queue of its tier, class and customer.

    :param table: work of this agent
    :param item: the request
    :param settings: size of a fair turn
    :param now_ms: monotonic time in milliseconds
    """
    tier, queue, customer = _queues_of(table, item)
    if queue.count == 0:
        queue.virtual_tokens = max(queue.virtual_tokens, tier.reached_tokens)
        queue.waiting_since_ms = now_ms
        table.backlogged += 1
    if customer.count == 0:
        customer.virtual_tokens = max(customer.virtual_tokens, queue.reached_tokens)
    table.queued[item.request_id] = item
    if item.resumed_tokens:
        customer.items.appendleft(item)
        customer.ordered = False  # its key became lower
    else:
        customer.items.append(item)
    _change_count(tier, queue, customer, 1)
    if not customer.ordered:
        _push_order(table, queue, customer, settings)
    if item.can_expire():
        heapq.heappush(table.expiry, (item.deadline_ms, table.next_sequence(), item))
    _compact(table, queue, customer)


def remove(table: WorkTable, item: WorkItem) -> None:
    """
    Take a request out of the queue.

    :param table: work of this agent
    :param item: the queued request
    """
    tier, queue, customer = _queues_of(table, item)
    del table.queued[item.request_id]
    _change_count(tier, queue, customer, -1)
    if queue.count == 0:
        table.backlogged -= 1
        queue.late.clear()
        _clear_order(queue)
    _compact(table, queue, customer)
    _forget_idle(tier, queue, customer)


def next_in_tier(
    table: WorkTable, tier: TierQueue, settings: AdmissionSettings, now_ms: int
) -> WorkItem | None:
    """
    Find the request that the tier starts next.

    :param table: work of this agent
    :param tier: queues of the tier
    :param settings: size of a fair turn and share of overdue work
    :param now_ms: monotonic time in milliseconds
    :return: a queued request, not yet removed, None when the tier is empty
    """
    waiting = [queue for queue in tier.classes.values() if queue.count]
    if not waiting:
        return None
    lowest = min(queue.virtual_tokens for queue in waiting)
    near = [q for q in waiting if q.virtual_tokens <= lowest + settings.fair_turn_tokens]
    heads = [next_in_class(table, queue, settings, now_ms) for queue in near]
    return min(heads, key=lambda item: (_is_late(table, item, now_ms), item.due_ms()))


def next_in_class(
    table: WorkTable, queue: ClassQueue, settings: AdmissionSettings, now_ms: int
) -> WorkItem:
    """
    Find the request that the class starts next.

    :param table: work of this agent
    :param queue: queue of the class, with work in it
    :param settings: size of a fair turn and share of overdue work
    :param now_ms: monotonic time in milliseconds
    :return: a queued request, not yet removed
    """
    fresh = _fresh_head(table, queue, settings, now_ms)
    late = _late_head(table, queue)
    if late is not None and (fresh is None or queue.late_credit >= 1.0):
        return late
    if fresh is None:
        raise LookupError(f"class {queue.name} has no queued work")
    return fresh


def note_start(table: WorkTable, item: WorkItem, settings: AdmissionSettings, now_ms: int) -> None:
    """
    Move a queued request to the running ones and charge its prompt.

    :param table: work of this agent
    :param item: the queued request
    :param settings: cost of a prompt token and share of overdue work
    :param now_ms: monotonic time in milliseconds
    """
    tier, queue, customer = _queues_of(table, item)
    tier.reached_tokens = max(tier.reached_tokens, queue.virtual_tokens)
    queue.reached_tokens = max(queue.reached_tokens, customer.virtual_tokens)
    queue.waiting_since_ms = now_ms
    was_late = bool(queue.late) and queue.late[0] is item
    queue.late_credit = 0.0 if was_late else min(1.0, queue.late_credit + settings.late_share)
    customer.running += 1
    queue.running += 1
    remove(table, item)
    item.started_ms = now_ms
    table.running[item.request_id] = item
    table.aged_running += item.aged
    table.firm_running += item.is_firm()
    table.protected_running += item.protected
    charge(table, item, settings.min_cost_tokens + item.prompt_tokens * settings.prompt_token_cost)


def note_end(table: WorkTable, item: WorkItem) -> None:
    """
    Take a request out of the running ones.

    :param table: work of this agent
    :param item: the running request
    """
    tier, queue, customer = _queues_of(table, item)
    del table.running[item.request_id]
    customer.running -= 1
    queue.running -= 1
    table.preempting -= item.preempting
    table.aged_running -= item.aged
    table.firm_running -= item.is_firm()
    table.protected_running -= item.protected
    _forget_idle(tier, queue, customer)


def charge(table: WorkTable, item: WorkItem, tokens: float) -> None:
    """
    Charge tokens to the class and the customer of a running request.

    :param table: work of this agent
    :param item: the running request
    :param tokens: tokens of work
    """
    _, queue, customer = _queues_of(table, item)
    queue.virtual_tokens += tokens / item.class_weight
    customer.virtual_tokens += tokens / item.customer_weight


def newest_of_longest(table: WorkTable, queue: ClassQueue) -> WorkItem:
    """
    Find the newest request of the customer with the longest queue in a class.

    :param table: work of this agent
    :param queue: queue of the class, with work in it
    :return: a queued request, not yet removed
    """
    customer = queue.customers[next(iter(queue.lengths[queue.longest]))]
    for waiting in (customer.items, queue.late):
        while waiting:
            if _is_queued(table, waiting[-1]):
                return waiting[-1]
            waiting.pop()
    raise LookupError(f"class {queue.name} has no queued work")


def customer_count(table: WorkTable, item: WorkItem) -> int:
    """:return: queued requests of the item's customer in its class"""
    return _queues_of(table, item)[2].count


def class_queue(table: WorkTable, item: WorkItem) -> ClassQueue:
    """:return: the queue of the item's class"""
    return _queues_of(table, item)[1]


def _queues_of(table: WorkTable, item: WorkItem) -> tuple[TierQueue, ClassQueue, CustomerQueue]:
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


def _change_count(tier: TierQueue, queue: ClassQueue, customer: CustomerQueue, change: int) -> None:
    old = queue.lengths.get(customer.count)
    if old is not None:
        old.pop(customer.customer, None)
        if not old:
            del queue.lengths[customer.count]
    customer.count += change
    queue.count += change
    tier.count += change
    if customer.count:
        queue.lengths.setdefault(customer.count, {})[customer.customer] = None
    queue.longest = max(queue.longest, customer.count)
    while queue.longest and queue.longest not in queue.lengths:
        queue.longest -= 1


def _push_order(
    table: WorkTable, queue: ClassQueue, customer: CustomerQueue, settings: AdmissionSettings
) -> None:
    turn, due_ms = _order_key(customer, settings)
    heapq.heappush(queue.order, (turn, due_ms, table.next_sequence(), customer))
    customer.ordered = True


def _clear_order(queue: ClassQueue) -> None:
    for entry in queue.order:
        entry[3].ordered = False
    queue.order.clear()


def _order_key(customer: CustomerQueue, settings: AdmissionSettings) -> tuple[int, int]:
    return int(customer.virtual_tokens / settings.fair_turn_tokens), customer.items[0].due_ms()


def _fresh_head(
    table: WorkTable, queue: ClassQueue, settings: AdmissionSettings, now_ms: int
) -> WorkItem | None:
    while queue.order:  # keys only grow, so a stale entry is pushed again with its present key
        turn, due_ms, _, customer = queue.order[0]
        _drop_departed(table, queue, customer, now_ms)
        if not customer.items:
            heapq.heappop(queue.order)
            customer.ordered = False
        elif (turn, due_ms) < _order_key(customer, settings):
            heapq.heappop(queue.order)
            _push_order(table, queue, customer, settings)
        else:
            return customer.items[0]
    return None


def _drop_departed(
    table: WorkTable, queue: ClassQueue, customer: CustomerQueue, now_ms: int
) -> None:
    while customer.items:
        head = customer.items[0]
        if _is_queued(table, head):
            if not _is_late(table, head, now_ms):
                return
            queue.late.append(head)
        customer.items.popleft()


def _late_head(table: WorkTable, queue: ClassQueue) -> WorkItem | None:
    while queue.late and not _is_queued(table, queue.late[0]):
        queue.late.popleft()
    return queue.late[0] if queue.late else None


def _is_late(table: WorkTable, item: WorkItem, now_ms: int) -> bool:
    return not item.resumed_tokens and now_ms + table.first_token_ms > item.due_ms()


def _is_queued(table: WorkTable, item: WorkItem) -> bool:
    return table.queued.get(item.request_id) is item


def _compact(table: WorkTable, queue: ClassQueue, customer: CustomerQueue) -> None:
    if len(customer.items) > 2 * customer.count + _SLACK:
        kept = [item for item in customer.items if _is_queued(table, item)]
        customer.items.clear()
        customer.items.extend(kept)
    if len(queue.late) > 2 * queue.count + _SLACK:
        overdue = [item for item in queue.late if _is_queued(table, item)]
        queue.late.clear()
        queue.late.extend(overdue)
    if len(queue.order) > 2 * queue.count + _SLACK:
        latest = {id(entry[3]): entry for entry in sorted(queue.order, reverse=True)}
        _clear_order(queue)
        queue.order.extend(entry for entry in latest.values() if entry[3].count)
        heapq.heapify(queue.order)
        for entry in queue.order:
            entry[3].ordered = True
    if len(table.expiry) > 2 * len(table.queued) + _SLACK:
        table.expiry[:] = [entry for entry in table.expiry if _is_queued(table, entry[2])]
        heapq.heapify(table.expiry)


def _forget_idle(tier: TierQueue, queue: ClassQueue, customer: CustomerQueue) -> None:
    idle = customer.count == 0 and customer.running == 0
    if idle and customer.virtual_tokens <= queue.reached_tokens:
        queue.customers.pop(customer.customer, None)
    if queue.count == 0 and queue.running == 0:
        queue.customers.clear()
        if queue.virtual_tokens <= tier.reached_tokens:
            tier.classes.pop(queue.name, None)


__all__ = [
    "charge",
    "class_queue",
    "customer_count",
    "enqueue",
    "newest_of_longest",
    "next_in_class",
    "next_in_tier",
    "note_end",
    "note_start",
    "remove",
]
