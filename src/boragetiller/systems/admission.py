"""Admit, queue, start and preempt requests at an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.systems import fair_queueing, load_shedding, work_queues
from boragetiller.systems.concurrency_limit import adapt_limit, record_gap
from boragetiller.systems.preemption import preempt
from boragetiller.tables.admission_actions import AdmissionAction, StartWork
from boragetiller.tables.agents import TIER_COUNT, LoadReport

if TYPE_CHECKING:
    from boragetiller.settings import AdmissionSettings
    from boragetiller.tables.agent_work import ClassQueue, WorkItem, WorkTable

_EWMA_WEIGHT = 0.1  # of the newest request in a moving average


def submit(
    table: WorkTable, item: WorkItem, settings: AdmissionSettings, now_ms: int
) -> list[AdmissionAction]:
    """
    Queue a new request, or refuse it.

    :param table: queued and running requests of this agent
    :param item: the new request
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :return: actions to carry out, for this request and for others
    """
    if item.protected:
        table.last_protected_arrival_ms = now_ms
    decision = load_shedding.decide_queueing(table, item, settings, now_ms)
    if not decision.admitted:
        return [load_shedding.build_refusal(table, item)]
    work_queues.enqueue(table, item, settings, now_ms)
    return [*decision.actions, *run_tick(table, settings, now_ms)]


def run_tick(table: WorkTable, settings: AdmissionSettings, now_ms: int) -> list[AdmissionAction]:
    """
    Start requests within the limit, refuse expired ones and preempt for urgent protected ones.

    :param table: queued and running requests of this agent
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :return: actions to carry out
    """
    table.max_running = adapt_limit(table.limit, settings, now_ms)
    actions: list[AdmissionAction] = [*load_shedding.refuse_expired(table, now_ms)]
    if table.queued:
        actions.extend(_start_in_order(table, settings, now_ms))
    if table.queued:
        table.limit.was_limiting |= _count_running_within_limit(
            table
        ) >= _compute_limit_without_headroom(table, settings)
        actions.extend(_start_longest_waiting(table, settings, now_ms))
        actions.extend(preempt(table, settings, now_ms))
    return actions


def record_tokens(table: WorkTable, request_id: str, now_ms: int, count: int = 1) -> None:
    """
    Record tokens that the engine generated for a request.

    :param table: queued and running requests of this agent
    :param request_id: id of the request; ignored unless it is running
    :param now_ms: monotonic time in milliseconds
    :param count: number of tokens
    """
    item = table.running.get(request_id)
    if item is None:
        return
    if item.last_token_ms is None:
        item.first_token_ms = now_ms
        started_ms = now_ms if item.started_ms is None else item.started_ms
        table.first_token_ms = _update_mean(table.first_token_ms, now_ms - started_ms)
    else:
        gap_ms = now_ms - item.last_token_ms
        record_gap(table.limit, gap_ms, item.between_tokens_target_ms, count)
    item.last_token_ms = now_ms
    item.tokens += count
    fair_queueing.charge_tokens(table, item, count)


def record_taken(table: WorkTable, request_id: str, now_ms: int) -> None:
    """
    Record that the router has taken the last tokens; its pace counts in no gap of the engine.

    :param table: queued and running requests of this agent
    :param request_id: id of the request; ignored unless it is running
    :param now_ms: monotonic time in milliseconds
    """
    item = table.running.get(request_id)
    if item is not None and item.last_token_ms is not None:
        item.last_token_ms = now_ms


def finish(
    table: WorkTable, request_id: str, settings: AdmissionSettings, now_ms: int
) -> list[AdmissionAction]:
    """
    Remove a queued or running request that ended or was cancelled.

    :param table: queued and running requests of this agent
    :param request_id: id of the request
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :return: actions to carry out now that its place is free
    """
    if request_id in table.queued:
        work_queues.remove(table, table.queued[request_id])
    if request_id in table.running:
        item = table.running[request_id]
        if item.started_ms is not None and not item.preempting:
            table.service_ms = _update_mean(table.service_ms, now_ms - item.started_ms)
        fair_queueing.record_end(table, item)
    return run_tick(table, settings, now_ms)


def build_load_report(table: WorkTable, now_ms: int) -> LoadReport:
    """
    Build the load report that the agent sends to the routers.

    :param table: queued and running requests of this agent
    :param now_ms: monotonic time in milliseconds
    :return: the report
    """
    queued = tuple(
        table.tiers[tier].count if tier in table.tiers else 0 for tier in range(TIER_COUNT)
    )
    return LoadReport(
        received_ms=now_ms,
        running=len(table.running),
        protected_running=table.protected_running + table.unprotected_nonpreemptible_running,
        max_running=max(1, table.max_running),
        queued=queued,
        service_ms=table.service_ms,
        first_token_ms=table.first_token_ms,
        between_tokens_ms=table.limit.between_tokens_ms,
    )


def _start_in_order(
    table: WorkTable, settings: AdmissionSettings, now_ms: int
) -> list[AdmissionAction]:
    actions: list[AdmissionAction] = []
    while _count_running_within_limit(table) < table.max_running:
        item = _find_next_item(table, settings, now_ms)
        if item is None:
            return actions
        fair_queueing.record_start(table, item, settings, now_ms)
        actions.append(StartWork(item.request_id))
    return actions


def _find_next_item(table: WorkTable, settings: AdmissionSettings, now_ms: int) -> WorkItem | None:
    for number in sorted(table.tiers):
        tier = table.tiers[number]
        item = (
            fair_queueing.find_next_in_tier(table, tier, settings, now_ms) if tier.count else None
        )
        if item is not None and _may_start(table, item, settings, now_ms):
            return item
    return None


def _may_start(table: WorkTable, item: WorkItem, settings: AdmissionSettings, now_ms: int) -> bool:
    if item.protected or table.last_protected_arrival_ms is None:
        return True
    if now_ms - table.last_protected_arrival_ms > settings.protected_memory_ms:
        return True
    if item.preemptible:
        return _count_running_within_limit(table) < _compute_limit_without_headroom(table, settings)
    return table.unprotected_nonpreemptible_running < table.max_running * (
        1 - settings.protected_share
    )


def _count_running_within_limit(table: WorkTable) -> int:
    return len(table.running) - table.aged_running


def _compute_limit_without_headroom(table: WorkTable, settings: AdmissionSettings) -> float:
    return table.max_running * (1 - settings.headroom_share)


def _start_longest_waiting(
    table: WorkTable, settings: AdmissionSettings, now_ms: int
) -> list[AdmissionAction]:
    if (
        table.last_aging_start_ms is not None
        and now_ms - table.last_aging_start_ms < settings.aging_interval_ms
    ):
        return []
    queue = _find_longest_waiting_class(table)
    if queue is None or now_ms - queue.waiting_since_ms < settings.aging_interval_ms:
        return []
    item = fair_queueing.find_next_in_class(table, queue, settings, now_ms)
    item.started_by_aging = True  # exceeds the limit; the added load lowers it for other requests
    table.last_aging_start_ms = now_ms
    fair_queueing.record_start(table, item, settings, now_ms)
    return [StartWork(item.request_id)]


def _find_longest_waiting_class(table: WorkTable) -> ClassQueue | None:
    waiting = [q for tier in table.tiers.values() for q in tier.classes.values() if q.count]
    return min(waiting, key=lambda queue: queue.waiting_since_ms, default=None)


def _update_mean(mean: float, value: float) -> float:
    return (1 - _EWMA_WEIGHT) * mean + _EWMA_WEIGHT * value if mean else float(value)


__all__ = ["finish", "record_taken", "record_tokens", "build_load_report", "run_tick", "submit"]
