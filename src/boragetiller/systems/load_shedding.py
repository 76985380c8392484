"""Refuse requests that would miss their deadline, have expired or exceed the queue's bound."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import Overloaded
from boragetiller.systems import work_queues
from boragetiller.systems.preemption import choose_victim
from boragetiller.tables.admission_actions import AdmissionAction, PreemptWork, RefuseWork

if TYPE_CHECKING:
    from boragetiller.settings import AdmissionSettings
    from boragetiller.tables.agent_work import ClassQueue, WorkItem, WorkTable

_MAX_RETRY_AFTER_S = 60


@attrs.frozen
class QueueDecision:
    """Whether a new request may be queued, and the actions that make room for it."""

    admitted: bool
    actions: tuple[AdmissionAction, ...] = ()


def decide_queueing(
    table: WorkTable, item: WorkItem, settings: AdmissionSettings, now_ms: int
) -> QueueDecision:
    """
    Decide whether a new request may be queued.

    One request of each class does not count towards the bound, so that no class is evicted
    entirely.

    :param table: queued and running requests of this agent
    :param item: the new request
    :param settings: bound of the queue
    :param now_ms: monotonic time in milliseconds
    :return: the decision
    """
    if (
        work_queues.find_class_queue(table, item).count == 0
        and table.backlogged_classes < settings.max_classes
    ):
        return QueueDecision(admitted=True)
    if item.can_expire() and _would_miss_deadline(table, item, now_ms):
        return QueueDecision(admitted=False)
    if len(table.queued) - table.backlogged_classes < settings.max_queued:
        return QueueDecision(admitted=True)
    evicted = _choose_evicted(table, item)
    if item.protected and (evicted is None or evicted.protected):
        victim = choose_victim(table, evicted or item)
        if victim is not None:
            victim.preempting = True
            table.preempting += 1
            return QueueDecision(admitted=True, actions=(PreemptWork(victim.request_id),))
    if evicted is None:
        return QueueDecision(admitted=False)
    work_queues.remove(table, evicted)
    return QueueDecision(admitted=True, actions=(build_refusal(table, evicted),))


def refuse_expired(table: WorkTable, now_ms: int) -> list[AdmissionAction]:
    """
    Refuse queued requests whose deadline has passed; protected and resumed ones do not expire.

    :param table: queued and running requests of this agent
    :param now_ms: monotonic time in milliseconds
    :return: the refusals
    """
    actions: list[AdmissionAction] = []
    while table.expiry_heap and table.expiry_heap[0][0] <= now_ms:
        item = heapq.heappop(table.expiry_heap)[2]
        if table.queued.get(item.request_id) is item:
            work_queues.remove(table, item)
            actions.append(build_refusal(table, item))
    return actions


def build_refusal(table: WorkTable, item: WorkItem) -> RefuseWork:
    """
    Build the refusal of a request that never ran.

    :param table: queued and running requests of this agent
    :param item: the request
    :return: the refusal, with the expected wait as the delay before a retry
    """
    delay_s = math.ceil(estimate_wait_ms(table, item.tier) / 1_000)
    retry_after_s = min(max(delay_s, 1), _MAX_RETRY_AFTER_S)
    return RefuseWork(item.request_id, Overloaded(retry_after_s=retry_after_s))


def estimate_wait_ms(table: WorkTable, tier: int) -> float:
    """
    Estimate how long a new request would be queued, from the mean time in a slot.

    :param table: queued and running requests of this agent
    :param tier: tier of the request
    :return: expected time in the queue in milliseconds
    """
    ahead = sum(queue.count for number, queue in table.tiers.items() if number <= tier)
    free = table.max_running - len(table.running)
    return max(0, ahead + 1 - free) * table.service_ms / max(1, table.max_running)


def _would_miss_deadline(table: WorkTable, item: WorkItem, now_ms: int) -> bool:
    return now_ms + estimate_wait_ms(table, item.tier) > item.deadline_ms


def _choose_evicted(table: WorkTable, item: WorkItem) -> WorkItem | None:
    for tier in sorted(table.tiers, reverse=True):
        if tier <= item.tier:
            break
        queue = _find_longest_queue(table, tier, protected=False)
        if queue is None and item.protected:
            queue = _find_longest_queue(table, tier, protected=True)
        if queue is not None:
            return work_queues.find_newest_of_longest(table, queue)
    return _choose_evicted_in_tier(table, item)


def _choose_evicted_in_tier(table: WorkTable, item: WorkItem) -> WorkItem | None:
    queue = _find_longest_queue(table, item.tier, protected=False)
    if queue is not None and item.protected:
        return work_queues.find_newest_of_longest(table, queue)
    if queue is None and item.protected:
        queue = _find_longest_queue(table, item.tier, protected=True)
    if queue is None or queue.longest_length <= work_queues.count_customer_queued(table, item) + 1:
        return None
    return work_queues.find_newest_of_longest(table, queue)


def _find_longest_queue(table: WorkTable, tier: int, *, protected: bool) -> ClassQueue | None:
    tier_queue = table.tiers.get(tier)
    classes = tier_queue.classes.values() if tier_queue else ()
    eligible = [q for q in classes if q.count > 1 and q.protected == protected]
    return max(eligible, key=lambda queue: queue.longest_length, default=None)


__all__ = [
    "QueueDecision",
    "estimate_wait_ms",
    "refuse_expired",
    "decide_queueing",
    "build_refusal",
]
